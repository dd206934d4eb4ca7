#include "runs/pool_link.h"

#include <cmath>
#include <utility>

namespace cottonwing::runs {

namespace {

using namespace std::chrono_literals;
using report::Count;

constexpr Nanos kCheck = 250ms;  // what a check may take
constexpr Nanos kSilent = 1s;    // polls unanswered for that long: the link is open but dead
constexpr int kAgainLeast = 20, kAgainMost = 100;  // milliseconds before a lost link is opened again
// Asked behind the notices that a new link catches up with: its answer tells that these are all in.
constexpr const char* kCaughtUp = "caught-up";

}  // namespace

PoolLink::PoolLink(net::Loop& loop, net::Address at, const launch::Shares& shares,
                   std::vector<std::string> profiles, std::vector<std::string> gauges, std::uint64_t seed,
                   backend::Backend& backend, report::Log& log, report::Counters& counters)
    : loop_(loop),
      at_(std::move(at)),
      bytes_(shares.poolBytes),
      profiles_(std::move(profiles)),
      gauges_(std::move(gauges)),
      chance_(static_cast<std::mt19937::result_type>(seed)),
      backend_(backend),
      log_(log),
      counters_(counters),
      again_(loop, [this] { open(); }),
      patience_(loop, [this] { tell(std::nullopt); }) {
    open();
}

void PoolLink::open() {
    again_.stop();
    searched_ = 0;
    unheard_ = 0ns;
    connection_.reset(new net::Connection(loop_, at_, *this, {bytes_ / 4, bytes_ - bytes_ / 4}));
    connection_->send(bindLine(last_));
}

void PoolLink::start(const backend::Run& run) {
    say(startLine(run.name, profiles_[static_cast<std::size_t>(run.profile)], run.body));
}
void PoolLink::halt(const std::string& name) { say(haltLine(name)); }
void PoolLink::supply(const std::string& name, std::string_view reply) { say(supplyLine(name, reply)); }
void PoolLink::leaveOut(const std::string& name) { say(leaveOutLine(name)); }
void PoolLink::askGauges() {
    const Nanos now = net::unixNow();
    if (bound_ && unheard_ > 0ns && now - unheard_ > kSilent) return lost(net::ConnectionEnd::TimedOut);
    if (unheard_ == 0ns) unheard_ = now;
    say(pollLine("gauges"));
}

void PoolLink::moveTo(net::Address at) {
    at_ = std::move(at);
    log_.info("pool", "moves to " + at_.host + ":" + std::to_string(at_.port));
    unbind();
    // Closed over notices that were not read yet, it would be reset, and what was said last lost with it.
    if (connection_) connection_->finish([] {});
    open();
}

// What was said shortly before may be lost, from the first such loss until a link has caught up.
void PoolLink::unbind() {
    if (bound_ && lostAt_ == 0ns) lostAt_ = net::unixNow();
    bound_ = false;
}

// One check at a time serves all who ask meanwhile.
void PoolLink::verify(std::function<void(std::optional<bool>)> told) {
    checks_.push_back(std::move(told));
    if (checks_.size() > 1) return;
    patience_.start(bound_ ? kCheck : 0ns);
    say(verifyLine(std::to_string(++verified_)));
}

void PoolLink::tell(std::optional<bool> good) {
    patience_.stop();
    for (const auto& told : std::exchange(checks_, {})) told(good);
}

// Without a link nothing is said: what the pool has to know is said again once there is one.
void PoolLink::say(const std::string& line) {
    if (bound_) connection_->send(line);
}

void PoolLink::arrived(net::Connection& connection) {
    net::Ring& input = connection.input();
    std::string scratch;
    for (;;) {
        const std::size_t end = input.find('\n', searched_);
        if (end == input.size()) {
            searched_ = end;
            return;
        }
        const auto notice = readNotice(input.peek(end, scratch));
        input.drop(end + 1);
        searched_ = 0;
        if (notice) {
            hear(*notice);
        } else {
            counters_.add(Count::PoolUnreadable);
            log_.warn("pool", "a line that can't be read was left out");
        }
    }
}

void PoolLink::ended(net::Connection&, net::ConnectionEnd end) { lost(end); }

void PoolLink::lost(net::ConnectionEnd end) {
    counters_.addEnd(end);
    if (bound_ || !away_)
        log_.warn("pool", std::string(bound_ ? "link lost: " : "no link: ") + net::nameOf(end));
    // One that served is opened again at once: runs that end meanwhile hold up what waits for the cores.
    const bool atOnce = bound_;
    unbind();
    away_ = true;
    connection_.reset();
    again_.start(atOnce ? 0ns : 1ms * std::uniform_int_distribution<int>(kAgainLeast, kAgainMost)(chance_));
}

void PoolLink::hear(const Notice& notice) {
    unheard_ = 0ns;
    if (notice.number != 0) {
        if (notice.number <= last_) return;  // seen on an earlier link
        last_ = notice.number;
    }
    const auto id = backend::readId(notice.job);
    switch (notice.kind) {
        case NoticeKind::Bound:
            bound_ = true;
            away_ = false;
            counters_.add(Count::PoolLinks);
            if (everBound_) {
                log_.info("pool", "link is back, last notice " + std::to_string(last_));
                say(pollLine(kCaughtUp));
            }
            everBound_ = true;
            return backend_.up(notice.state == "cold", notice.took);
        case NoticeKind::Finished:
            if (!id) return;
            return backend_.runEnded(*id,
                                     notice.state == "ok"       ? Outcome::Ok
                                     : notice.state == "halted" ? Outcome::Cancelled
                                     : notice.state == "void"   ? Outcome::Moot
                                                                : Outcome::Error,
                                     notice.took, notice.data);
        case NoticeKind::Blocked:
            if (id) backend_.parked(*id, notice.data);
            return;
        case NoticeKind::Polled:
            if (notice.tag == kCaughtUp) return backend_.startAgain(std::exchange(lostAt_, 0ns));
            return hearGauges(notice.gauges);
        case NoticeKind::Unknown:
            counters_.add(Count::PoolUnknown);
            log_.warn("pool", notice.state + " not carried out for " + notice.job);
            // Nothing of it runs, which tells of its caller and nothing of our runs; other commands that were
            // not carried out leave a run as it is.
            if (id && notice.state == "spawn") backend_.runUnknown(*id);
            return;
        case NoticeKind::Verified:
            if (notice.tag == std::to_string(verified_)) tell(notice.state == "ok");
            return;
        case NoticeKind::Chatter:
            return;
    }
}

void PoolLink::hearGauges(const std::vector<double>& figures) {
    Gauges gauges;
    for (std::size_t i = 0; i < std::min(figures.size(), gauges_.size()); ++i) {
        if (!std::isfinite(figures[i])) continue;
        if (gauges_[i] == "core_use") gauges.coreUse = figures[i];
        if (gauges_[i] == "on_cores") gauges.onCores = figures[i];
        if (gauges_[i] == "heap_share") gauges.memoryShare = figures[i];
        if (gauges_[i] == "links") gauges.connections = figures[i];
    }
    backend_.gauges(gauges);
}

}  // namespace cottonwing::runs
