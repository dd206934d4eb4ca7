#include "overload/concurrency_limiter.h"

#include <algorithm>

namespace cottonwing::overload {

namespace {

constexpr double kDemandPerCore = 1.25;    // aimed at
constexpr double kMaxDemandPerCore = 2.0;  // counted: a burst of handshakes must not stop runs
constexpr double kDemandWeight = 0.1;      // of one tick in the mean
constexpr double kLimitStep = 0.02;        // runs per tick, for each request that the demand is off
constexpr double kLimitRecovery = 0.005;   // part of the way back to one run per core, per tick
constexpr double kMinRunsPerCore = 0.5;
constexpr double kMaxRunsPerCore = 3.0;
constexpr double kSafeRunsFraction = 0.8;  // of the runs that the server survives

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
    // Where the server survives few runs, the last one below the safe fraction may be a part of a run too
    // many.
    const bool staysBelowCollapse =
        runs.total < collapseLimit * kSafeRunsFraction && runs.total + 1 <= collapseLimit;
    return runs.onCores < limit_ && staysBelowCollapse;
}

}  // namespace cottonwing::overload
