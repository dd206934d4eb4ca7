/// @file
/// Outlier detection for the endpoints of a group: weighs the results of requests together with active health
/// checks, ejects failing endpoints for a time, and never ejects more than a configured fraction of the
/// group. Pure: time and random numbers come in as arguments.
///
/// An endpoint is ejected after a number of failures in a row, or when too large a fraction of its last
/// requests failed. After its ejection time, which grows with each failed recovery, it returns by recovery
/// probes, one at a time. If more than the configured fraction is ejected, the group is in panic mode: all
/// endpoints are used again, as the healthy ones would otherwise collapse under the load of all.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "overload/types.h"

namespace cottonwing::routing {

struct OutlierDetectionConfig {
    int consecutiveFailures = 5;  ///< Failed requests in a row that eject an endpoint.
    int windowSize = 20;          ///< Last requests over which the failure ratio is taken; at most 64.
    double failureRatio = 0.5;    ///< Ejects an endpoint once the window is full.
    int unhealthyThreshold = 2;   ///< Failed health checks in a row that eject an endpoint.
    int healthyThreshold = 2;     ///< Passed health checks in a row that count as one successful probe.
    int successfulProbesToRestore = 3;
    double maxEjectedFraction = 0.5;  ///< Of the group; above it all endpoints are used (panic mode).
    Duration baseEjectionTime{std::chrono::seconds(1)};
    Duration maxEjectionTime{std::chrono::seconds(30)};
    /// After this time in service the next ejection begins at the base time again.
    Duration ejectionResetTime{std::chrono::seconds(60)};
};

/// The outlier detector of one endpoint group.
class OutlierDetector {
public:
    enum class State {
        Active,
        Ejected,
        Probing  ///< The ejection time is over; probes decide whether the endpoint is restored.
    };
    using Index = std::size_t;

    explicit OutlierDetector(const OutlierDetectionConfig& config) : config_(config) {}

    /// @return the slot of the new endpoint. Slots never move; that of a removed endpoint is reused by a
    /// later add.
    Index add();
    void remove(Index index);
    std::size_t size() const { return endpointCount_; }
    std::size_t slotCount() const { return endpoints_.size(); }
    bool contains(Index index) const { return endpoints_[index].present; }

    void recordSuccess(Index index, Duration now);

    /// Only for failures that are due to the endpoint, not to the request or to this process.
    void recordFailure(Index index, Duration now, std::mt19937& random);

    void recordHealthCheck(Index index, bool passed, Duration now, std::mt19937& random);

    /// @return whether a request may be sent to the endpoint now. A probing endpoint gets one at a time.
    bool isUsable(Index index, Duration now) const;

    /// Must be called for each request that is sent, so that a probe is counted.
    void requestStarted(Index index, Duration now);

    /// The probe ended without showing whether the endpoint is healthy.
    void probeInconclusive(Index index);

    State state(Index index, Duration now) const;
    bool inPanicMode() const { return ejectedCount_ > maxEjectedCount(); }
    std::size_t ejectedCount() const { return ejectedCount_; }

    /// @return how often an endpoint was ejected or restored.
    std::uint64_t transitionCount() const { return transitionCount_; }

private:
    struct Endpoint {
        bool present = true, ejected = false, probing = false;
        int consecutiveFailures = 0, resultCount = 0, failureCount = 0, consecutiveFailedChecks = 0,
            consecutivePassedChecks = 0, successfulProbes = 0;
        std::uint64_t failureWindow = 0;  ///< One bit per request, the latest in the lowest bit; 1: failed.
        Duration ejectedUntil{0}, ejectionTime{0}, restoredAt{0};
    };
    std::size_t maxEjectedCount() const {
        return static_cast<std::size_t>(config_.maxEjectedFraction * static_cast<double>(endpointCount_));
    }
    void eject(Endpoint& endpoint, Duration now, std::mt19937& random);
    void restore(Endpoint& endpoint, Duration now);
    void recordResult(Endpoint& endpoint, bool failed);

    OutlierDetectionConfig config_;
    std::vector<Endpoint> endpoints_;
    std::vector<Index> freeSlots_;
    std::size_t endpointCount_ = 0, ejectedCount_ = 0;
    std::uint64_t transitionCount_ = 0;
};

}  // namespace cottonwing::routing
