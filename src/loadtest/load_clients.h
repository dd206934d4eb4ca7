/// @file
/// The clients of one worker of the load generator. Each request is sent at its scheduled time, whatever the
/// servers answer, is timed out and retried as the configuration says, and ends with exactly one outcome.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "loadtest/load_statistics.h"
#include "loadtest/precise_timer.h"
#include "loadtest/thrift_client_codec.h"
#include "net/connection.h"
#include "routing/load_balancer.h"
#include "routing/outlier_detection.h"
#include "routing/retry_policy.h"

namespace cottonwing::loadtest {

/// Behavior of all clients of a run.
struct ClientConfig {
    int clients = 4;  ///< Each has its own retry budget, connections, load balancer and outlier detector.
    std::vector<net::Address> targets;
    std::vector<net::Address> scgiTargets;  ///< SCGI addresses of the targets, in the same order.
    routing::LoadBalancingPolicy loadBalancingPolicy = routing::LoadBalancingPolicy::PowerOfTwoChoices;
    routing::RetryPolicyConfig retryPolicy;
    routing::OutlierDetectionConfig outlierDetection;
    int maxConnectionsPerTarget = 8;    ///< Of one client.
    int maxRequestsPerConnection = 32;  ///< In flight.
    Duration idleTimeout{std::chrono::seconds(10)};
    Duration connectTimeout{std::chrono::seconds(1)};
    Duration healthCheckInterval{0};  ///< 0: no health checks.
    bool thoroughHealthChecks = false;
    bool cancelsTimedOutRequests = true;  ///< Sends `forget` for a request that has timed out.
    bool honorsServerWeight = true;       ///< Weights the load balancer by the servers' `advice`.
    bool verifiesResults = true;          ///< A result that does not name its attempt is a violation.
    /// Of one worker; a request beyond that ends as NeverSent.
    std::size_t maxOpenRequests = 200000;
    /// Above 0: a closed loop of that many requests, each sent when an earlier one has ended, as a baseline
    /// for comparison.
    int closedLoopConcurrency = 0;
};

/// The clocks of a run; tests replace them.
struct Clocks {
    std::function<Duration()> steady = steadyNow, unix = net::unixNow;
};

/// @return the trace id of an attempt, 16 hexadecimal digits, unique within a run.
std::string attemptTraceId(std::uint64_t seed, std::uint64_t number, int attempt);
/// @return the body of a request: what the emulated worker pool shall run, and the trace id of the first
///     attempt. The result of the run starts with `ok` and the trace id of the attempt that ran.
std::string requestBody(const ScheduledRequest& scheduled, int calls, const std::string& firstTraceId);

/// Sees each request and attempt, so that a checker can keep records that are independent of the load
/// generator's statistics. Called on the worker's thread.
class RequestObserver {
public:
    virtual ~RequestObserver() = default;
    virtual void onScheduled(const ScheduledRequest&, Duration /*scheduledAt*/) {}
    virtual void onAttemptSent(const ScheduledRequest&, const std::string& /*traceId*/,
                               const std::string& /*firstTraceId*/, std::size_t /*target*/) {}
    virtual void onResponse(const std::string& /*traceId*/, ClientResponse::Kind) {}
    /// The attempt was answered or timed out, or its connection has ended.
    virtual void onAttemptReleased(const std::string& /*traceId*/) {}
    virtual void onRequestEnded(const ScheduledRequest&, const std::string& /*lastTraceId*/, RequestOutcome) {
    }
};

/// Counters that other threads read during the run.
struct LoadProgress {
    std::atomic<std::uint64_t> scheduled{0}, ended{0}, completed{0};
    std::atomic<bool> done{false};
};

/// Runs on one event loop; not thread-safe.
class LoadClients {
public:
    LoadClients(net::Loop& loop, ClientConfig config, const RequestScheduleConfig& scheduleConfig,
                int workerIndex, int workerCount, LoadStatistics& statistics, LoadProgress& progress,
                Clocks clocks = {}, RequestObserver* observer = nullptr);
    ~LoadClients();
    /// @param startTime time 0 of the schedule, on the steady clock.
    void start(Duration startTime);
    /// Starts no further requests; open requests may still end.
    void stop();
    /// Starts no further requests and ends the open ones at once, without a response.
    void abort();
    void onDone(std::function<void()> callback) { onDone_ = std::move(callback); }
    bool done() const { return done_; }

private:
    struct ServerConnection;
    struct Client;
    struct TrackedRequest {
        ScheduledRequest scheduled;
        Duration scheduledAt{0}, deadline{0}, sentAt{0}, firstSentAt{0}, previousDelay{0};
        Duration timerAt{0};  // of its entry in requestTimers_
        std::string traceId, firstTraceId;
        std::size_t clientIndex = 0;
        std::optional<std::size_t> target;       // of the last attempt
        ServerConnection* connection = nullptr;  // while an attempt is in flight
        std::int32_t sequence = 0;
        int attempts = 0;
        bool resent = false, everSent = false, queued = false;
        RequestOutcome lastOutcome = RequestOutcome::NeverSent;  // of the last attempt
    };
    using OpenRequests = std::unordered_map<std::uint64_t, TrackedRequest>;

    void processDueWork();
    void startScheduledRequests(Duration now);
    void startRequest(const ScheduledRequest& scheduled, Duration scheduledAt, Duration now);
    void startAttempt(std::uint64_t id, Duration now);
    bool sendAttempt(std::uint64_t id, TrackedRequest& request, std::size_t target, Duration now);
    void handleAttemptFailure(std::uint64_t id, Duration now, routing::ExecutionState execution,
                              RequestOutcome outcome, std::optional<Duration> retryAfter = {},
                              bool noRetryElsewhere = false);
    void handleTimeout(std::uint64_t id, Duration now);
    void finishRequest(std::uint64_t id, RequestOutcome outcome, Duration now);
    void handleResponse(ServerConnection& connection, ClientResponse&& response);
    void handleConnectionEnd(ServerConnection& connection, net::ConnectionEnd end);
    void releaseAttempt(TrackedRequest& request, std::optional<Duration> latency, Duration now);
    void setRequestTimer(std::uint64_t id, TrackedRequest& request, Duration at);
    void maintainConnections(Duration now);
    void sendQueuedRequests(Client& client, std::size_t target, Duration now);
    ServerConnection* selectConnection(Client& client, std::size_t target);
    ServerConnection* openScgiConnection(Client& client, std::size_t target);
    std::string thriftMessage(const TrackedRequest& request, std::size_t clientNumber, Duration now) const;
    std::string scgiMessage(const TrackedRequest& request, Duration now) const;
    void armWakeup();
    void wakeSoon();

    net::Loop& loop_;
    const ClientConfig config_;
    const RequestScheduleConfig scheduleConfig_;
    const int workerIndex_, workerCount_;
    LoadStatistics& statistics_;
    LoadProgress& progress_;
    const Clocks clocks_;
    RequestObserver* const observer_;
    std::unique_ptr<RequestSchedule> schedule_;
    std::optional<ScheduledRequest> nextRequest_;
    Duration start_{0}, nextHealthCheck_{0}, nextConnectionSweep_{0}, wakeupAt_{0};
    bool started_ = false, stopped_ = false, done_ = false;
    std::vector<std::unique_ptr<Client>> clients_;  // this worker's
    OpenRequests openRequests_;                     // by number; removed when the request ends
    // One entry for each open request: its timeout or its next attempt.
    std::set<std::pair<Duration, std::uint64_t>> requestTimers_;
    // Destroyed in the next processDueWork(), as their callbacks may still be running.
    std::vector<std::unique_ptr<ServerConnection>> closedConnections_;
    std::function<void()> onDone_;
    PreciseTimer wakeupTimer_;
};

}  // namespace cottonwing::loadtest
