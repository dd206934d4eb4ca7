// The clients of one worker: each request is sent at its time whatever comes
// back, waited for, given up and tried again as its client's habits have it,
// and ends in exactly one way.
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

struct ClientConfig {
    int clients = 4;  // each with a budget, connections and a view of the servers of its own
    std::vector<net::Address> targets;
    std::vector<net::Address> scgiTargets;  // where each of them takes SCGI, in the
                                            // same order; for request classes that speak it
    routing::LoadBalancingPolicy loadBalancingPolicy = routing::LoadBalancingPolicy::PowerOfTwoChoices;
    routing::RetryPolicyConfig retryPolicy;
    routing::OutlierDetectionConfig outlierDetection;
    int maxConnectionsPerTarget = 8;    // to one server, of one client, at most
    int maxRequestsPerConnection = 32;  // requests on one connection
    Duration idleTimeout{std::chrono::seconds(10)};
    Duration connectTimeout{std::chrono::seconds(1)};
    Duration healthCheckInterval{0};  // 0: no health checks
    bool thoroughHealthChecks = false;
    bool cancelsTimedOutRequests = true, honorsServerWeight = true, verifiesResults = true;
    std::size_t maxOpenRequests = 200000;  // requests in hand of one worker, beyond which none is sent
    int closedLoopConcurrency = 0;  // above 0: that many at once, each after the one before (a baseline)
};

struct Clocks {
    std::function<Duration()> steady = steadyNow, unix = net::unixNow;
};

// The id of one try, 16 hex digits; never the same for two tries of a run.
std::string attemptTraceId(std::uint64_t seed, std::uint64_t number, int attempt);
// What the emulated worker pool is told by a request's body, and what it
// answers.
std::string requestBody(const ScheduledRequest& scheduled, int calls, const std::string& firstTrace);

// What an independent observer may count for itself; called on the worker's own
// thread.
class RequestObserver {
public:
    virtual ~RequestObserver() = default;
    virtual void onScheduled(const ScheduledRequest&, Duration /*scheduled*/) {}
    virtual void onAttemptSent(const ScheduledRequest&, const std::string& /*trace*/,
                               const std::string& /*first*/, std::size_t /*target*/) {}
    virtual void onResponse(const std::string& /*trace*/, ClientResponse::Kind) {}
    virtual void onAttemptReleased(const std::string& /*trace*/) {
    }  // answered, given up or its connection gone
    virtual void onRequestEnded(const ScheduledRequest&, const std::string& /*lastTrace*/, RequestOutcome) {}
};

// Seen from other threads while the run goes on.
struct LoadProgress {
    std::atomic<std::uint64_t> scheduled{0}, ended{0}, completed{0};
    std::atomic<bool> done{false};
};

class LoadClients {
public:
    LoadClients(net::Loop& loop, ClientConfig config, const RequestScheduleConfig& scheduleConfig,
                int workerIndex, int workerCount, LoadStatistics& statistics, LoadProgress& progress,
                Clocks clocks = {}, RequestObserver* observer = nullptr);
    ~LoadClients();
    void start(Duration startTime);  // of the plan's time 0
    void stop();                     // nothing more is sent; what is open may still end
    void abort();                    // and now ends without an answer
    void onDone(std::function<void()> callback) { onDone_ = std::move(callback); }
    bool done() const { return done_; }

private:
    struct ServerConnection;
    struct Client;
    struct TrackedRequest {
        ScheduledRequest scheduled;
        Duration scheduledAt{0}, deadline{0}, sentAt{0}, firstSentAt{0}, previousDelay{0};
        Duration timerAt{0};  // its one entry in the agenda
        std::string traceId, firstTraceId;
        std::size_t clientIndex = 0;
        std::optional<std::size_t> target;       // of the last try
        ServerConnection* connection = nullptr;  // while a try is out
        std::int32_t sequence = 0;
        int attempts = 0;
        bool resent = false, everSent = false, queued = false;
        RequestOutcome lastOutcome = RequestOutcome::NeverSent;  // how the last try ended
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
    OpenRequests openRequests_;                     // emptied by the ends of requests
    std::set<std::pair<Duration, std::uint64_t>>
        requestTimers_;  // one entry an open request: its patience or its next try
    std::vector<std::unique_ptr<ServerConnection>>
        closedConnections_;  // connections that ended; emptied each pump
    std::function<void()> onDone_;
    PreciseTimer wakeupTimer_;
};

}  // namespace cottonwing::loadtest
