#include "soak/worker_pool_process.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include "net/clock.h"
#include "worker_pool/protocol.h"

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxStoredNotices = 4000;  // PROTOCOL.md, "The worker pool"
constexpr Duration kReservedAfter = 100ms;       // PROTOCOL.md: a request counts 0.1 s after it was written
constexpr Duration kSampleInterval = 10ms;       // of the reserved memory and the runs on the cores
constexpr Duration kPieceDelay = 3ms;
constexpr int kSplitOneIn = 6, kRepeatOneIn = 12;  // fractions of the notices

loadtest::CoresConfig coreTerms(const WorkerPoolSettings& settings) {
    loadtest::CoresConfig terms;
    terms.cores = settings.cores;
    return terms;
}

}  // namespace

std::string requestBody(Duration work, int calls, std::uint64_t unique) {
    char text[80];
    std::snprintf(text, sizeof text, "work_us=%lld calls=%d unique=%016llx",
                  static_cast<long long>(work / 1us), calls, static_cast<unsigned long long>(unique));
    return text;
}

WorkerPoolProcess::WorkerPoolProcess(net::Loop& loop, const WorkerPoolSettings& settings,
                                     RandomGenerator& random, Recorder& recorder)
    : settings_(settings),
      random_(random),
      recorder_(recorder),
      cores_(coreTerms(settings)),
      first_(listen(loop)),
      second_(listen(loop)) {
    cores_.start(net::unixNow());
}

std::unique_ptr<testing::FakeServer> WorkerPoolProcess::listen(net::Loop& loop) {
    return std::make_unique<testing::FakeServer>(
        loop, [this](net::Connection& from, std::string& text) { handleInput(from, text); });
}

void WorkerPoolProcess::serverStarted() {
    server_ = nullptr;
    first_->closeConnections();
    second_->closeConnections();
    notices_.clear();
    lastNotice_ = 0;
    pendingPiece_.clear();
    pendingBindAfter_.reset();
}

void WorkerPoolProcess::restart(bool cold, Duration upAfter) {
    const Duration now = net::unixNow();
    jobs_.clear();
    runsOnCores_.clear();
    cold_ = cold;
    startedAt_ = upAt_ = now + upAfter;
    cores_.start(upAt_);
}

void WorkerPoolProcess::breakConnection() {
    recorder_.log("pool", "closes its connection");
    server_ = nullptr;
    pendingPiece_.clear();
    first_->closeConnections();
    second_->closeConnections();
}

bool WorkerPoolProcess::isBlocked(const std::string& id) const {
    return std::any_of(jobs_.begin(), jobs_.end(),
                       [&](const auto& job) { return job.second.id == id && job.second.blocked; });
}

int WorkerPoolProcess::segmentOf(const std::string& id) const {
    for (const auto& [number, job] : jobs_)
        if (job.id == id && job.incarnation == recorder_.currentIndex()) return job.segment;
    return 0;
}

std::map<std::uint64_t, WorkerPoolProcess::Job>::iterator WorkerPoolProcess::findJob(const std::string& id) {
    return std::find_if(jobs_.begin(), jobs_.end(), [&](const auto& job) {
        return job.second.id == id && job.second.incarnation == recorder_.currentIndex();
    });
}

void WorkerPoolProcess::handleInput(net::Connection& from, std::string& text) {
    std::size_t end = 0;
    while ((end = text.find('\n')) != text.npos) {
        const Json message = Json::parse(text.substr(0, end), nullptr, false);
        text.erase(0, end + 1);
        if (message.is_object()) handle(from, message);
    }
}

void WorkerPoolProcess::handle(net::Connection& from, const Json& message) {
    const std::string type = message.value("type", ""), id = message.value("job", "");
    if (type == "bind") return bind(from, message.value("n", std::uint64_t{0}));
    if (type == "spawn") return start(message);
    if (type == "suspend") return suspend(id);
    if (type == "supply" || type == "pass") return resume(id);
    if (type == "poll")
        return send(Json{{"type", "polled"},
                         {"ref", message["ref"]},
                         {"gauges", {cores_.utilisation(), cores_.running(), 0.3, 5}}}
                        .dump() +
                    "\n");
    if (type == "verify")
        return send(Json{{"type", "verified"}, {"ref", message["ref"]}, {"state", "ok"}}.dump() + "\n");
}

void WorkerPoolProcess::bind(net::Connection& from, std::uint64_t after) {
    server_ = first_->numberOf(from) != 0 ? first_.get() : second_.get();
    connectionNumber_ = server_->numberOf(from);
    pendingPiece_.clear();
    pendingBindAfter_ = after;
    if (net::unixNow() >= upAt_) sendBound();
}

void WorkerPoolProcess::sendBound() {
    const std::uint64_t after = *std::exchange(pendingBindAfter_, std::nullopt);
    const Duration now = net::unixNow();
    if (!recorder_.current().poolUpAt) recorder_.current().poolUpAt = now;
    recorder_.log("pool", "bound after notice " + std::to_string(after));
    send(Json{{"type", "bound"},
              {"state", cold_ ? "cold" : "warm"},
              {"took", cold_ ? (now - startedAt_) / 1ms : 60000}}
             .dump() +
         "\n");
    for (const auto& [number, line] : notices_)
        if (number > after) send(line);
}

void WorkerPoolProcess::start(const Json& message) {
    const std::string id = message.value("job", ""), requestClass = message.value("kind", "");
    const std::string body = worker_pool::decodeBase64(message.value("data", "")).value_or("");
    const Attempt* const attempt = recorder_.find(id);
    long long work = 0;
    int calls = 0;
    if (attempt == nullptr || attempt->incarnation != recorder_.currentIndex() ||
        std::sscanf(body.c_str(), "work_us=%lld calls=%d", &work, &calls) != 2)
        return send(Json{{"type", "unknown"}, {"state", "spawn"}, {"job", id}}.dump() + "\n");
    if (findJob(id) != jobs_.end()) return;  // already running
    if (recorder_.isNoLongerAwaited(id)) {
        recorder_.log("pool", "start of a request that is no longer awaited: void", id);
        return sendNotice({{"type", "finished"}, {"job", id}, {"state", "void"}, {"took", 0}, {"data", ""}});
    }
    const Duration now = net::unixNow();
    recorder_.log("pool", "starts the run", id);
    const std::uint64_t number = nextJob_++;
    Job& job = jobs_[number];
    job.id = id;
    job.incarnation = recorder_.currentIndex();
    job.run = recorder_.observations.runs.size();
    job.callsLeft = calls;
    job.segmentWork = static_cast<double>(work) / 1e6 / (calls + 1);
    job.memoryKb = attempt->memoryKb;
    recorder_.observations.runs.push_back({id, job.incarnation, requestClass, body, now, std::nullopt});
    cores_.add(number, job.segmentWork, now);
}

// Cancels the run if its request is no longer awaited. Otherwise the run continues, as the server under test
// does not use suspended runs.
void WorkerPoolProcess::suspend(const std::string& id) {
    const auto found = findJob(id);
    if (found == jobs_.end() || !recorder_.isNoLongerAwaited(id)) return;
    cores_.remove(found->first, net::unixNow());
    finish(found->first, "halted", "");
}

void WorkerPoolProcess::resume(const std::string& id) {
    const auto found = findJob(id);
    if (found == jobs_.end() || !std::exchange(found->second.blocked, false)) return;
    ++found->second.segment;
    cores_.add(found->first, found->second.segmentWork, net::unixNow());
}

void WorkerPoolProcess::segmentEnded(std::uint64_t number) {
    const auto found = jobs_.find(number);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    if (job.incarnation != recorder_.currentIndex())
        return void(jobs_.erase(found));  // run of an earlier incarnation
    if (job.callsLeft == 0) {
        const std::string result = "result of " + job.id + " run " + std::to_string(job.run);
        recorder_.observations.runs[job.run].result = result;
        return finish(number, "ok", result);
    }
    --job.callsLeft;
    job.blocked = true;
    recorder_.log("pool", "run waits for its dependency call", job.id);
    sendNotice(
        {{"type", "blocked"}, {"job", job.id}, {"data", worker_pool::encodeBase64("call of " + job.id)}});
}

void WorkerPoolProcess::finish(std::uint64_t number, const std::string& state, const std::string& result) {
    const std::string id = jobs_.at(number).id;
    jobs_.erase(number);
    recorder_.log("pool", "run ended: " + state, id);
    sendNotice({{"type", "finished"},
                {"job", id},
                {"state", state},
                {"took", 5},
                {"data", worker_pool::encodeBase64(result)}});
}

void WorkerPoolProcess::sendNotice(Json message) {
    message["n"] = ++lastNotice_;
    const std::string line = message.dump() + "\n";
    notices_.emplace_back(lastNotice_, line);
    if (notices_.size() > kMaxStoredNotices) notices_.pop_front();
    if (pendingBindAfter_) return;
    if (settings_.splitsNotices && pendingPiece_.empty() && random_.oneIn(kSplitOneIn)) {
        send(line.substr(0, line.size() / 2));
        pendingPiece_ = line.substr(line.size() / 2);
        pieceDue_ = net::unixNow() + kPieceDelay;
        return;
    }
    send(line);
    if (settings_.splitsNotices && random_.oneIn(kRepeatOneIn)) send(line);
}

void WorkerPoolProcess::send(const std::string& line) {
    if (server_ == nullptr) return;
    net::Connection* const connection = server_->find(connectionNumber_);
    if (connection != nullptr) connection->send(std::exchange(pendingPiece_, "") + line);
}

void WorkerPoolProcess::tick(Duration now) {
    if (now < upAt_) return;
    if (pendingBindAfter_) sendBound();
    for (const std::uint64_t number : cores_.ended(now)) segmentEnded(number);
    if (!pendingPiece_.empty() && now >= pieceDue_) send("");
    if (now < nextSample_) return;
    nextSample_ = now + kSampleInterval;
    endBlockedRunsNoLongerAwaited();
    observe(now);
}

void WorkerPoolProcess::endBlockedRunsNoLongerAwaited() {
    std::vector<std::uint64_t> notAwaited;
    for (const auto& [number, job] : jobs_)
        if (job.blocked && recorder_.isNoLongerAwaited(job.id)) notAwaited.push_back(number);
    for (const std::uint64_t number : notAwaited) finish(number, "halted", "");
}

void WorkerPoolProcess::observe(Duration now) {
    Incarnation& incarnation = recorder_.current();
    incarnation.peakReservedKb = std::max(incarnation.peakReservedKb, reservedKb(now));
    runsOnCores_.emplace_back(now, static_cast<double>(cores_.running()));
    while (runsOnCores_.front().first < now - settings_.overloadWindow) runsOnCores_.pop_front();
    if (now - upAt_ < settings_.overloadWindow) return;
    double sum = 0;
    for (const auto& [at, running] : runsOnCores_) sum += running;
    // WIRE, rule 4: cores * (1 + (fall multiple - 1) * current fraction of the speed).
    const double warmed = settings_.warmUpTime > 0ns ? (now - startedAt_) / (1.0 * settings_.warmUpTime) : 1;
    const double speed =
        cold_ ? std::min(1.0, settings_.coldFraction + (1 - settings_.coldFraction) * warmed) : 1.0;
    const double capacity = settings_.cores * (1 + (settings_.overloadFactor - 1) * speed);
    incarnation.peakOverloadFraction =
        std::max(incarnation.peakOverloadFraction, sum / static_cast<double>(runsOnCores_.size()) / capacity);
}

double WorkerPoolProcess::reservedKb(Duration now) const {
    double sum = 0;
    std::map<std::string, bool> runs;
    for (const auto& [number, job] : jobs_) {
        if (job.incarnation != recorder_.currentIndex()) continue;
        sum += job.memoryKb * settings_.runMemoryFactor;
        runs[job.id] = true;
    }
    // The latest attempts suffice, as no request of the soak waits longer than a few seconds.
    const auto& attempts = recorder_.observations.attempts;
    const std::size_t from = attempts.size() > 4096 ? attempts.size() - 4096 : 0;
    for (std::size_t index = from; index < attempts.size(); ++index) {
        const Attempt& attempt = attempts[index];
        const bool waits = attempt.writtenAt && now - *attempt.writtenAt > kReservedAfter &&
                           attempt.responses.empty() && !attempt.cancelledAt &&
                           attempt.connection == ConnectionOutcome::Open;
        if (waits && attempt.incarnation == recorder_.currentIndex() && !runs.contains(attempt.id))
            sum += attempt.memoryKb;
    }
    return sum;
}

}  // namespace cottonwing::soak
