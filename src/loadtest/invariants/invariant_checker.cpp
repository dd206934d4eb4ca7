#include "loadtest/invariants/invariant_checker.h"

#include <utility>

namespace cottonwing::loadtest {

namespace {
constexpr std::size_t kMaxViolations = 50;
// Between the write of a request and its reading lies the loopback; a request
// may only be blamed when it came clearly after the grace.
constexpr Duration kSlack = std::chrono::milliseconds(50);
}  // namespace

const char* nameOf(Rule rule) {
    static constexpr const char* kNames[kRules] = {"lost", "twice", "drain", "fall-over"};
    return kNames[static_cast<std::size_t>(rule)];
}

InvariantChecker::InvariantChecker(const std::vector<RequestClassLoad>& requestClasses, Duration keeps,
                                   double heapKb, double runFactor)
    : requestClasses_(requestClasses), keeps_(keeps), heapKb_(heapKb), runFactor_(runFactor) {}

void InvariantChecker::book(Try& entry) {
    const double now = entry.runs ? entry.kb * runFactor_ : entry.waits ? entry.kb : 0;
    double& all = memory_[entry.instance];
    const bool was = all > heapKb_;
    all += now - std::exchange(entry.booked, now);
    if (all > heapKb_ && !was)
        violation(Rule::FallOver, "instance " + std::to_string(entry.instance) + ": " + std::to_string(all) +
                                      " KB of commands");
}

void InvariantChecker::violation(Rule rule, const std::string& what) {
    ++counts_[static_cast<std::size_t>(rule)];
    if (violations_.size() < kMaxViolations) violations_.push_back({rule, what});
}

void InvariantChecker::forgetOld(Duration now) {
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

void InvariantChecker::onAttemptSent(const ScheduledRequest& planned, const std::string& trace,
                                     const std::string& first, std::size_t target) {
    const std::lock_guard hold(guard_);
    const Duration now = steadyNow();
    forgetOld(now);
    Try& entry = tries_[trace];
    entry.first = first;
    entry.sent = now;
    entry.requestClass = planned.requestClass;
    entry.instance = target;
    entry.kb = planned.memoryKb;
    book(entry);
    ++families_[first].tries;
    order_.emplace_back(now, trace);
}

void InvariantChecker::onResponse(const std::string& trace, ClientResponse::Kind kind) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    if (kind == ClientResponse::Kind::Busy && at->second.ran)
        violation(Rule::Twice, trace + " was bounced after it ran");
    if (kind == ClientResponse::Kind::Answer && !at->second.ran)
        violation(Rule::Lost, trace + " was handled without a run");
}

void InvariantChecker::onAttemptReleased(const std::string& trace) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    at->second.waits = false;
    book(at->second);
}

void InvariantChecker::finished(const std::string& trace) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    at->second.runs = false;
    book(at->second);
}

std::size_t InvariantChecker::instanceOf(const std::string& trace) const {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    return at == tries_.end() ? 0 : at->second.instance;
}

bool InvariantChecker::waits(const std::string& trace) const {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    return at != tries_.end() && at->second.waits;
}

double InvariantChecker::memoryKb(std::size_t instance) const {
    const std::lock_guard hold(guard_);
    const auto at = memory_.find(instance);
    return at == memory_.end() ? 0 : at->second;
}

void InvariantChecker::onRequestEnded(const ScheduledRequest& planned, const std::string&,
                                      RequestOutcome outcome) {
    const std::lock_guard hold(guard_);
    if (outcome == RequestOutcome::Completed || outcome == RequestOutcome::Late)
        completedWork_ += std::chrono::duration<double>(planned.work).count();
}

void InvariantChecker::spawned(std::size_t instance, const std::string& trace, const std::string& first,
                               Duration now) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    const std::string where = ", instance " + std::to_string(instance);
    if (at == tries_.end())
        return violation(Rule::Twice, trace + " was started, and nobody sent it lately" + where);
    Try& entry = at->second;
    const auto closed = closedSince_.find(instance);
    if (closed != closedSince_.end() && entry.sent > closed->second + kSlack && now > closed->second)
        violation(Rule::Drain, trace + " came after the grace and was started" + where);
    Family& family = families_[first];
    const bool once =
        requestClasses_[static_cast<std::size_t>(entry.requestClass)].idempotency != Idempotency::Idempotent;
    if (once && family.runs > 0)
        violation(Rule::Twice, trace + " ran again (first try " + first + ")" + where);
    ++family.runs;
    entry.ran = entry.runs = true;
    book(entry);
}

void InvariantChecker::calling(std::size_t instance, const std::string& trace) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at == tries_.end()) return;
    Try& entry = at->second;
    const bool once =
        requestClasses_[static_cast<std::size_t>(entry.requestClass)].idempotency != Idempotency::Idempotent;
    if (once && entry.lastCallMayHaveRun)
        violation(Rule::Twice,
                  "the call of " + trace + " was made again, instance " + std::to_string(instance));
    entry.lastCallMayHaveRun = true;
}

void InvariantChecker::callEnded(const std::string& trace, bool knownNotRun) {
    const std::lock_guard hold(guard_);
    const auto at = tries_.find(trace);
    if (at != tries_.end() && knownNotRun) at->second.lastCallMayHaveRun = false;
}

void InvariantChecker::notice(std::size_t instance, Duration now, Duration grace) {
    const std::lock_guard hold(guard_);
    closedSince_[instance] = now + grace;
}

void InvariantChecker::restarted(std::size_t instance) {
    const std::lock_guard hold(guard_);
    closedSince_.erase(instance);
}

void InvariantChecker::fellOver(std::size_t instance, const std::string& what) {
    const std::lock_guard hold(guard_);
    violation(Rule::FallOver, "instance " + std::to_string(instance) + ": " + what);
}

std::vector<Violation> InvariantChecker::violations() const {
    const std::lock_guard hold(guard_);
    return violations_;
}
std::array<std::uint64_t, kRules> InvariantChecker::counts() const {
    const std::lock_guard hold(guard_);
    return counts_;
}
double InvariantChecker::completedWork() const {
    const std::lock_guard hold(guard_);
    return completedWork_;
}
std::size_t InvariantChecker::entries() const {
    const std::lock_guard hold(guard_);
    return tries_.size();
}

}  // namespace cottonwing::loadtest
