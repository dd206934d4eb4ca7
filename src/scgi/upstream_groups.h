// Groups of SCGI servers that run requests, in place of a worker pool: a
// connection for each attempt, as the protocol has it. Which server, who is
// left out, how many at once, what is tried again is decided in src/routing;
// here it is carried out.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.h"
#include "request/request_manager.h"
#include "routing/concurrency_limit.h"
#include "routing/load_balancer.h"
#include "routing/outlier_detection.h"
#include "routing/retry_policy.h"
#include "scgi/message.h"

namespace cottonwing::scgi {

struct EndpointConfig {
    net::Address address;
    double weight = 1;
    double maxInFlight = 32;  // in flight at once, the operator's
    bool operator==(const EndpointConfig&) const = default;
};

struct UpstreamGroupConfig {
    std::string name;
    std::vector<EndpointConfig> endpoints;
    routing::LoadBalancingPolicy policy = routing::LoadBalancingPolicy::PowerOfTwoChoices;
    routing::RetryPolicyConfig retryPolicy;
    routing::OutlierDetectionConfig outlierDetection;
    Duration connectTimeout{std::chrono::milliseconds(500)};
    Duration healthCheckInterval{0};  // 0: none
    std::string healthCheckPath = "/";
};

// What all groups together may take.
struct UpstreamLimits {
    std::size_t maxConnections = 256, maxReplyBytes = 1 << 20,
                maxBufferedBytes = 32 << 20;  // reply: of one; bytes: in all rings
};

struct UpstreamCounters {
    std::uint64_t attempts = 0, requests = 0, retries = 0, connectFailures = 0, connectionsLost = 0,
                  timeouts = 0, malformedReplies = 0, errorReplies = 0, healthChecks = 0;
    std::uint64_t retryDecisions[6] = {};
};

class UpstreamGroups : public request::Executor {
public:
    // groupOf: by request class, the place in groups.
    UpstreamGroups(net::Loop& loop, const std::vector<UpstreamGroupConfig>& groups,
                   std::vector<std::size_t> groupOfClass, std::vector<RequestClass> requestClasses,
                   std::vector<std::string> requestClassNames, const UpstreamLimits& limits,
                   std::uint64_t seed, request::RequestManager& requestManager, telemetry::Log& log);
    ~UpstreamGroups() override;

    void start(const request::RunSpec& spec) override;
    void cancel(const std::string& externalId) override;
    void supplyReply(const std::string&, std::string_view) override {
    }  // these servers make no calls through us
    void skipDependencyCall(const std::string&) override {}
    void requestGauges() override;
    void verifyWork(std::function<void(std::optional<bool>)> callback) override;

    // The same groups with other servers: added ones start slowly, removed ones
    // keep what they have in flight. Returns how many were added and removed.
    std::pair<std::size_t, std::size_t> updateEndpoints(const std::vector<UpstreamGroupConfig>& groups);

    std::size_t inFlight() const { return connections_.size() - healthChecksInFlight_; }
    std::size_t queued() const;
    const UpstreamCounters& counters() const { return counters_; }
    std::size_t ejectedCount(std::size_t group) const;  // servers that are left out now

private:
    struct UpstreamConnection;
    struct Endpoint {
        EndpointConfig config;
        routing::ConcurrencyLimit limit;
        int inFlight = 0;
        bool draining = false, removed = false;
        UpstreamConnection* healthCheck = nullptr;
    };
    struct Group {
        UpstreamGroupConfig config;
        routing::OutlierDetector outliers;
        routing::LoadBalancer balancer;
        routing::RetryBudget retryBudget;
        std::vector<Endpoint> endpoints;  // by the members' places
        std::deque<RequestId> queue;      // for a server that may be used; emptied by
                                          // that, by time and halts
    };
    struct Run {
        std::string externalId, requestBytes;
        std::size_t group = 0;
        int requestClass = 0;
        request::PayloadFormat format = request::PayloadFormat::Plain;
        Duration deadline{0}, startedAt{0}, attemptStartedAt{0}, previousDelay{0},
            scheduledAt{0};                   // at: its entry in the agenda
        std::optional<std::size_t> endpoint;  // of the last attempt
        std::uint64_t routingKey = 0;
        int attempts = 0;
        UpstreamConnection* connection = nullptr;
        bool queued = false;
        std::string errorReply;  // the last reply that a server gave, where it told of a failure
    };
    void schedule(RequestId id, Run& run, Duration time);
    void processDueRuns();
    void beginAttempt(RequestId id, Duration now);
    void attemptFailed(RequestId id, routing::ExecutionState execution, Duration now, const char* cause);
    // The result by value: it may be the job's own, which ends here.
    void completeRun(RequestId id, Outcome outcome, std::string result);
    void onReply(UpstreamConnection& connection);
    void onConnectionEnded(UpstreamConnection& connection, net::ConnectionEnd end);
    void releaseConnection(UpstreamConnection& connection, std::optional<Duration> latency, Duration now);
    void dispatchQueued(Group& group, Duration now);
    void runHealthChecks(Duration now);
    void addEndpoint(Group& group, const EndpointConfig& config);
    void onStateChange(Group& group, std::size_t index, routing::OutlierDetector::State before, Duration now);

    net::Loop& loop_;
    const std::vector<std::size_t> groupOfClass_;
    const std::vector<RequestClass> requestClasses_;
    const std::vector<std::string> requestClassNames_;
    const UpstreamLimits limits_;
    const std::shared_ptr<net::MemoryBudget> bufferBudget_;
    std::mt19937 random_;
    request::RequestManager& requestManager_;
    telemetry::Log& log_;
    std::vector<std::unique_ptr<Group>> groups_;
    std::unordered_map<RequestId, Run> runs_;  // emptied by the ends of runs
    std::set<std::pair<Duration, RequestId>>
        schedule_;                      // an entry a job: its next attempt, or when it is given up
    std::vector<RequestId> cancelled_;  // halted: their ends are said in the next turn
    std::list<std::unique_ptr<UpstreamConnection>> connections_;  // connections; emptied by their ends
    std::vector<std::unique_ptr<UpstreamConnection>> closedConnections_;  // emptied by the next turn
    std::size_t healthChecksInFlight_ = 0;
    Duration nextHealthCheck_{0};
    UpstreamCounters counters_;
    net::Timer timer_;
};

}  // namespace cottonwing::scgi
