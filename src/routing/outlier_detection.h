// Who of a group is used: what real requests show and what active checks say are weighed together, those
// that do badly are left out for a while, and never more than a stated part of the group. Pure.
//
// A member is out after failures in a row, or when too large a share of its last requests failed; it comes
// back by probes, one at a time, after a time out that grows with each return that went wrong. Where more
// than the stated part would be out, the group panics: everybody is used again, as those that look well would
// otherwise fall under the load of all.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "overload/types.h"

namespace cottonwing::routing {

struct OutlierDetectionConfig {
    int consecutiveFailures = 5;  // of real requests
    int windowSize = 20;          // of the last real requests
    double failureRatio = 0.5;
    int unhealthyThreshold = 2;  // active checks in a row that take it out
    int healthyThreshold = 2;    // that count as a good probe
    int successfulProbesToRestore = 3;
    double maxEjectedFraction = 0.5;  // part of the group; beyond it all are used
    Duration baseEjectionTime{std::chrono::seconds(1)};
    Duration maxEjectionTime{std::chrono::seconds(30)};
    Duration ejectionResetTime{
        std::chrono::seconds(60)};  // in service for this long the next time out is short again
};

class OutlierDetector {
public:
    enum class State { Active, Ejected, Probing };
    using Index = std::size_t;

    explicit OutlierDetector(const OutlierDetectionConfig& config) : config_(config) {}

    // Positions never move; a removed one keeps its place until it is taken by the next added.
    Index add();
    void remove(Index index);
    std::size_t size() const { return endpointCount_; }
    std::size_t slotCount() const { return endpoints_.size(); }
    bool contains(Index index) const { return endpoints_[index].present; }

    // What was seen. Failures are those that speak of the member, not of the request or of us.
    void recordSuccess(Index index, Duration now);
    void recordFailure(Index index, Duration now, std::mt19937& random);
    void recordHealthCheck(Index index, bool passed, Duration now, std::mt19937& random);

    // May a request be sent there now? A probing member takes one at a time; began() says it was taken.
    bool isUsable(Index index, Duration now) const;
    void requestStarted(Index index, Duration now);
    // The probe ended and told nothing.
    void probeInconclusive(Index index);

    State state(Index index, Duration now) const;
    bool inPanicMode() const { return ejectedCount_ > maxEjectedCount(); }
    std::size_t ejectedCount() const { return ejectedCount_; }
    std::uint64_t transitionCount() const {
        return transitionCount_;
    }  // times that one went out or came back

private:
    struct Endpoint {
        bool present = true, ejected = false, probing = false;
        int consecutiveFailures = 0, resultCount = 0, failureCount = 0, consecutiveFailedChecks = 0,
            consecutivePassedChecks = 0, successfulProbes = 0;
        std::uint64_t failureWindow = 0;  // bits of the window, the newest lowest
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
