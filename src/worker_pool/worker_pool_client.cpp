#include "worker_pool/worker_pool_client.h"

#include <cmath>
#include <utility>

namespace cottonwing::worker_pool {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr Duration kCheck = 250ms;  // what a check may take
constexpr Duration kSilent = 1s;    // polls unanswered for that long: the link is open but dead
constexpr int kAgainLeast = 20, kAgainMost = 100;  // milliseconds before a lost link is opened again
// Asked behind the notices that a new link catches up with: its answer tells that these are all in.
constexpr const char* kCaughtUp = "caught-up";

}  // namespace

WorkerPoolClient::WorkerPoolClient(net::Loop& loop, net::Address at, const config::ResourceLimits& shares,
                                   std::vector<std::string> profiles, std::vector<std::string> gauges,
                                   std::uint64_t seed, request::RequestManager& backend, telemetry::Log& log,
                                   telemetry::Counters& counters)
    : loop_(loop),
      at_(std::move(at)),
      bytes_(shares.workerPoolBytes),
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

void WorkerPoolClient::open() {
    again_.stop();
    searched_ = 0;
    unheard_ = 0ns;
    connection_.reset(new net::Connection(loop_, at_, *this, {bytes_ / 4, bytes_ - bytes_ / 4}));
    connection_->send(bindLine(last_));
}

void WorkerPoolClient::start(const request::RunSpec& run) {
    say(startLine(run.externalId, profiles_[static_cast<std::size_t>(run.requestClass)], run.body));
}
void WorkerPoolClient::cancel(const std::string& name) { say(haltLine(name)); }
void WorkerPoolClient::supplyReply(const std::string& name, std::string_view reply) {
    say(supplyLine(name, reply));
}
void WorkerPoolClient::skipDependencyCall(const std::string& name) { say(leaveOutLine(name)); }
void WorkerPoolClient::requestGauges() {
    const Duration now = net::unixNow();
    if (bound_ && unheard_ > 0ns && now - unheard_ > kSilent) return lost(net::ConnectionEnd::TimedOut);
    if (unheard_ == 0ns) unheard_ = now;
    say(pollLine("gauges"));
}

void WorkerPoolClient::moveTo(net::Address at) {
    at_ = std::move(at);
    log_.info("pool", "moves to " + at_.host + ":" + std::to_string(at_.port));
    unbind();
    // Closed over notices that were not read yet, it would be reset, and what was said last lost with it.
    if (connection_) connection_->finish([] {});
    open();
}

// What was said shortly before may be lost, from the first such loss until a link has caught up.
void WorkerPoolClient::unbind() {
    if (bound_ && lostAt_ == 0ns) lostAt_ = net::unixNow();
    bound_ = false;
}

// One check at a time serves all who ask meanwhile.
void WorkerPoolClient::verifyWork(std::function<void(std::optional<bool>)> told) {
    checks_.push_back(std::move(told));
    if (checks_.size() > 1) return;
    patience_.start(bound_ ? kCheck : 0ns);
    say(verifyLine(std::to_string(++verified_)));
}

void WorkerPoolClient::tell(std::optional<bool> good) {
    patience_.stop();
    for (const auto& told : std::exchange(checks_, {})) told(good);
}

// Without a link nothing is said: what the pool has to know is said again once there is one.
void WorkerPoolClient::say(const std::string& line) {
    if (bound_) connection_->send(line);
}

void WorkerPoolClient::arrived(net::Connection& connection) {
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
            counters_.add(Count::WorkerPoolMalformedMessages);
            log_.warn("pool", "a line that can't be read was left out");
        }
    }
}

void WorkerPoolClient::ended(net::Connection&, net::ConnectionEnd end) { lost(end); }

void WorkerPoolClient::lost(net::ConnectionEnd end) {
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

void WorkerPoolClient::hear(const Notice& notice) {
    unheard_ = 0ns;
    if (notice.number != 0) {
        if (notice.number <= last_) return;  // seen on an earlier link
        last_ = notice.number;
    }
    const auto id = request::parseRequestId(notice.job);
    switch (notice.kind) {
        case NoticeKind::Bound:
            bound_ = true;
            away_ = false;
            counters_.add(Count::WorkerPoolConnections);
            if (everBound_) {
                log_.info("pool", "link is back, last notice " + std::to_string(last_));
                say(pollLine(kCaughtUp));
            }
            everBound_ = true;
            return backend_.executorReady(notice.state == "cold", notice.took);
        case NoticeKind::Finished:
            if (!id) return;
            return backend_.runCompleted(*id,
                                         notice.state == "ok"       ? Outcome::Ok
                                         : notice.state == "halted" ? Outcome::Cancelled
                                         : notice.state == "void"   ? Outcome::Superseded
                                                                    : Outcome::Error,
                                         notice.took, notice.data);
        case NoticeKind::Blocked:
            if (id) backend_.runWaitsForDependency(*id, notice.data);
            return;
        case NoticeKind::Polled:
            if (notice.tag == kCaughtUp) return backend_.resumeRuns(std::exchange(lostAt_, 0ns));
            return hearGauges(notice.gauges);
        case NoticeKind::Unknown:
            counters_.add(Count::WorkerPoolUnknownRequests);
            log_.warn("pool", notice.state + " not carried out for " + notice.job);
            // Nothing of it runs, which tells of its caller and nothing of our runs; other commands that were
            // not carried out leave a run as it is.
            if (id && notice.state == "spawn") backend_.runUnknownToExecutor(*id);
            return;
        case NoticeKind::Verified:
            if (notice.tag == std::to_string(verified_)) tell(notice.state == "ok");
            return;
        case NoticeKind::Chatter:
            return;
    }
}

void WorkerPoolClient::hearGauges(const std::vector<double>& figures) {
    Gauges gauges;
    for (std::size_t i = 0; i < std::min(figures.size(), gauges_.size()); ++i) {
        if (!std::isfinite(figures[i])) continue;
        if (gauges_[i] == "core_use") gauges.coreUtilization = figures[i];
        if (gauges_[i] == "on_cores") gauges.coreDemand = figures[i];
        if (gauges_[i] == "heap_share") gauges.memoryUtilization = figures[i];
        if (gauges_[i] == "links") gauges.openConnections = figures[i];
    }
    backend_.updateGauges(gauges);
}

}  // namespace cottonwing::worker_pool
