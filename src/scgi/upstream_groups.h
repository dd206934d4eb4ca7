/// @file
/// Executor that runs requests on groups of SCGI servers, in place of a worker pool. Each attempt has its own
/// connection, as the protocol requires. The endpoint of an attempt, outlier ejection, concurrency limits and
/// retries are decided in src/routing and carried out here.
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

/// One server of a group.
struct EndpointConfig {
    net::Address address;
    double weight = 1;
    double maxInFlight = 32;  ///< Upper bound of the concurrency limit.
    bool operator==(const EndpointConfig&) const = default;
};

/// One group of interchangeable servers.
struct UpstreamGroupConfig {
    std::string name;
    std::vector<EndpointConfig> endpoints;
    routing::LoadBalancingPolicy policy = routing::LoadBalancingPolicy::PowerOfTwoChoices;
    routing::RetryPolicyConfig retryPolicy;
    routing::OutlierDetectionConfig outlierDetection;
    Duration connectTimeout{std::chrono::milliseconds(500)};
    Duration healthCheckInterval{0};  ///< 0: no health checks.
    std::string healthCheckPath = "/";
};

/// Limits over all groups together. maxReplyBytes holds for one reply, maxBufferedBytes for the buffers of
/// all connections.
struct UpstreamLimits {
    std::size_t maxConnections = 256, maxReplyBytes = 1 << 20, maxBufferedBytes = 32 << 20;
};

/// Totals since the start.
struct UpstreamCounters {
    std::uint64_t attempts = 0, requests = 0, retries = 0, connectFailures = 0, connectionsLost = 0,
                  timeouts = 0, malformedReplies = 0, errorReplies = 0, healthChecks = 0;
    std::uint64_t retryDecisions[6] = {};  ///< By routing::RetryDecisionReason.
};

/// The upstream groups of one gateway.
class UpstreamGroups : public request::Executor {
public:
    /// @param groupOfClass index into groups, by request class.
    UpstreamGroups(net::Loop& loop, const std::vector<UpstreamGroupConfig>& groups,
                   std::vector<std::size_t> groupOfClass, std::vector<RequestClass> requestClasses,
                   std::vector<std::string> requestClassNames, const UpstreamLimits& limits,
                   std::uint64_t seed, request::RequestManager& requestManager, telemetry::Log& log);
    ~UpstreamGroups() override;

    bool start(const request::RunSpec& spec) override;
    void cancel(const std::string& externalId) override;
    // The servers of the groups make their dependency calls themselves.
    bool supplyReply(const std::string& /*externalId*/, std::string_view /*reply*/) override { return true; }
    bool skipDependencyCall(const std::string& /*externalId*/) override { return true; }
    void confirmReports(RequestId /*id*/) override {}
    void requestGauges() override;
    void verifyWork(std::function<void(std::optional<bool>)> callback) override;

    /// Replaces the endpoints of the groups. Added endpoints begin at the initial concurrency limit (slow
    /// start); removed ones complete what they have in flight.
    /// @return the number of endpoints added and removed.
    std::pair<std::size_t, std::size_t> updateEndpoints(const std::vector<UpstreamGroupConfig>& groups);

    std::size_t inFlight() const { return connections_.size() - healthChecksInFlight_; }
    std::size_t queued() const;
    const UpstreamCounters& counters() const { return counters_; }
    std::size_t ejectedCount(std::size_t group) const;  ///< Endpoints that are ejected now.

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
        std::vector<Endpoint> endpoints;  ///< By slot of the outlier detector.
        /// Runs that wait for a usable endpoint. They leave when they get one, on time-out or when cancelled.
        std::deque<RequestId> queue;
    };
    struct Run {
        std::string externalId, requestBytes;
        std::size_t group = 0;
        int requestClass = 0;
        request::PayloadFormat format = request::PayloadFormat::Plain;
        /// scheduledAt: the time of its entry in schedule_.
        Duration deadline{0}, startedAt{0}, attemptStartedAt{0}, previousDelay{0}, scheduledAt{0};
        std::optional<std::size_t> endpoint;  ///< Of the last attempt.
        std::uint64_t routingKey = 0;
        int attempts = 0;
        UpstreamConnection* connection = nullptr;
        bool queued = false;
        std::string errorReply;  ///< The last reply with status 502, 503 or 504.
    };
    void schedule(RequestId id, Run& run, Duration time);
    void processDueRuns();
    void beginAttempt(RequestId id, Duration now);
    void attemptFailed(RequestId id, routing::ExecutionState execution, Duration now, const char* cause);
    /// The result is passed by value: it may be a member of the run, which is deleted here.
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
    std::unordered_map<RequestId, Run> runs_;  ///< Runs not yet completed.
    /// One entry per run: the time of its next attempt or of its next time-out.
    std::set<std::pair<Duration, RequestId>> schedule_;
    std::vector<RequestId> cancelled_;  ///< Completed as cancelled in the next turn of the event loop.
    std::list<std::unique_ptr<UpstreamConnection>> connections_;          ///< Open ones.
    std::vector<std::unique_ptr<UpstreamConnection>> closedConnections_;  ///< Deleted in the next turn.
    std::size_t healthChecksInFlight_ = 0;
    Duration nextHealthCheck_{0};
    UpstreamCounters counters_;
    net::Timer timer_;
};

}  // namespace cottonwing::scgi
