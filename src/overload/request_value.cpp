#include "overload/request_value.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kDecaySeconds = 10;
constexpr double kRetryValueFraction = 0.5;
constexpr double kOverQuotaMultiple = 1.25;  // tolerates tenants that are spread unevenly over the servers
constexpr double kFairnessSteepness = 10;    // how fast the fairness value falls with the success ratio

std::size_t indexOf(int number) { return static_cast<std::size_t>(number); }

}  // namespace

RequestValue::RequestValue(Config config)
    : config_(std::move(config)),
      classes_(config_.requestClasses.size()),
      tenantArrivals_(config_.tenants.size()) {}

void RequestValue::recordArrival(const ValuedRequest& request) {
    if (request.isRetry) return;
    classes_[indexOf(request.requestClass)].arrivals += 1;
    if (request.tenant >= 0) tenantArrivals_[indexOf(request.tenant)] += 1;
}

void RequestValue::recordSuccess(int requestClass, double valueFraction) {
    classes_[indexOf(requestClass)].succeeded += valueFraction;
}

void RequestValue::decay(double elapsedSeconds) {
    const double factor = std::exp(-elapsedSeconds / kDecaySeconds);
    for (ClassCounts& counts : classes_) {
        counts.arrivals *= factor;
        counts.succeeded *= factor;
    }
    for (double& arrivals : tenantArrivals_) arrivals *= factor;
}

double RequestValue::fairnessValue(int requestClass) const {
    double arrivingValue = 0;
    double worstRatio = 1;
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        const ClassCounts& counts = classes_[index];
        arrivingValue += counts.arrivals * config_.requestClasses[index].priorityWeight;
        if (counts.arrivals > 1) worstRatio = std::min(worstRatio, counts.succeeded / counts.arrivals);
    }
    const ClassCounts& ownCounts = classes_[indexOf(requestClass)];
    const double fairnessFactor =
        ownCounts.arrivals > 1
            ? std::exp(-kFairnessSteepness * (ownCounts.succeeded / ownCounts.arrivals - worstRatio))
            : 1;
    return config_.goalWorstClass * fairnessFactor * arrivingValue / std::max(1.0, ownCounts.arrivals);
}

double RequestValue::tenantFactor(int tenant) const {
    const double quota =
        config_.tenants[indexOf(tenant)].requestsPerSecond / config_.peerCount * kOverQuotaMultiple;
    const double rate = tenantArrivals_[indexOf(tenant)] / kDecaySeconds;
    const double excessFraction = rate > quota ? 1 - quota / rate : 0;
    return 1 - excessFraction * (1 - config_.overQuotaValueFraction);
}

double RequestValue::valueOf(const ValuedRequest& request) const {
    const double weight = config_.requestClasses[indexOf(request.requestClass)].priorityWeight;
    double value = config_.goalTotalValue * weight + fairnessValue(request.requestClass);
    if (request.tenant >= 0) value *= tenantFactor(request.tenant);
    if (request.isRetry) value *= kRetryValueFraction;
    const bool countsWork = config_.valueCountsWork && request.work > Duration::zero();
    return value * (countsWork ? toSeconds(request.work) : 1);
}

}  // namespace cottonwing::overload
