#include "loadtest/load_clients.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>
#include <random>

#include "scgi/message.h"
#include "thrift/codec.h"

namespace cottonwing::loadtest {

using namespace std::chrono_literals;
using routing::ExecutionState;

namespace {

// Limits how long responses wait while the generator catches up with its schedule.
constexpr std::size_t kMaxRequestsPerWakeup = 512;
// Per connection: timed-out requests whose late response is still recognized as one.
constexpr std::size_t kMaxTimedOutSequences = 256;
// A request sent within this time before its connection closed may have crossed the close.
constexpr Duration kCloseRaceWindow = 50ms;
// A server owes a response until the timeout; one that arrives this much later is not counted as lost.
constexpr Duration kResponseGracePeriod = 50ms;
// Between two checks for idle connections, connect timeouts and due health checks.
constexpr Duration kConnectionSweepInterval = 100ms;
// With less time than this left, a retry is not worth sending.
constexpr Duration kMinAttemptTime = 5ms;

std::string toHex(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::optional<double> numericField(const thrift::Fields& fields, const char* name) {
    const auto found = fields.find(name);
    if (found == fields.end()) return std::nullopt;
    double value = 0;
    const char* const last = found->second.data() + found->second.size();
    const auto [end, error] = std::from_chars(found->second.data(), last, value);
    if (error != std::errc() || end != last || value < 0) return std::nullopt;
    return value;
}

}  // namespace

std::string attemptTraceId(std::uint64_t seed, std::uint64_t number, int attempt) {
    // splitMix64() is a bijection and the seed adds the same offset to all numbers of a run, so that no two
    // attempts get the same id.
    return toHex(
        routing::splitMix64(routing::splitMix64(seed) + number * 16 + static_cast<std::uint64_t>(attempt)));
}

std::string requestBody(const ScheduledRequest& scheduled, int calls, const std::string& firstTraceId) {
    char head[120];
    std::snprintf(head, sizeof head, "cw1 %s %lld %d %lld %d;", firstTraceId.c_str(),
                  static_cast<long long>(scheduled.work / 1us), calls,
                  static_cast<long long>(scheduled.callDuration / 1us), scheduled.runFails ? 1 : 0);
    std::string body = head;
    if (body.size() < scheduled.bodyBytes) body.resize(scheduled.bodyBytes, '.');
    return body;
}

// A connection of one client to one server.
struct LoadClients::ServerConnection : net::ConnectionHandler {
    ServerConnection(LoadClients& loadClients, std::size_t ofClient, std::size_t toTarget,
                     bool forHealthChecks)
        : owner(loadClients), clientIndex(ofClient), target(toTarget), healthCheck(forHealthChecks) {}
    void arrived(net::Connection& connection) override {
        if (usesScgi) return readScgiReply(connection);
        std::size_t length = 0;
        while (socket != nullptr) {
            const auto state = thrift::peekFrame(connection.input(), length);
            if (state == thrift::FrameState::Partial) return;
            std::optional<ClientResponse> response;
            if (state == thrift::FrameState::Complete) {
                response = readClientResponse(connection.input().peek(4 + length, frameBuffer).substr(4));
                connection.input().drop(4 + length);
            }
            if (!response) {
                owner.statistics_.violations.record(
                    owner.statistics_.violations.unreadableResponses,
                    "unreadable response from server " + std::to_string(target));
                return owner.handleConnectionEnd(*this, net::ConnectionEnd::Malformed);
            }
            owner.handleResponse(*this, std::move(*response));
        }
    }
    void readScgiReply(net::Connection& connection) {
        while (socket && !connection.input().empty()) {
            const std::string_view piece = connection.input().front();
            const auto state = replyReader.read(piece);
            connection.input().drop(piece.size());
            if (state != scgi::ReplyReader::State::Partial && connection.input().empty())
                return handleScgiReply();
        }
    }
    // A 503 was rejected before it ran; any other status from 400 is a failure.
    void handleScgiReply() {
        if (replyReader.state() != scgi::ReplyReader::State::Complete) {
            owner.statistics_.violations.record(
                owner.statistics_.violations.unreadableResponses,
                "unreadable SCGI reply from server " + std::to_string(target));
            return owner.handleConnectionEnd(*this, net::ConnectionEnd::Malformed);
        }
        ClientResponse response;
        response.sequence = 1;
        const int status = replyReader.reply().status;
        response.kind = status < 400    ? ClientResponse::Kind::Answer
                        : status == 503 ? ClientResponse::Kind::Busy
                                        : ClientResponse::Kind::Failed;
        response.good = status < 400;
        response.body = replyReader.reply().body;
        if (const auto retryAfterMs = scgi::findHeader(replyReader.reply().headers, "x-retry-after-ms"))
            response.fields["pause"] = *retryAfterMs;
        if (scgi::findHeader(replyReader.reply().headers, "x-nowhere-else"))
            response.fields["terminal"] = "1";
        // An SCGI application may send a 503 of its own after it has begun to run. Only a rejection by the
        // gateway has a retry-after header.
        if (response.kind == ClientResponse::Kind::Busy && !response.fields.contains("pause"))
            response.kind = ClientResponse::Kind::Failed;
        owner.handleResponse(*this, std::move(response));
    }
    void ended(net::Connection&, net::ConnectionEnd end) override {
        if (usesScgi && end == net::ConnectionEnd::PeerClosed &&
            replyReader.connectionEnded() == scgi::ReplyReader::State::Complete)
            return handleScgiReply();
        owner.handleConnectionEnd(*this, end);
    }

    LoadClients& owner;
    const std::size_t clientIndex, target;
    const bool healthCheck;
    bool usesScgi = false;
    scgi::ReplyReader replyReader{1 << 20};
    std::unique_ptr<net::Connection> socket;
    // By sequence number; removed by responses and timeouts.
    std::unordered_map<std::int32_t, std::uint64_t> openRequests;
    // Timed-out requests whose late response is ignored; bounded, the oldest are removed first.
    std::unordered_set<std::int32_t> timedOutSequences;
    std::deque<std::int32_t> timedOutOrder;
    std::int32_t lastSequence = 0;
    bool draining = false;
    Duration openedAt{0}, lastUsedAt{0};
    std::string frameBuffer;
};

struct LoadClients::Client {
    Client(const ClientConfig& config, std::size_t clientNumber, std::uint64_t seed)
        : number(clientNumber),
          random(static_cast<std::mt19937::result_type>(
              routing::splitMix64(seed ^ (clientNumber + 1) * 0x9E3779B9))),
          loadBalancer(config.loadBalancingPolicy),
          outlierDetector(config.outlierDetection),
          retryBudget(config.retryPolicy),
          connections(config.targets.size()),
          healthCheckConnections(config.targets.size()),
          queuedRequests(config.targets.size()) {
        for (std::size_t at = 0; at < config.targets.size(); ++at) outlierDetector.add();
        // Each client starts with another server, so that their round robins are not in step.
        for (std::size_t at = 0; at < config.targets.size(); ++at)
            loadBalancer.add((at + clientNumber) % config.targets.size());
    }
    const std::size_t number;
    std::mt19937 random;
    routing::LoadBalancer loadBalancer;
    routing::OutlierDetector outlierDetector;
    routing::RetryBudget retryBudget;
    std::vector<std::vector<std::unique_ptr<ServerConnection>>> connections;  // by target
    std::vector<std::unique_ptr<ServerConnection>> healthCheckConnections;
    // By target: requests that wait for capacity on a connection, until their timeout.
    std::vector<std::deque<std::uint64_t>> queuedRequests;
};

LoadClients::LoadClients(net::Loop& loop, ClientConfig config, const RequestScheduleConfig& scheduleConfig,
                         int workerIndex, int workerCount, LoadStatistics& statistics, LoadProgress& progress,
                         Clocks clocks, RequestObserver* observer)
    : loop_(loop),
      config_(std::move(config)),
      scheduleConfig_(scheduleConfig),
      workerIndex_(workerIndex),
      workerCount_(workerCount),
      statistics_(statistics),
      progress_(progress),
      clocks_(std::move(clocks)),
      observer_(observer),
      schedule_(makeRequestSchedule(scheduleConfig)),
      wakeupTimer_(loop, [this] { processDueWork(); }) {
    for (int number = workerIndex; number < config_.clients; number += workerCount)
        clients_.push_back(
            std::make_unique<Client>(config_, static_cast<std::size_t>(number), scheduleConfig.seed));
}

LoadClients::~LoadClients() = default;

void LoadClients::start(Duration startTime) {
    start_ = startTime;
    nextHealthCheck_ = clocks_.steady();
    started_ = true;
    nextRequest_ = schedule_->next();
    processDueWork();
}

void LoadClients::stop() {
    stopped_ = true;
    nextRequest_.reset();
    processDueWork();
}

void LoadClients::abort() {
    stopped_ = true;
    nextRequest_.reset();
    const Duration now = clocks_.steady();
    std::vector<std::uint64_t> ids;
    for (const auto& [id, request] : openRequests_) ids.push_back(id);
    for (const std::uint64_t id : ids) {
        TrackedRequest& request = openRequests_.at(id);
        const RequestOutcome outcome =
            request.everSent
                ? (request.connection != nullptr ? RequestOutcome::NoAnswer : request.lastOutcome)
                : RequestOutcome::NeverSent;
        if (request.connection != nullptr) releaseAttempt(request, std::nullopt, now);
        finishRequest(id, outcome, now);
    }
    processDueWork();
}

void LoadClients::processDueWork() {
    if (!started_ || done_) return;
    wakeupAt_ = 0ns;
    closedConnections_.clear();
    const Duration now = clocks_.steady();
    startScheduledRequests(now);
    while (!requestTimers_.empty() && requestTimers_.begin()->first <= now) {
        const std::uint64_t id = requestTimers_.begin()->second;
        TrackedRequest& request = openRequests_.at(id);
        if (request.connection != nullptr || request.queued)
            handleTimeout(id, now);
        else
            startAttempt(id, now);
    }
    maintainConnections(now);
    statistics_.unreadableTraceLines = schedule_->skippedLines();
    if (!nextRequest_ && openRequests_.empty()) {
        done_ = true;
        progress_.done = true;
        for (auto& client : clients_) {
            for (auto& connections : client->connections) {
                for (auto& connection : connections)
                    connection->socket->tryFlush();  // sends a `forget` that is still buffered
                connections.clear();
            }
            for (auto& connection : client->healthCheckConnections) connection.reset();
        }
        wakeupTimer_.stop();
        if (onDone_) onDone_();
        return;
    }
    armWakeup();
}

// Waking too early does no harm, so the timer is only set again for an earlier time.
void LoadClients::armWakeup() {
    Duration at = nextConnectionSweep_;
    if (!requestTimers_.empty()) at = std::min(at, requestTimers_.begin()->first);
    if (nextRequest_ && config_.closedLoopConcurrency == 0) at = std::min(at, start_ + nextRequest_->arrival);
    if (wakeupAt_ > 0ns && at >= wakeupAt_) return;
    wakeupAt_ = at;
    wakeupTimer_.startAt(at);
}

void LoadClients::wakeSoon() {
    wakeupAt_ = clocks_.steady();
    wakeupTimer_.startAt(wakeupAt_);
}

// Each worker reads the whole schedule and sends the requests of its own clients, so that the requests of a
// run do not depend on the number of workers.
void LoadClients::startScheduledRequests(Duration now) {
    std::size_t started = 0;
    while (nextRequest_) {
        const auto client = nextRequest_->number % static_cast<std::uint64_t>(config_.clients);
        const bool ownedByWorker =
            static_cast<int>(client % static_cast<std::uint64_t>(workerCount_)) == workerIndex_;
        if (ownedByWorker) {
            if (config_.closedLoopConcurrency > 0) {
                const int workerConcurrency =
                    config_.closedLoopConcurrency / workerCount_ +
                    (workerIndex_ < config_.closedLoopConcurrency % workerCount_ ? 1 : 0);
                if (openRequests_.size() >= static_cast<std::size_t>(workerConcurrency) ||
                    now >= start_ + scheduleConfig_.duration) {
                    if (now >= start_ + scheduleConfig_.duration) nextRequest_.reset();
                    return;
                }
                startRequest(*nextRequest_, now, now);
            } else {
                if (start_ + nextRequest_->arrival > now) return;
                startRequest(*nextRequest_, start_ + nextRequest_->arrival, now);
            }
            // When behind schedule, the loop must still read responses between requests.
            if (++started >= kMaxRequestsPerWakeup) {
                nextRequest_ = schedule_->next();
                return wakeSoon();
            }
        }
        nextRequest_ = schedule_->next();
    }
}

void LoadClients::startRequest(const ScheduledRequest& scheduled, Duration scheduledAt, Duration now) {
    const RequestClassLoad& requestClass =
        scheduleConfig_.requestClasses[static_cast<std::size_t>(scheduled.requestClass)];
    RequestClassStatistics& classStatistics =
        statistics_.requestClasses[static_cast<std::size_t>(scheduled.requestClass)];
    ++classStatistics.scheduled;
    classStatistics.offeredValue += requestClass.value;
    progress_.scheduled.fetch_add(1, std::memory_order_relaxed);
    if (observer_ != nullptr) observer_->onScheduled(scheduled, scheduledAt);
    const std::uint64_t id = scheduled.number;
    TrackedRequest& request = openRequests_[id];
    request.scheduled = scheduled;
    request.scheduledAt = scheduledAt;
    request.deadline = scheduledAt + std::min(requestClass.timeout, scheduled.attemptTimeout);
    request.clientIndex = (scheduled.number % static_cast<std::uint64_t>(config_.clients)) /
                          static_cast<std::uint64_t>(workerCount_);
    request.firstTraceId = attemptTraceId(scheduleConfig_.seed, id, 0);
    Interval& interval = statistics_.series.at(scheduledAt - start_);
    interval.maxOpenRequests = std::max<std::uint64_t>(interval.maxOpenRequests, openRequests_.size());
    interval.offeredValue += requestClass.value;
    if (openRequests_.size() > config_.maxOpenRequests) {
        statistics_.sendDelay.add(now - scheduledAt);
        return finishRequest(id, RequestOutcome::NeverSent, now);
    }
    startAttempt(id, now);
}

void LoadClients::setRequestTimer(std::uint64_t id, TrackedRequest& request, Duration at) {
    requestTimers_.erase({request.timerAt, id});
    request.timerAt = at;
    requestTimers_.emplace(at, id);
}

void LoadClients::startAttempt(std::uint64_t id, Duration now) {
    TrackedRequest& request = openRequests_.at(id);
    Client& client = *clients_[request.clientIndex];
    if (now >= request.deadline)
        return finishRequest(id, request.everSent ? request.lastOutcome : RequestOutcome::NeverSent, now);
    const auto usable = [&](std::size_t at) { return client.outlierDetector.isUsable(at, now); };
    const auto chosen =
        client.loadBalancer.choose(request.scheduled.subject, request.target, usable, client.random);
    ++request.attempts;
    if (!chosen) {
        // No server is usable now: the attempt is retried like one that was rejected before it began.
        return handleAttemptFailure(id, now, ExecutionState::NotStarted, RequestOutcome::NeverSent);
    }
    request.target = *chosen;
    if (sendAttempt(id, request, *chosen, now)) return;
    request.queued = true;
    client.queuedRequests[*chosen].push_back(id);
    setRequestTimer(id, request, request.deadline);
}

// Returns the connection with the fewest open requests, or a new one if all are busy and the limit allows it,
// or null.
LoadClients::ServerConnection* LoadClients::selectConnection(Client& client, std::size_t target) {
    auto& connections = client.connections[target];
    ServerConnection* best = nullptr;
    std::size_t usable = 0;
    for (const auto& connection : connections) {
        if (connection->draining) continue;
        ++usable;
        if (best == nullptr || connection->openRequests.size() < best->openRequests.size())
            best = connection.get();
    }
    if (best != nullptr &&
        (best->openRequests.empty() || usable >= static_cast<std::size_t>(config_.maxConnectionsPerTarget)))
        return best->openRequests.size() < static_cast<std::size_t>(config_.maxRequestsPerConnection)
                   ? best
                   : nullptr;
    if (usable >= static_cast<std::size_t>(config_.maxConnectionsPerTarget)) return nullptr;
    auto connection = std::make_unique<ServerConnection>(
        *this, client.number / static_cast<std::size_t>(workerCount_), target, false);
    connection->openedAt = connection->lastUsedAt = clocks_.steady();
    connection->socket = std::make_unique<net::Connection>(loop_, config_.targets[target], *connection,
                                                           net::BufferLimits{1 << 20, 1 << 20});
    ++statistics_.connections.opened;
    connections.push_back(std::move(connection));
    return connections.back().get();
}

bool LoadClients::sendAttempt(std::uint64_t id, TrackedRequest& request, std::size_t target, Duration now) {
    Client& client = *clients_[request.clientIndex];
    const bool usesScgi =
        scheduleConfig_.requestClasses[static_cast<std::size_t>(request.scheduled.requestClass)].usesScgi;
    ServerConnection* const connection =
        usesScgi ? openScgiConnection(client, target) : selectConnection(client, target);
    if (connection == nullptr) return false;
    request.queued = false;
    // Attempts use the numbers 0 to 5, and the numbers from 8 once the request was resent, so that no two
    // attempts share an id.
    request.traceId = request.resent ? attemptTraceId(scheduleConfig_.seed, id, request.attempts + 7)
                                     : attemptTraceId(scheduleConfig_.seed, id, request.attempts - 1);
    request.connection = connection;
    request.sequence = ++connection->lastSequence;
    request.sentAt = now;
    if (!request.everSent) {
        request.firstSentAt = now;
        statistics_.sendDelay.add(now - request.scheduledAt);
    }
    request.everSent = true;
    const ScheduledRequest& scheduled = request.scheduled;
    if (usesScgi)
        connection->socket->send(scgiMessage(request, now));
    else
        connection->socket->send(thriftMessage(request, client.number, now));

    connection->openRequests.emplace(request.sequence, id);
    connection->lastUsedAt = now;
    client.loadBalancer.requestStarted(target);
    client.outlierDetector.requestStarted(target, now);
    ++statistics_.requestClasses[static_cast<std::size_t>(scheduled.requestClass)].attempts;
    ++statistics_.series.at(request.scheduledAt - start_).attempts;
    if (observer_ != nullptr)
        observer_->onAttemptSent(scheduled, request.traceId, request.firstTraceId, target);
    setRequestTimer(id, request, request.deadline);
    return true;
}

std::string LoadClients::thriftMessage(const TrackedRequest& request, std::size_t clientNumber,
                                       Duration now) const {
    const ScheduledRequest& scheduled = request.scheduled;
    const RequestClassLoad& requestClass =
        scheduleConfig_.requestClasses[static_cast<std::size_t>(scheduled.requestClass)];
    const Duration createdAt = clocks_.unix();
    thrift::Fields fields;
    fields["route"] = requestClass.claimedClass.empty() ? requestClass.name : requestClass.claimedClass;
    fields["trace"] = request.traceId;
    fields["born"] = std::to_string(createdAt / 1ms);
    fields["client"] = std::to_string(clientNumber);
    fields["customer"] = tenantName(scheduled.tenant);
    fields["patience"] = std::to_string(std::max<std::int64_t>(1, (request.deadline - now) / 1ms));
    if (scheduled.isRetry || request.attempts > 1) fields["redo"] = "1";
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(scheduled.workHint.count()) / 1e6);
    fields["weight"] = text;
    std::snprintf(text, sizeof text, "%.1f", scheduled.memoryKb);
    fields["size"] = text;
    std::snprintf(text, sizeof text, "%.4f", std::min(scheduled.rank, 0.9999));
    fields["order"] = text;
    if (requestClass.idempotency == Idempotency::Idempotent)
        fields["entity"] = toHex(routing::splitMix64(scheduled.subject));
    return writeServeCall(request.sequence, fields,
                          requestBody(scheduled, requestClass.callsPerRun, request.firstTraceId));
}

std::string LoadClients::scgiMessage(const TrackedRequest& request, Duration now) const {
    const ScheduledRequest& scheduled = request.scheduled;
    const RequestClassLoad& requestClass =
        scheduleConfig_.requestClasses[static_cast<std::size_t>(scheduled.requestClass)];
    scgi::Headers headers = {
        {"REQUEST_METHOD", "POST"},
        {"REQUEST_URI",
         "/" + (requestClass.claimedClass.empty() ? requestClass.name : requestClass.claimedClass) + "/" +
             std::to_string(scheduled.subject)},
        {"HTTP_X_TRACE", request.traceId},
        {"HTTP_X_CUSTOMER", tenantName(scheduled.tenant)},
        {"HTTP_X_PATIENCE_MS", std::to_string(std::max<std::int64_t>(1, (request.deadline - now) / 1ms))}};
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(scheduled.workHint.count()) / 1e6);
    headers.emplace_back("HTTP_X_COST_MS", text);
    if (scheduled.isRetry || request.attempts > 1) headers.emplace_back("HTTP_X_REDO", "1");
    return scgi::writeRequest(headers,
                              requestBody(scheduled, requestClass.callsPerRun, request.firstTraceId));
}

// SCGI needs a connection for each request.
LoadClients::ServerConnection* LoadClients::openScgiConnection(Client& client, std::size_t target) {
    auto connection = std::make_unique<ServerConnection>(
        *this, client.number / static_cast<std::size_t>(workerCount_), target, false);
    connection->usesScgi = true;
    connection->draining = true;  // takes no further requests
    connection->openedAt = connection->lastUsedAt = clocks_.steady();
    connection->socket = std::make_unique<net::Connection>(loop_, config_.scgiTargets[target], *connection,
                                                           net::BufferLimits{1 << 20, 1 << 20});
    ++statistics_.connections.opened;
    client.connections[target].push_back(std::move(connection));
    return client.connections[target].back().get();
}

// Frees the attempt's place on its connection and in the load balancer's count for its server.
void LoadClients::releaseAttempt(TrackedRequest& request, std::optional<Duration> latency, Duration now) {
    if (request.connection == nullptr) return;
    if (observer_ != nullptr) observer_->onAttemptReleased(request.traceId);
    clients_[request.clientIndex]->loadBalancer.requestEnded(*request.target, latency, now);
    request.connection->openRequests.erase(request.sequence);
    request.connection->lastUsedAt = now;
    request.connection = nullptr;
}

void LoadClients::handleAttemptFailure(std::uint64_t id, Duration now, ExecutionState execution,
                                       RequestOutcome outcome, std::optional<Duration> retryAfter,
                                       bool noRetryElsewhere) {
    TrackedRequest& request = openRequests_.at(id);
    Client& client = *clients_[request.clientIndex];
    request.lastOutcome = outcome;
    client.retryBudget.recordFailure();
    routing::FailedAttempt failedAttempt;
    failedAttempt.idempotency =
        scheduleConfig_.requestClasses[static_cast<std::size_t>(request.scheduled.requestClass)].idempotency;
    failedAttempt.execution = execution;
    failedAttempt.attempts = request.attempts;
    failedAttempt.previousDelay = request.previousDelay;
    failedAttempt.retryAfter = retryAfter;
    failedAttempt.noRetryElsewhere = noRetryElsewhere;
    failedAttempt.deadline = request.deadline;
    failedAttempt.minAttemptTime = kMinAttemptTime;
    const auto decision =
        routing::decideRetry(config_.retryPolicy, client.retryBudget, failedAttempt, now, client.random);
    ++statistics_.connections.retryDecisions[static_cast<std::size_t>(decision.reason)];
    if (decision.reason != routing::RetryDecisionReason::Retry ||
        (stopped_ && config_.closedLoopConcurrency > 0))
        return finishRequest(id, outcome, now);
    request.previousDelay = decision.retryAt - now;
    setRequestTimer(id, request, decision.retryAt);
}

void LoadClients::handleTimeout(std::uint64_t id, Duration now) {
    TrackedRequest& request = openRequests_.at(id);
    if (request.queued)
        return finishRequest(id, request.everSent ? request.lastOutcome : RequestOutcome::NeverSent, now);
    ServerConnection& connection = *request.connection;
    // A response that crosses the timeout is not a violation, and a server that received `forget` owes no
    // response. So the client waits for the grace period before it cancels and counts the response as lost.
    if (now < request.deadline + kResponseGracePeriod)
        return setRequestTimer(id, request, request.deadline + kResponseGracePeriod);
    if (connection.socket && connection.socket->isOpen())
        statistics_.violations.record(
            statistics_.violations.lostResponses,
            "no response to " + request.traceId + " from server " + std::to_string(connection.target));
    clients_[request.clientIndex]->outlierDetector.recordFailure(*request.target, now,
                                                                 clients_[request.clientIndex]->random);
    // An SCGI client cancels a request by closing its connection.
    const bool usesScgi = connection.usesScgi;
    if (config_.cancelsTimedOutRequests && connection.socket && !usesScgi) {
        connection.socket->send(writeCancel(++connection.lastSequence, request.sequence));
        ++statistics_.connections.cancelMessages;
    }
    connection.timedOutSequences.insert(request.sequence);
    connection.timedOutOrder.push_back(request.sequence);
    if (connection.timedOutOrder.size() > kMaxTimedOutSequences) {
        connection.timedOutSequences.erase(connection.timedOutOrder.front());
        connection.timedOutOrder.pop_front();
    }
    releaseAttempt(request, std::nullopt, now);
    finishRequest(id, RequestOutcome::NoAnswer, now);
    if (usesScgi) handleConnectionEnd(connection, net::ConnectionEnd::Unused);
}

void LoadClients::finishRequest(std::uint64_t id, RequestOutcome outcome, Duration now) {
    const auto at = openRequests_.find(id);
    TrackedRequest& request = at->second;
    const RequestClassLoad& requestClass =
        scheduleConfig_.requestClasses[static_cast<std::size_t>(request.scheduled.requestClass)];
    RequestClassStatistics& classStatistics =
        statistics_.requestClasses[static_cast<std::size_t>(request.scheduled.requestClass)];
    if (!request.everSent && outcome == RequestOutcome::NeverSent &&
        openRequests_.size() <= config_.maxOpenRequests)
        statistics_.sendDelay.add(now - request.scheduledAt);
    const Duration latency = now - request.scheduledAt;
    if (outcome == RequestOutcome::Completed && latency > requestClass.latencyObjective)
        outcome = RequestOutcome::Late;
    Interval& interval = statistics_.series.at(request.scheduledAt - start_);
    if (outcome == RequestOutcome::Completed || outcome == RequestOutcome::Late) {
        classStatistics.latencyFromSchedule.add(latency);
        classStatistics.latencyFromWrite.add(now - request.firstSentAt);
        const double earnedValue = outcome == RequestOutcome::Completed
                                       ? requestClass.value
                                       : requestClass.value * requestClass.lateValueFraction;
        classStatistics.earnedValue += earnedValue;
        interval.earnedValue += earnedValue;
        if (!interval.latencies) interval.latencies = std::make_unique<LatencyHistogram>();
        interval.latencies->add(latency);
        progress_.completed.fetch_add(1, std::memory_order_relaxed);
    }
    ++classStatistics.outcomes[static_cast<std::size_t>(outcome)];
    ++interval.outcomes[static_cast<std::size_t>(outcome)];
    progress_.ended.fetch_add(1, std::memory_order_relaxed);
    if (observer_ != nullptr) observer_->onRequestEnded(request.scheduled, request.traceId, outcome);
    if (request.queued) std::erase(clients_[request.clientIndex]->queuedRequests[*request.target], id);
    requestTimers_.erase({request.timerAt, id});
    openRequests_.erase(at);
}

void LoadClients::sendQueuedRequests(Client& client, std::size_t target, Duration now) {
    auto& queuedRequests = client.queuedRequests[target];
    while (!queuedRequests.empty()) {
        const std::uint64_t id = queuedRequests.front();
        TrackedRequest& request = openRequests_.at(id);
        if (!sendAttempt(id, request, target, now)) return;
        queuedRequests.pop_front();
    }
}

void LoadClients::handleResponse(ServerConnection& connection, ClientResponse&& response) {
    const Duration now = clocks_.steady();
    Client& client = *clients_[connection.clientIndex];
    if (config_.honorsServerWeight)
        if (const auto weight = numericField(response.fields, "advice"))
            client.loadBalancer.setWeight(connection.target, std::clamp(*weight, 0.05, 4.0));
    if (response.kind == ClientResponse::Kind::Goaway) {
        connection.draining = true;
        ++statistics_.connections.goaways;
        if (connection.openRequests.empty()) handleConnectionEnd(connection, net::ConnectionEnd::Unused);
        return;
    }
    if (connection.healthCheck) {
        const bool healthy = response.kind == ClientResponse::Kind::Answer && response.good;
        ++statistics_.connections.healthChecks;
        statistics_.connections.failedHealthChecks += !healthy;
        connection.openRequests.clear();
        client.outlierDetector.recordHealthCheck(connection.target, healthy, now, client.random);
        return;
    }
    const auto found = connection.openRequests.find(response.sequence);
    if (found == connection.openRequests.end()) {
        if (connection.timedOutSequences.erase(response.sequence) > 0) return;
        const std::string where = " sequence number " + std::to_string(response.sequence) + " from server " +
                                  std::to_string(connection.target);
        if (response.sequence >= 1 && response.sequence <= connection.lastSequence)
            statistics_.violations.record(statistics_.violations.duplicateResponses,
                                          "second response with" + where);
        else
            statistics_.violations.record(statistics_.violations.unknownSequences,
                                          "response with unknown" + where);
        return;
    }
    const std::uint64_t id = found->second;
    TrackedRequest& request = openRequests_.at(id);
    if (observer_ != nullptr) observer_->onResponse(request.traceId, response.kind);
    const Duration latency = now - request.sentAt;
    const std::size_t target = connection.target;
    switch (response.kind) {
        case ClientResponse::Kind::Answer: {
            releaseAttempt(request, latency, now);
            client.outlierDetector.recordSuccess(target, now);
            const std::string expected = "ok " + request.traceId;
            if (config_.verifiesResults && response.body.substr(0, expected.size()) != expected) {
                statistics_.violations.record(statistics_.violations.wrongResults,
                                              "result that no run produced for " + request.traceId);
                finishRequest(id, RequestOutcome::Failed, now);
                break;
            }
            client.retryBudget.recordSuccess();
            finishRequest(id, RequestOutcome::Completed, now);
            break;
        }
        case ClientResponse::Kind::Busy: {
            releaseAttempt(request, std::nullopt, now);
            client.outlierDetector.recordSuccess(target, now);  // a rejection shows that the server works
            std::optional<Duration> retryAfter;
            if (const auto retryAfterMs = numericField(response.fields, "pause"))
                retryAfter = Duration(static_cast<std::int64_t>(std::min(*retryAfterMs, 1e9) * 1e6));
            handleAttemptFailure(id, now, ExecutionState::NotStarted, RequestOutcome::Rejected, retryAfter,
                                 response.fields.contains("terminal"));
            break;
        }
        case ClientResponse::Kind::Failed:
        case ClientResponse::Kind::Exception:
        case ClientResponse::Kind::Goaway:
            releaseAttempt(request, std::nullopt, now);
            client.outlierDetector.recordFailure(target, now, client.random);
            handleAttemptFailure(id, now, ExecutionState::Unknown, RequestOutcome::Failed);
            break;
    }
    if (connection.draining && connection.openRequests.empty())
        return handleConnectionEnd(connection, net::ConnectionEnd::Unused);
    sendQueuedRequests(client, target, now);
    // A retry may now be due before the timer, or the run may be complete.
    if (config_.closedLoopConcurrency > 0 || (!nextRequest_ && openRequests_.empty()))
        wakeSoon();
    else
        armWakeup();
}

void LoadClients::handleConnectionEnd(ServerConnection& connection, net::ConnectionEnd end) {
    const Duration now = clocks_.steady();
    Client& client = *clients_[connection.clientIndex];
    const std::size_t target = connection.target;
    const bool connectFailed =
        end == net::ConnectionEnd::ConnectRefused || end == net::ConnectionEnd::ConnectTimedOut;
    if (connectFailed)
        ++statistics_.connections.connectFailures;
    else if (end == net::ConnectionEnd::Unused)
        ++statistics_.connections.closedUnused;
    else if (end == net::ConnectionEnd::PeerClosed)
        ++statistics_.connections.closedByPeer;
    else
        ++statistics_.connections.reset;
    connection.socket.reset();
    // The object is kept until the next processDueWork(), because the callback that led here may still use
    // it.
    if (connection.healthCheck) {
        if (!connection.openRequests.empty() || connectFailed) {
            ++statistics_.connections.healthChecks, ++statistics_.connections.failedHealthChecks;
            client.outlierDetector.recordHealthCheck(target, false, now, client.random);
        }
        closedConnections_.push_back(std::move(client.healthCheckConnections[target]));
    } else {
        auto& connections = client.connections[target];
        const auto place = std::find_if(connections.begin(), connections.end(),
                                        [&](const auto& each) { return each.get() == &connection; });
        closedConnections_.push_back(std::move(*place));
        connections.erase(place);
    }
    const auto interrupted = std::move(connection.openRequests);
    connection.openRequests.clear();
    bool failureRecorded = false;
    for (const auto& [sequence, id] : interrupted) {
        if (connection.healthCheck) continue;
        const auto at = openRequests_.find(id);
        if (at == openRequests_.end()) continue;
        TrackedRequest& request = at->second;
        releaseAttempt(request, std::nullopt, now);
        // A request that is not idempotent is only sent again if the server has announced by `goaway` that it
        // accepts no more on this connection.
        const bool safeToResend =
            connection.draining ||
            scheduleConfig_.requestClasses[static_cast<std::size_t>(request.scheduled.requestClass)]
                    .idempotency == Idempotency::Idempotent;
        const bool closedDuringSend =
            !connectFailed && !connection.usesScgi && safeToResend &&
            now - request.sentAt < kCloseRaceWindow && !request.resent &&
            (end == net::ConnectionEnd::PeerClosed || end == net::ConnectionEnd::Reset);
        if (closedDuringSend) {
            request.resent = true;
            ++statistics_.connections.resent;
            request.lastOutcome = RequestOutcome::ConnectionLost;
            if (!sendAttempt(id, request, target, now)) setRequestTimer(id, request, now);
            continue;
        }
        // A broken connection counts as one failure, however many requests were on it.
        if (!std::exchange(failureRecorded, true))
            client.outlierDetector.recordFailure(target, now, client.random);
        handleAttemptFailure(id, now, connectFailed ? ExecutionState::NotStarted : ExecutionState::Unknown,
                             RequestOutcome::ConnectionLost);
    }
    sendQueuedRequests(client, target, now);
    wakeSoon();
}

void LoadClients::maintainConnections(Duration now) {
    if (now < nextConnectionSweep_) return;
    nextConnectionSweep_ = now + kConnectionSweepInterval;
    const bool healthChecksDue = config_.healthCheckInterval > 0ns && now >= nextHealthCheck_;
    if (healthChecksDue) nextHealthCheck_ = now + config_.healthCheckInterval;
    for (auto& client : clients_)
        for (std::size_t target = 0; target < config_.targets.size(); ++target) {
            // Closes idle connections and those that could not be opened in time.
            auto& connections = client->connections[target];
            for (std::size_t at = 0; at < connections.size();) {
                ServerConnection& connection = *connections[at];
                const bool connectTimedOut =
                    !connection.socket->isOpen() && now - connection.openedAt > config_.connectTimeout;
                const bool idle =
                    connection.openRequests.empty() && now - connection.lastUsedAt > config_.idleTimeout;
                if (connectTimedOut)
                    handleConnectionEnd(connection, net::ConnectionEnd::ConnectTimedOut);
                else if (idle)
                    handleConnectionEnd(connection, net::ConnectionEnd::Unused);
                else
                    ++at;
            }
            if (!healthChecksDue) continue;
            auto& connection = client->healthCheckConnections[target];
            if (connection && !connection->openRequests.empty()) {  // the previous check was not answered
                handleConnectionEnd(*connection, net::ConnectionEnd::TimedOut);
            }
            if (!connection) {
                connection = std::make_unique<ServerConnection>(
                    *this, client->number / static_cast<std::size_t>(workerCount_), target, true);
                connection->openedAt = connection->lastUsedAt = now;
                connection->socket = std::make_unique<net::Connection>(
                    loop_, config_.targets[target], *connection, net::BufferLimits{65536, 65536});
            }
            connection->socket->send(
                writeHealthCheck(++connection->lastSequence, config_.thoroughHealthChecks));
            connection->openRequests.emplace(connection->lastSequence, 0);
        }
}

}  // namespace cottonwing::loadtest
