#include "lab/audit/books.h"

#include <utility>

namespace cottonwing::lab {

namespace {
constexpr std::size_t kMostBreaches = 50;
// Between the write of a command and its reading lies the loopback; a command
// may only be blamed when it came clearly after the grace.
constexpr Duration kSlack = std::chrono::milliseconds(50);
}  // namespace

const char* nameOf(Rule rule) {
    static constexpr const char* kNames[kRules] = {"lost", "twice", "drain", "fall-over"};
    return kNames[static_cast<std::size_t>(rule)];
}

Books::Books(const std::vector<Profile>& profiles, Duration keeps, double heapKb, double runFactor)
    : profiles_(profiles), keeps_(keeps), heapKb_(heapKb), runFactor_(runFactor) {}

void Books::book(Try& entry) {
    const double now = entry.runs ? entry.kb * runFactor_ : entry.waits ? entry.kb : 0;
    double& all = memory_[entry.instance];
    const bool was = all > heapKb_;
    all += now - std::exchange(entry.booked, now);
    if (all > heapKb_ && !was)
        breach(Rule::FallOver,
               "instance " + std::to_string(entry.instance) + ": " + std::to_string(all) + " KB of commands");
}

void Books::breach(Rule rule, const std::string& what) {
    ++counts_[static_cast<std::size_t>(rule)];
    if (breaches_.size() < kMostBreaches) breaches_.push_back({rule, what});
}

void Books::forgetOld(Duration now) {
    while (!order_.empty() && order_.front().first + keeps_ < now) {
        const auto at = tries_.find(order_.front().second);
        if (at != tries_.end()) {
            const auto family = families_.find(at->second.first);
            if (family != families_.end() && --family->second.tries == 0) families_.erase(family);
            at->second.waits = at->second.runs = false;
            book(at->second);
            tries_.erase(at);
        }
        order_.pop_front();
    }
}

void Books::sent(const Planned& planned, const std::string& trace, const std::string& first,
                 std::size_t target) {
    const std::lock_guard hold(guard_);
    const Duration now = steadyNow();
    forgetOld(now);
    Try& entry = tries_[trace];
    entry.first = first;
    entry.sent = now;
    entry.profile = planned.profile;
    entry.instance = target;
    entry.kb = planned.heldKb;
    book(entry);
    ++families_[first].tries;
    order_.emplace_back(now, trace);
}

void Books::answered(const std::string& trace, Heard::Kind kind) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    if (kind == Heard::Kind::Busy && at->second.ran) breach(Rule::Twice, trace + " was bounced after it ran");
    if (kind == Heard::Kind::Answer && !at->second.ran)
        breach(Rule::Lost, trace + " was handled without a run");
}

void Books::released(const std::string& trace) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    at->second.waits = false;
    book(at->second);
}

void Books::finished(const std::string& trace) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    at->second.runs = false;
    book(at->second);
}

std::size_t Books::instanceOf(const std::string& trace) const {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    return at == tries_.end() ? 0 : at->second.instance;
}

bool Books::waits(const std::string& trace) const {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    return at != tries_.end() && at->second.waits;
}

double Books::memoryKb(std::size_t instance) const {
    const std::lock_guard hold(guard_);
    const auto at = memory_.find(instance);
    return at == memory_.end() ? 0 : at->second;
}

void Books::ended(const Planned& planned, const std::string&, End end) {
    const std::lock_guard hold(guard_);
    if (end == End::Handled || end == End::Late)
        handledWork_ += std::chrono::duration<double>(planned.work).count();
}

void Books::spawned(std::size_t instance, const std::string& trace, const std::string& first, Duration now) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    const std::string where = ", instance " + std::to_string(instance);
    if (at == tries_.end())
        return breach(Rule::Twice, trace + " was started, and nobody sent it lately" + where);
    Try& entry = at->second;
    const auto closed = closedSince_.find(instance);
    if (closed != closedSince_.end() && entry.sent > closed->second + kSlack && now > closed->second)
        breach(Rule::Drain, trace + " came after the grace and was started" + where);
    Family& family = families_[first];
    const bool once = profiles_[static_cast<std::size_t>(entry.profile)].repeat != Idempotency::Idempotent;
    if (once && family.runs > 0) breach(Rule::Twice, trace + " ran again (first try " + first + ")" + where);
    ++family.runs;
    entry.ran = entry.runs = true;
    book(entry);
}

void Books::calling(std::size_t instance, const std::string& trace) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    Try& entry = at->second;
    const bool once = profiles_[static_cast<std::size_t>(entry.profile)].repeat != Idempotency::Idempotent;
    if (once && entry.lastCallMayHaveRun)
        breach(Rule::Twice, "the call of " + trace + " was made again, instance " + std::to_string(instance));
    entry.lastCallMayHaveRun = true;
}

void Books::callEnded(const std::string& trace, bool knownNotRun) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at != tries_.end() && knownNotRun) at->second.lastCallMayHaveRun = false;
}

void Books::notice(std::size_t instance, Duration now, Duration grace) {
    const std::lock_guard hold(guard_);
    closedSince_[instance] = now + grace;
}

void Books::restarted(std::size_t instance) {
    const std::lock_guard hold(guard_);
    closedSince_.erase(instance);
}

void Books::fellOver(std::size_t instance, const std::string& what) {
    const std::lock_guard hold(guard_);
    breach(Rule::FallOver, "instance " + std::to_string(instance) + ": " + what);
}

std::vector<Breach> Books::breaches() const {
    const std::lock_guard hold(guard_);
    return breaches_;
}
std::array<std::uint64_t, kRules> Books::counts() const {
    const std::lock_guard hold(guard_);
    return counts_;
}
double Books::handledWork() const {
    const std::lock_guard hold(guard_);
    return handledWork_;
}
std::size_t Books::entries() const {
    const std::lock_guard hold(guard_);
    return tries_.size();
}

}  // namespace cottonwing::lab
