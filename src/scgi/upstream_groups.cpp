#include "scgi/upstream_groups.h"

#include <algorithm>

namespace cottonwing::scgi {

using namespace std::chrono_literals;
using routing::ExecutionState;
using State = routing::OutlierDetector::State;

namespace {

constexpr Duration kMaxTimerDelay = 20ms;  // scheduled times are checked at least this often
constexpr Duration kMinAttemptTime = 5ms;  // an attempt with less time than this is not worth starting
constexpr Duration kReplyMargin = 20ms;    // runs time out this long before the client stops waiting

Duration currentTime() { return net::unixNow(); }

// Whether the status only says that this server cannot handle the request now; another server may.
bool isUnavailableStatus(int status) { return status == 502 || status == 503 || status == 504; }

}  // namespace

struct UpstreamGroups::UpstreamConnection : net::ConnectionHandler {
    UpstreamConnection(UpstreamGroups& owner, std::size_t groupIndex, std::size_t endpointIndex,
                       std::optional<RequestId> run)
        : groups(owner),
          group(groupIndex),
          endpoint(endpointIndex),
          runId(run),
          reader(owner.limits_.maxReplyBytes) {}
    void arrived(net::Connection& from) override {
        while (transport && !from.input().empty()) {
            const std::string_view chunk = from.input().front();
            const auto state = reader.read(chunk);
            from.input().drop(chunk.size());
            if (state != scgi::ReplyReader::State::Partial && from.input().empty())
                return groups.onReply(*this);
        }
    }
    void ended(net::Connection& /*connection*/, net::ConnectionEnd end) override {
        groups.onConnectionEnded(*this, end);
    }
    UpstreamGroups& groups;
    const std::size_t group, endpoint;
    const std::optional<RequestId> runId;  ///< Absent: a health check.
    std::unique_ptr<net::Connection> transport;
    scgi::ReplyReader reader;
    Duration startedAt{0};
    std::list<std::unique_ptr<UpstreamConnection>>::iterator position;
};

UpstreamGroups::UpstreamGroups(net::Loop& loop, const std::vector<UpstreamGroupConfig>& groups,
                               std::vector<std::size_t> groupOfClass,
                               std::vector<RequestClass> requestClasses,
                               std::vector<std::string> requestClassNames, const UpstreamLimits& limits,
                               std::uint64_t seed, request::RequestManager& requestManager,
                               telemetry::Log& log)
    : loop_(loop),
      groupOfClass_(std::move(groupOfClass)),
      requestClasses_(std::move(requestClasses)),
      requestClassNames_(std::move(requestClassNames)),
      limits_(limits),
      bufferBudget_(std::make_shared<net::MemoryBudget>(net::MemoryBudget{limits.maxBufferedBytes, 0})),
      random_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)),
      requestManager_(requestManager),
      log_(log),
      timer_(loop, [this] { processDueRuns(); }) {
    for (const UpstreamGroupConfig& config : groups) {
        groups_.push_back(std::unique_ptr<Group>(new Group{config,
                                                           routing::OutlierDetector(config.outlierDetection),
                                                           routing::LoadBalancer(config.policy),
                                                           routing::RetryBudget(config.retryPolicy),
                                                           {},
                                                           {}}));
        for (const EndpointConfig& endpoint : config.endpoints) addEndpoint(*groups_.back(), endpoint);
    }
    timer_.start(kMaxTimerDelay);
}

UpstreamGroups::~UpstreamGroups() = default;

void UpstreamGroups::addEndpoint(Group& group, const EndpointConfig& config) {
    const std::size_t index = group.outliers.add();
    routing::ConcurrencyLimitConfig limitConfig;
    limitConfig.maxLimit = config.maxInFlight;
    Endpoint endpoint{config, routing::ConcurrencyLimit(limitConfig), 0, false, false, nullptr};
    if (index < group.endpoints.size())
        group.endpoints[index] = endpoint;
    else
        group.endpoints.push_back(endpoint);
    group.balancer.add(index, config.weight);
}

std::pair<std::size_t, std::size_t> UpstreamGroups::updateEndpoints(
    const std::vector<UpstreamGroupConfig>& groups) {
    std::size_t added = 0;
    std::size_t removed = 0;
    for (const UpstreamGroupConfig& config : groups) {
        const auto found = std::find_if(groups_.begin(), groups_.end(),
                                        [&](const auto& group) { return group->config.name == config.name; });
        if (found == groups_.end()) continue;
        Group& group = **found;
        const auto findConfig = [&](const net::Address& address) {
            return std::find_if(config.endpoints.begin(), config.endpoints.end(),
                                [&](const EndpointConfig& other) { return other.address == address; });
        };
        for (std::size_t index = 0; index < group.endpoints.size(); ++index) {
            Endpoint& endpoint = group.endpoints[index];
            if (endpoint.removed || endpoint.draining) continue;
            const auto newConfig = findConfig(endpoint.config.address);
            if (newConfig == config.endpoints.end()) {
                // It gets no new requests; its slot becomes free once nothing is in flight on it.
                endpoint.draining = true;
                group.balancer.remove(index);
                ++removed;
                if (endpoint.inFlight == 0) endpoint.removed = true, group.outliers.remove(index);
            } else if (!(*newConfig == endpoint.config)) {
                if (newConfig->weight != endpoint.config.weight)
                    group.balancer.setWeight(index, newConfig->weight);
                if (newConfig->maxInFlight != endpoint.config.maxInFlight) {
                    routing::ConcurrencyLimitConfig limitConfig;
                    limitConfig.maxLimit = newConfig->maxInFlight;
                    endpoint.limit = routing::ConcurrencyLimit(limitConfig);
                }
                endpoint.config = *newConfig;
            }
        }
        for (const EndpointConfig& endpointConfig : config.endpoints) {
            const bool exists =
                std::any_of(group.endpoints.begin(), group.endpoints.end(), [&](const Endpoint& other) {
                    return !other.removed && !other.draining &&
                           other.config.address == endpointConfig.address;
                });
            if (!exists) addEndpoint(group, endpointConfig), ++added;
        }
        group.config.endpoints = config.endpoints;
        dispatchQueued(group, currentTime());
    }
    return {added, removed};
}

std::size_t UpstreamGroups::queued() const {
    std::size_t total = 0;
    for (const auto& group : groups_) total += group->queue.size();
    return total;
}

std::size_t UpstreamGroups::ejectedCount(std::size_t group) const {
    return groups_[group]->outliers.ejectedCount();
}

void UpstreamGroups::schedule(RequestId id, Run& run, Duration time) {
    schedule_.erase({run.scheduledAt, id});
    run.scheduledAt = time;
    schedule_.emplace(time, id);
    timer_.start(std::clamp(schedule_.begin()->first - currentTime(), 0ns, kMaxTimerDelay));
}

bool UpstreamGroups::start(const request::RunSpec& spec) {
    const auto id = request::parseRequestId(spec.externalId);
    if (!id || runs_.contains(*id)) return true;
    Run& run = runs_[*id];
    run.externalId = spec.externalId;
    run.requestClass = spec.requestClass;
    run.group = groupOfClass_[static_cast<std::size_t>(spec.requestClass)];
    run.format = spec.format;
    run.deadline = spec.deadline - kReplyMargin;
    run.startedAt = currentTime();
    run.routingKey = spec.routingKey;
    run.requestBytes =
        spec.format == request::PayloadFormat::Scgi
            ? std::string(spec.body)
            : scgi::writeRequest(
                  {{"REQUEST_METHOD", "POST"},
                   {"REQUEST_URI", "/" + requestClassNames_[static_cast<std::size_t>(spec.requestClass)]},
                   {"HTTP_X_TRACE", spec.externalId},
                   {"HTTP_X_DUE_MS", std::to_string(spec.deadline / 1ms)}},
                  spec.body);
    ++counters_.requests;
    beginAttempt(*id, currentTime());
    return true;
}

void UpstreamGroups::beginAttempt(RequestId id, Duration now) {
    Run& run = runs_.at(id);
    Group& group = *groups_[run.group];
    if (now + kMinAttemptTime >= run.deadline) return completeRun(id, Outcome::TimedOut, {});
    const auto isUsable = [&](std::size_t index) {
        return group.outliers.isUsable(index, now) && !group.endpoints[index].draining &&
               group.endpoints[index].limit.allows(group.endpoints[index].inFlight);
    };
    const bool hasCapacity = connections_.size() < limits_.maxConnections;
    const auto chosen =
        hasCapacity ? group.balancer.choose(run.routingKey, run.endpoint, isUsable, random_) : std::nullopt;
    if (!chosen) {
        if (!std::exchange(run.queued, true)) group.queue.push_back(id);
        return schedule(id, run, run.deadline);
    }
    run.queued = false;
    run.endpoint = *chosen;
    ++run.attempts;
    ++counters_.attempts;
    counters_.retries += run.attempts > 1;
    run.attemptStartedAt = now;
    auto connection = std::make_unique<UpstreamConnection>(*this, run.group, *chosen, id);
    connection->startedAt = now;
    connection->transport = std::make_unique<net::Connection>(
        loop_, group.endpoints[*chosen].config.address, *connection,
        net::BufferLimits{65536, run.requestBytes.size() + 256, bufferBudget_});
    connection->transport->send(run.requestBytes);
    run.connection = connection.get();
    connections_.push_back(std::move(connection));
    connections_.back()->position = std::prev(connections_.end());
    ++group.endpoints[*chosen].inFlight;
    group.balancer.requestStarted(*chosen);
    group.outliers.requestStarted(*chosen, now);
    // An attempt that may be retried gets half of the remaining time, so that another attempt can follow.
    const bool mayRetry =
        run.attempts < group.config.retryPolicy.maxAttempts &&
        requestClasses_[static_cast<std::size_t>(run.requestClass)].idempotency == Idempotency::Idempotent;
    const Duration attemptDeadline = mayRetry ? now + (run.deadline - now) / 2 : run.deadline;
    schedule(id, run, std::min(attemptDeadline, now + group.config.connectTimeout));
}

void UpstreamGroups::releaseConnection(UpstreamConnection& connection, std::optional<Duration> latency,
                                       Duration now) {
    Group& group = *groups_[connection.group];
    Endpoint& endpoint = group.endpoints[connection.endpoint];
    if (!connection.runId) {
        --healthChecksInFlight_;
        endpoint.healthCheck = nullptr;
    } else {
        --endpoint.inFlight;
        group.balancer.requestEnded(connection.endpoint, latency, now);
        if (latency) endpoint.limit.recordSuccess(*latency, endpoint.inFlight + 1, now);
        if (const auto run = runs_.find(*connection.runId); run != runs_.end())
            run->second.connection = nullptr;
    }
    connection.transport.reset();
    closedConnections_.push_back(std::move(*connection.position));
    connections_.erase(connection.position);
    if (endpoint.draining && endpoint.inFlight == 0 && !endpoint.removed) {
        endpoint.removed = true;
        group.outliers.remove(connection.endpoint);
    }
    timer_.start(0ns);
}

void UpstreamGroups::onStateChange(Group& group, std::size_t index, State before, Duration now) {
    const State after = group.outliers.state(index, now);
    const bool wasActive = before == State::Active;
    const bool isActive = after == State::Active;
    if (wasActive == isActive || group.endpoints[index].removed) return;
    const net::Address& address = group.endpoints[index].config.address;
    log_.info("group", group.config.name + ": " + address.host + ":" + std::to_string(address.port) +
                           (isActive ? " restored" : " ejected") + ", " +
                           std::to_string(group.outliers.ejectedCount()) + " of " +
                           std::to_string(group.outliers.size()) + " ejected" +
                           (group.outliers.inPanicMode() ? ", panic mode: all are used" : ""));
    if (isActive) group.endpoints[index].limit.restart();
}

void UpstreamGroups::onReply(UpstreamConnection& connection) {
    const Duration now = currentTime();
    Group& group = *groups_[connection.group];
    const std::size_t endpointIndex = connection.endpoint;
    const auto state = connection.reader.state();
    const State before = group.outliers.state(endpointIndex, now);
    if (!connection.runId) {
        const bool succeeded =
            state == scgi::ReplyReader::State::Complete && connection.reader.reply().status < 500;
        releaseConnection(connection, std::nullopt, now);
        if (!group.endpoints[endpointIndex].draining)
            group.outliers.recordHealthCheck(endpointIndex, succeeded, now, random_);
        return onStateChange(group, endpointIndex, before, now);
    }
    const RequestId id = *connection.runId;
    if (state == scgi::ReplyReader::State::Malformed) {
        ++counters_.malformedReplies;
        releaseConnection(connection, std::nullopt, now);
        group.outliers.recordFailure(endpointIndex, now, random_);
        group.endpoints[endpointIndex].limit.recordFailure(now);
        onStateChange(group, endpointIndex, before, now);
        // A reply came, so the request may have run: it is retried only if it is idempotent.
        return attemptFailed(id, ExecutionState::Unknown, now, "malformed reply");
    }
    Run& run = runs_.at(id);
    const scgi::Reply reply = connection.reader.reply();
    const std::string replyBytes = connection.reader.bytes();
    const Duration latency = now - connection.startedAt;
    const bool unavailable = isUnavailableStatus(reply.status);
    releaseConnection(connection, unavailable ? std::nullopt : std::optional(latency), now);
    if (reply.status >= 500)
        group.outliers.recordFailure(endpointIndex, now, random_);
    else
        group.outliers.recordSuccess(endpointIndex, now);
    onStateChange(group, endpointIndex, before, now);
    if (unavailable) {
        ++counters_.errorReplies;
        group.endpoints[endpointIndex].limit.recordFailure(now);
        run.errorReply = run.format == request::PayloadFormat::Scgi ? replyBytes : reply.body;
        return attemptFailed(id, ExecutionState::Unknown, now, "server replied with status 502, 503 or 504");
    }
    group.retryBudget.recordSuccess();
    const bool succeeded = run.format == request::PayloadFormat::Scgi || reply.status < 400;
    completeRun(id, succeeded ? Outcome::Ok : Outcome::Error,
                run.format == request::PayloadFormat::Scgi ? replyBytes : reply.body);
}

void UpstreamGroups::onConnectionEnded(UpstreamConnection& connection, net::ConnectionEnd end) {
    const Duration now = currentTime();
    Group& group = *groups_[connection.group];
    const std::size_t endpointIndex = connection.endpoint;
    if (end == net::ConnectionEnd::PeerClosed &&
        connection.reader.connectionEnded() == scgi::ReplyReader::State::Complete)
        return onReply(connection);
    const bool connectFailed =
        end == net::ConnectionEnd::ConnectRefused || end == net::ConnectionEnd::ConnectTimedOut;
    (connectFailed ? counters_.connectFailures : counters_.connectionsLost) += 1;
    const State before = group.outliers.state(endpointIndex, now);
    const std::optional<RequestId> id = connection.runId;
    releaseConnection(connection, std::nullopt, now);
    if (!id) {
        if (!group.endpoints[endpointIndex].draining)
            group.outliers.recordHealthCheck(endpointIndex, false, now, random_);
        return onStateChange(group, endpointIndex, before, now);
    }
    group.outliers.recordFailure(endpointIndex, now, random_);
    group.endpoints[endpointIndex].limit.recordFailure(now);
    onStateChange(group, endpointIndex, before, now);
    attemptFailed(*id, connectFailed ? ExecutionState::NotStarted : ExecutionState::Unknown, now,
                  connectFailed ? "connect failed" : "connection lost");
}

void UpstreamGroups::attemptFailed(RequestId id, ExecutionState execution, Duration now, const char* cause) {
    Run& run = runs_.at(id);
    Group& group = *groups_[run.group];
    group.retryBudget.recordFailure();
    routing::FailedAttempt attempt;
    attempt.idempotency = requestClasses_[static_cast<std::size_t>(run.requestClass)].idempotency;
    attempt.execution = execution;
    attempt.attempts = run.attempts;
    attempt.previousDelay = run.previousDelay;
    attempt.deadline = run.deadline;
    attempt.minAttemptTime = kMinAttemptTime;
    const auto decision =
        routing::decideRetry(group.config.retryPolicy, group.retryBudget, attempt, now, random_);
    ++counters_.retryDecisions[static_cast<std::size_t>(decision.reason)];
    if (decision.reason == routing::RetryDecisionReason::Retry) {
        run.previousDelay = decision.retryAt - now;
        return schedule(id, run, decision.retryAt);
    }
    log_.debug("group", run.externalId + " not retried (" + routing::nameOf(decision.reason) + "): " + cause);
    // An SCGI client gets the server's own error reply unchanged; a client of another protocol gets only the
    // failure.
    if (!run.errorReply.empty() && run.format == request::PayloadFormat::Scgi)
        return completeRun(id, Outcome::Ok, run.errorReply);
    completeRun(id, Outcome::Error, {});
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): it may be a member of the run, which is deleted here.
void UpstreamGroups::completeRun(RequestId id, Outcome outcome, std::string result) {
    const auto found = runs_.find(id);
    Run run = std::move(found->second);
    schedule_.erase({run.scheduledAt, id});
    if (run.queued) std::erase(groups_[run.group]->queue, id);
    runs_.erase(found);
    requestManager_.runCompleted(id, outcome, currentTime() - run.startedAt, result);
}

void UpstreamGroups::cancel(const std::string& externalId) {
    const auto id = request::parseRequestId(externalId);
    if (!id || !runs_.contains(*id)) return;
    cancelled_.push_back(*id);  // completed later, as the request manager is the caller here
    timer_.start(0ns);
}

void UpstreamGroups::dispatchQueued(Group& group, Duration now) {
    // Each queued run is tried at most once.
    for (std::size_t remaining = group.queue.size(); remaining > 0; --remaining) {
        const RequestId id = group.queue.front();
        Run& run = runs_.at(id);
        group.queue.pop_front();
        run.queued = false;
        beginAttempt(id, now);
        const auto found = runs_.find(id);
        if (found == runs_.end() || !found->second.queued) continue;
        // No endpoint is usable: the run stays at the front, and the runs behind it need not be tried.
        group.queue.pop_back();
        group.queue.push_front(id);
        return;
    }
}

void UpstreamGroups::processDueRuns() {
    closedConnections_.clear();
    const Duration now = currentTime();
    for (const RequestId id : std::exchange(cancelled_, {})) {
        const auto found = runs_.find(id);
        if (found == runs_.end()) continue;
        // The client is gone. Closing the connection tells the server.
        if (found->second.connection != nullptr)
            releaseConnection(*found->second.connection, std::nullopt, now);
        completeRun(id, Outcome::Cancelled, {});
    }
    while (!schedule_.empty() && schedule_.begin()->first <= now) {
        const RequestId id = schedule_.begin()->second;
        Run& run = runs_.at(id);
        if (run.queued) {
            completeRun(id, Outcome::TimedOut, {});
        } else if (run.connection == nullptr) {
            beginAttempt(id, now);
        } else {
            UpstreamConnection& connection = *run.connection;
            Group& group = *groups_[run.group];
            const bool mayRetry = run.attempts < group.config.retryPolicy.maxAttempts &&
                                  requestClasses_[static_cast<std::size_t>(run.requestClass)].idempotency ==
                                      Idempotency::Idempotent;
            const Duration attemptDeadline =
                mayRetry ? run.attemptStartedAt + (run.deadline - run.attemptStartedAt) / 2 : run.deadline;
            const bool isOpen = connection.transport->isOpen();
            if (isOpen && now < attemptDeadline) {
                schedule(id, run, attemptDeadline);
                continue;
            }
            ++counters_.timeouts;
            const std::size_t endpointIndex = connection.endpoint;
            const State before = group.outliers.state(endpointIndex, now);
            releaseConnection(connection, std::nullopt, now);
            group.outliers.recordFailure(endpointIndex, now, random_);
            group.endpoints[endpointIndex].limit.recordFailure(now);
            onStateChange(group, endpointIndex, before, now);
            attemptFailed(id, isOpen ? ExecutionState::Unknown : ExecutionState::NotStarted, now,
                          isOpen ? "no reply within the attempt timeout" : "connect timed out");
        }
    }
    runHealthChecks(now);
    for (const auto& group : groups_) dispatchQueued(*group, now);
    timer_.start(schedule_.empty()
                     ? kMaxTimerDelay
                     : std::clamp(schedule_.begin()->first - currentTime(), 0ns, kMaxTimerDelay));
}

void UpstreamGroups::runHealthChecks(Duration now) {
    if (now < nextHealthCheck_) return;
    Duration interval = 1s;
    for (std::size_t groupIndex = 0; groupIndex < groups_.size(); ++groupIndex) {
        Group& group = *groups_[groupIndex];
        if (group.config.healthCheckInterval <= 0ns) continue;
        interval = std::min(interval, group.config.healthCheckInterval);
        for (std::size_t endpointIndex = 0; endpointIndex < group.endpoints.size(); ++endpointIndex) {
            Endpoint& endpoint = group.endpoints[endpointIndex];
            if (endpoint.removed || endpoint.draining) continue;
            if (endpoint.healthCheck != nullptr) {  // the previous health check is still unanswered
                onConnectionEnded(*endpoint.healthCheck, net::ConnectionEnd::TimedOut);
                continue;
            }
            if (connections_.size() >= limits_.maxConnections) continue;
            auto connection =
                std::make_unique<UpstreamConnection>(*this, groupIndex, endpointIndex, std::nullopt);
            connection->startedAt = now;
            connection->transport = std::make_unique<net::Connection>(
                loop_, endpoint.config.address, *connection, net::BufferLimits{65536, 8192, bufferBudget_});
            connection->transport->send(scgi::writeRequest(
                {{"REQUEST_METHOD", "GET"}, {"REQUEST_URI", group.config.healthCheckPath}}, {}));
            endpoint.healthCheck = connection.get();
            connections_.push_back(std::move(connection));
            connections_.back()->position = std::prev(connections_.end());
            ++healthChecksInFlight_;
            ++counters_.healthChecks;
        }
    }
    nextHealthCheck_ = now + interval;
}

void UpstreamGroups::requestGauges() {
    double totalLimit = 0;
    for (const auto& group : groups_)
        for (const Endpoint& endpoint : group->endpoints)
            if (!endpoint.removed) totalLimit += endpoint.limit.limit();
    const auto runsInFlight = static_cast<double>(inFlight());
    requestManager_.updateGauges({totalLimit > 0 ? std::min(1.0, runsInFlight / totalLimit) : 0,
                                  runsInFlight + static_cast<double>(queued()), std::nullopt, std::nullopt});
}

void UpstreamGroups::verifyWork(std::function<void(std::optional<bool>)> callback) {
    const Duration now = currentTime();
    bool anyUsable = false;
    for (const auto& group : groups_)
        for (std::size_t index = 0; index < group->endpoints.size(); ++index)
            anyUsable =
                anyUsable || (!group->endpoints[index].removed && group->outliers.isUsable(index, now));
    callback(anyUsable);
}

}  // namespace cottonwing::scgi
