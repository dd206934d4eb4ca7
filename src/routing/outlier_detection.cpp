#include "routing/outlier_detection.h"

#include <algorithm>
#include <bit>

namespace cottonwing::routing {

OutlierDetector::Index OutlierDetector::add() {
    ++endpointCount_;
    if (freeSlots_.empty()) {
        endpoints_.emplace_back();
        return endpoints_.size() - 1;
    }
    const Index index = freeSlots_.back();
    freeSlots_.pop_back();
    endpoints_[index] = Endpoint{};
    return index;
}

void OutlierDetector::remove(Index index) {
    Endpoint& endpoint = endpoints_[index];
    if (!endpoint.present) return;
    if (endpoint.ejected) --ejectedCount_;
    endpoint = Endpoint{};
    endpoint.present = false;
    --endpointCount_;
    freeSlots_.push_back(index);
}

void OutlierDetector::recordResult(Endpoint& endpoint, bool failed) {
    const int windowSize = std::min(config_.windowSize, 64);
    endpoint.failureWindow = (endpoint.failureWindow << 1 | (failed ? 1U : 0U)) &
                             (windowSize == 64 ? ~0ULL : (1ULL << windowSize) - 1);
    endpoint.resultCount = std::min(endpoint.resultCount + 1, windowSize);
    endpoint.failureCount = std::popcount(endpoint.failureWindow);
    endpoint.consecutiveFailures = failed ? endpoint.consecutiveFailures + 1 : 0;
}

void OutlierDetector::recordSuccess(Index index, Duration now) {
    Endpoint& endpoint = endpoints_[index];
    if (!endpoint.present) return;
    endpoint.probing = false;
    if (endpoint.ejected) {
        // A request sent before the ejection may still succeed; only requests sent while probing show a
        // recovery.
        if (now < endpoint.ejectedUntil) return;
        if (++endpoint.successfulProbes >= config_.successfulProbesToRestore) restore(endpoint, now);
        return;
    }
    recordResult(endpoint, false);
}

void OutlierDetector::recordFailure(Index index, Duration now, std::mt19937& random) {
    Endpoint& endpoint = endpoints_[index];
    if (!endpoint.present) return;
    endpoint.probing = false;
    if (endpoint.ejected) {
        if (now >= endpoint.ejectedUntil) eject(endpoint, now, random);
        return;
    }
    recordResult(endpoint, true);
    const bool ratioExceeded =
        endpoint.resultCount >= std::min(config_.windowSize, 64) &&
        endpoint.failureCount >= config_.failureRatio * static_cast<double>(endpoint.resultCount);
    if (endpoint.consecutiveFailures >= config_.consecutiveFailures || ratioExceeded)
        eject(endpoint, now, random);
}

void OutlierDetector::recordHealthCheck(Index index, bool passed, Duration now, std::mt19937& random) {
    Endpoint& endpoint = endpoints_[index];
    if (!endpoint.present) return;
    endpoint.consecutiveFailedChecks = passed ? 0 : endpoint.consecutiveFailedChecks + 1;
    endpoint.consecutivePassedChecks = passed ? endpoint.consecutivePassedChecks + 1 : 0;
    if (endpoint.consecutiveFailedChecks >= config_.unhealthyThreshold) {
        endpoint.consecutiveFailedChecks = 0;
        if (!endpoint.ejected || now >= endpoint.ejectedUntil) eject(endpoint, now, random);
        return;
    }
    if (endpoint.ejected && now >= endpoint.ejectedUntil &&
        endpoint.consecutivePassedChecks >= config_.healthyThreshold) {
        endpoint.consecutivePassedChecks = 0;
        if (++endpoint.successfulProbes >= config_.successfulProbesToRestore) restore(endpoint, now);
    }
}

bool OutlierDetector::isUsable(Index index, Duration now) const {
    const Endpoint& endpoint = endpoints_[index];
    if (!endpoint.present) return false;
    if (!endpoint.ejected || inPanicMode()) return true;
    return now >= endpoint.ejectedUntil && !endpoint.probing;
}

void OutlierDetector::requestStarted(Index index, Duration now) {
    Endpoint& endpoint = endpoints_[index];
    if (endpoint.ejected && now >= endpoint.ejectedUntil) endpoint.probing = true;
}

void OutlierDetector::probeInconclusive(Index index) { endpoints_[index].probing = false; }

OutlierDetector::State OutlierDetector::state(Index index, Duration now) const {
    const Endpoint& endpoint = endpoints_[index];
    return !endpoint.ejected ? State::Active : now >= endpoint.ejectedUntil ? State::Probing : State::Ejected;
}

// Each failed recovery doubles the ejection time, so that an endpoint that is healthy only at times changes
// its state ever more rarely. The time is jittered, so that endpoints ejected together are not restored
// together.
void OutlierDetector::eject(Endpoint& endpoint, Duration now, std::mt19937& random) {
    if (!endpoint.ejected) {
        ++ejectedCount_;
        ++transitionCount_;
        if (endpoint.restoredAt == Duration(0) || now - endpoint.restoredAt >= config_.ejectionResetTime)
            endpoint.ejectionTime = Duration(0);
    }
    const Duration ejectionTime =
        std::min(endpoint.ejectionTime == Duration(0) ? config_.baseEjectionTime : endpoint.ejectionTime * 2,
                 config_.maxEjectionTime);
    const Duration restoredAt = endpoint.restoredAt;
    endpoint = Endpoint{};
    endpoint.ejected = true;
    endpoint.restoredAt = restoredAt;
    endpoint.ejectionTime = ejectionTime;
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(random);
    endpoint.ejectedUntil =
        now + Duration(static_cast<std::int64_t>(static_cast<double>(ejectionTime.count()) * jitter));
}

void OutlierDetector::restore(Endpoint& endpoint, Duration now) {
    --ejectedCount_;
    ++transitionCount_;
    const Duration ejectionTime = endpoint.ejectionTime;
    endpoint = Endpoint{};
    endpoint.ejectionTime = ejectionTime;
    endpoint.restoredAt = now;
}

}  // namespace cottonwing::routing
