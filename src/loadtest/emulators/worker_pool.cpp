#include "loadtest/emulators/worker_pool.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "worker_pool/protocol.h"

namespace cottonwing::loadtest {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
constexpr std::size_t kMaxStoredNotices = 4000;
constexpr Duration kSampleInterval = 20ms;
}  // namespace

struct WorkerPool::ServerConnection : net::ConnectionHandler {
    explicit ServerConnection(WorkerPool& thePool) : pool(thePool) {}
    void arrived(net::Connection& from) override {
        while (connection && !closing) {
            const std::size_t end = from.input().find('\n', 0);
            if (end == from.input().size()) return;
            const std::string line(from.input().peek(end, lineBuffer));
            from.input().drop(end + 1);
            pool.handleMessage(line);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override {
        closing = true;
        connection.reset();
    }
    WorkerPool& pool;
    std::unique_ptr<net::Connection> connection;
    std::string lineBuffer;
    bool closing = false;
};

WorkerPool::WorkerPool(net::Loop& loop, std::size_t instance, const net::Address& address,
                       const WorkerPoolConfig& config, InvariantChecker& checker)
    : loop_(loop),
      instance_(instance),
      address_(address),
      config_(config),
      checker_(checker),
      cores_(config.cores),
      readyAt_(steadyNow() + config.startDelay),
      cold_(config.cold),
      timer_(loop, [this] { onTimer(); }) {
    listen();
    cores_.start(readyAt_);
    startedAt_ = readyAt_;
    timer_.startAt(readyAt_);
}

WorkerPool::~WorkerPool() = default;

void WorkerPool::listen() {
    listener_ = std::make_unique<net::Listener>(
        loop_, address_,
        [this](net::PendingConnection socket) {
            auto accepted = std::make_unique<ServerConnection>(*this);
            accepted->connection.reset(new net::Connection(loop_, socket, *accepted, {4 << 20, 16 << 20}));
            replacedConnection_ = std::move(connection_);  // a new connection replaces the previous one
            if (replacedConnection_)
                replacedConnection_->connection.reset(), replacedConnection_->closing = true;
            connection_ = std::move(accepted);
            unsentPart_.clear();
        },
        [] { return false; });
}

void WorkerPool::writeLine(const std::string& line) {
    if (!connection_ || connection_->closing || !connection_->connection) return;
    connection_->connection->send(std::exchange(unsentPart_, "") + line);
}

void WorkerPool::sendNotice(std::string line) {
    notices_.emplace_back(lastNotice_, line);
    if (notices_.size() > kMaxStoredNotices) notices_.pop_front();
    if (pendingBindAfter_ || !bound_) return;
    ++noticesWritten_;
    if (config_.duplicateEvery > 0 &&
        noticesWritten_ % static_cast<std::uint64_t>(config_.duplicateEvery) == 0)
        writeLine(line);
    if (config_.splitEvery > 0 && noticesWritten_ % static_cast<std::uint64_t>(config_.splitEvery) == 0) {
        // The reader has half a line until the rest follows with the next sample, some milliseconds later.
        writeLine(line.substr(0, line.size() / 2));
        return void(unsentPart_ += line.substr(line.size() / 2));
    }
    writeLine(line);
}

void WorkerPool::sendBound(std::uint64_t after) {
    const Duration now = steadyNow();
    writeLine(Json{{"type", "bound"}, {"state", cold_ ? "cold" : "warm"}, {"took", (now - startedAt_) / 1ms}}
                  .dump() +
              "\n");
    bound_ = true;
    for (const auto& [number, line] : notices_)
        if (number > after) writeLine(line);
}

void WorkerPool::handleMessage(const std::string& line) {
    const Json message = Json::parse(line, nullptr, false);
    if (!message.is_object()) return connection_->connection.reset();
    const std::string type = message.value("type", ""), job = message.value("job", "");
    const Duration now = steadyNow();
    reportEndedSegments(now);  // a suspension does not undo what ended before it arrived
    const auto known = jobByName_.find(job);
    if (type == "bind") {
        const auto after = message.value("n", std::uint64_t{0});
        if (now < readyAt_)
            pendingBindAfter_ = after;
        else
            sendBound(after);
    } else if (type == "spawn") {
        if (known != jobByName_.end()) return;
        const auto body = worker_pool::decodeBase64(message.value("data", ""));
        spawn(job, body.value_or(""));
    } else if (type == "suspend") {
        if (known == jobByName_.end()) return;
        cores_.remove(known->second, now);
        finishRun(known->second, "halted", "");
    } else if (type == "supply") {
        if (known == jobByName_.end()) return;
        Job& supplied = jobs_.at(known->second);
        if (!std::exchange(supplied.blocked, false)) return;
        checker_.callEnded(job, false);
        cores_.add(known->second, supplied.segmentWork, now);
    } else if (type == "poll") {
        writeLine(Json{{"type", "polled"},
                       {"ref", message.value("ref", "")},
                       {"gauges",
                        {cores_.utilisation(), static_cast<double>(cores_.running()),
                         checker_.memoryKb(instance_) / config_.heapKb, 1.0}}}
                      .dump() +
                  "\n");
    } else if (type == "verify") {
        writeLine(Json{{"type", "verified"}, {"ref", message.value("ref", "")}, {"state", "ok"}}.dump() +
                  "\n");
    } else if (type != "proceed") {
        return connection_->connection.reset();
    }
    onTimer();
}

void WorkerPool::spawn(const std::string& name, const std::string& body) {
    char firstTrace[17] = "";
    long long work = 0, call = 0;
    int calls = 0, fails = 0;
    if (std::sscanf(body.c_str(), "cw1 %16s %lld %d %lld %d;", firstTrace, &work, &calls, &call, &fails) != 5)
        return writeLine(Json{{"type", "unknown"}, {"state", "spawn"}, {"job", name}}.dump() + "\n");
    const Duration now = steadyNow();
    ++startedRuns_;
    checker_.runStarted(instance_, name, firstTrace, now);
    const std::uint64_t id = nextJob_++;
    Job& job = jobs_[id];
    job.name = name;
    job.firstTrace = firstTrace;
    job.remainingCalls = calls;
    job.callMicros = call;
    job.fails = fails != 0;
    job.startedAt = now;
    job.segmentWork = static_cast<double>(work) / 1e6 / (calls + 1);
    jobByName_[name] = id;
    cores_.add(id, job.segmentWork, now);
}

void WorkerPool::segmentEnded(std::uint64_t id) {
    Job& job = jobs_.at(id);
    if (job.remainingCalls > 0) {
        --job.remainingCalls;
        job.blocked = true;
        const std::string body = "call " + job.name + " " + std::to_string(job.callMicros);
        ++lastNotice_;
        return sendNotice(Json{{"type", "blocked"},
                               {"n", lastNotice_},
                               {"job", job.name},
                               {"data", worker_pool::encodeBase64(body)}}
                              .dump() +
                          "\n");
    }
    if (job.fails) return finishRun(id, "failed", "");
    finishRun(id, "ok", "ok " + job.name);
}

void WorkerPool::reportEndedSegments(Duration now) {
    for (const std::uint64_t id : cores_.ended(now)) segmentEnded(id);
}

void WorkerPool::finishRun(std::uint64_t id, const char* state, const std::string& result) {
    const Job job = jobs_.at(id);
    jobs_.erase(id);
    jobByName_.erase(job.name);
    checker_.runEnded(job.name);
    ++lastNotice_;
    sendNotice(Json{{"type", "finished"},
                    {"n", lastNotice_},
                    {"job", job.name},
                    {"state", state},
                    {"took", static_cast<double>((steadyNow() - job.startedAt).count()) / 1e6},
                    {"data", worker_pool::encodeBase64(result)}}
                   .dump() +
               "\n");
}

void WorkerPool::onTimer() {
    if (crashed_) return;
    const Duration now = steadyNow();
    if (now < readyAt_) return timer_.startAt(readyAt_);
    if (pendingBindAfter_) sendBound(*std::exchange(pendingBindAfter_, std::nullopt));
    reportEndedSegments(now);
    if (!unsentPart_.empty() && now >= nextSampleAt_) writeLine("");
    sampleLoad(now);
    Duration next = nextSampleAt_;
    if (const auto end = cores_.nextEnd()) next = std::min(next, *end);
    timer_.startAt(next);
}

// The overload condition is a mean over a window, so periodic samples suffice.
void WorkerPool::sampleLoad(Duration now) {
    if (now < nextSampleAt_) return;
    nextSampleAt_ = now + kSampleInterval;
    if (config_.endsBlockedRuns) endRunsOfClosedRequests();
    runSamples_.emplace_back(now, static_cast<double>(cores_.running()));
    runSum_ += runSamples_.back().second;
    while (runSamples_.front().first < now - config_.overloadWindow)
        runSum_ -= runSamples_.front().second, runSamples_.pop_front();
    const bool windowFilled = now - startedAt_ > config_.overloadWindow;
    const double mean = runSum_ / static_cast<double>(runSamples_.size());
    if (windowFilled && mean > config_.cores.cores * config_.overloadFactor &&
        !std::exchange(overloadReported_, true))
        checker_.overloaded(instance_, "a mean of " + std::to_string(mean) + " runs on its cores");
}

// Ends runs that wait for a call of a request that is over, as the platform's worker pool does.
void WorkerPool::endRunsOfClosedRequests() {
    std::vector<std::uint64_t> over;
    for (const auto& [id, job] : jobs_)
        if (job.blocked && !checker_.clientWaits(job.name)) over.push_back(id);
    for (const std::uint64_t id : over) finishRun(id, "halted", "");
}

std::size_t WorkerPool::blockedRuns() const {
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) { return entry.second.blocked; }));
}

void WorkerPool::setSlowdown(double factor) {
    cores_.setSlowdown(factor, steadyNow());
    onTimer();
}

void WorkerPool::breakConnection() {
    if (connection_) connection_->connection.reset(), connection_->closing = true;
}

void WorkerPool::crash() {
    crashed_ = true;
    listener_.reset();
    breakConnection();
    for (const auto& [id, job] : jobs_) checker_.runEnded(job.name);
    jobs_.clear(), jobByName_.clear(), notices_.clear();
    lastNotice_ = 0;
    pendingBindAfter_.reset();
    bound_ = false;
    cores_.start(steadyNow());
}

void WorkerPool::restart(bool cold) {
    crashed_ = false;
    cold_ = cold;
    readyAt_ = startedAt_ = steadyNow() + config_.startDelay;
    cores_.start(readyAt_);
    runSamples_.clear();
    runSum_ = 0;
    overloadReported_ = false;
    listen();
    timer_.startAt(readyAt_);
}

}  // namespace cottonwing::loadtest
