#include "overload/concurrency_limiter.h"

#include <algorithm>

namespace cottonwing::overload {

namespace {

constexpr double kDemandPerCore = 1.25;    // target
constexpr double kMaxDemandPerCore = 2.0;  // higher demand is cut: a burst of handshakes must not stop runs
constexpr double kDemandWeight = 0.1;      // weight of one tick in the mean
constexpr double kLimitStep = 0.02;        // runs per tick and unit of deviation from the target demand
constexpr double kLimitRecovery = 0.005;   // fraction of the way back to one run per core, per tick
constexpr double kMinRunsPerCore = 0.5;
constexpr double kMaxRunsPerCore = 3.0;
constexpr double kSafeRunsFraction = 0.8;  // of the runs at which the server collapses

}  // namespace

void ConcurrencyLimiter::adapt(const CoreLoad& load) {
    meanDemand_ += (std::min(load.demand, kMaxDemandPerCore * config_.cores) - meanDemand_) * kDemandWeight;
    const double targetDemand = kDemandPerCore * config_.cores;
    const bool limitReached = load.requestsQueued && load.runsOnCores + 1 > limit_;
    if (limitReached) {
        limit_ += kLimitStep * std::clamp(targetDemand - meanDemand_, -targetDemand, targetDemand);
    } else {
        limit_ += kLimitRecovery * (config_.cores - limit_);
    }
    limit_ = std::clamp(limit_, kMinRunsPerCore * config_.cores, kMaxRunsPerCore * config_.cores);
}

bool ConcurrencyLimiter::admitsRun(const RunsInProgress& runs, double capacityFraction) const {
    const double collapseLimit = config_.cores * (1 + (config_.overloadFactor - 1) * capacityFraction);
    // If the collapse limit is small, one more run can exceed it even though the number of runs is below the
    // safe fraction.
    const bool staysBelowCollapse =
        runs.total < collapseLimit * kSafeRunsFraction && runs.total + 1 <= collapseLimit;
    return runs.onCores < limit_ && staysBelowCollapse;
}

}  // namespace cottonwing::overload
