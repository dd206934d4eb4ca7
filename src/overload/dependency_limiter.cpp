#include "overload/dependency_limiter.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kMinQuotaFraction = 0.4;
constexpr double kMaxQuotaFraction = 0.8;
constexpr double kBurstMultiple = 2.0;          // of the concurrency limit
constexpr double kBurstAccrualFraction = 0.5;   // of the quota: accrued each second, and kept at most
constexpr double kOverloadedLimitFactor = 0.9;  // of one reduction of the limit
constexpr double kLimitGrowthFraction = 0.05;   // of the quota: one increase of the limit
constexpr double kMinLimitForInterval = 0.01;   // avoids a division by zero without a quota

}  // namespace

DependencyLimiter::DependencyLimiter(const Config& config)
    : config_(config), concurrencyLimit_(config.quota * kMinQuotaFraction) {}

void DependencyLimiter::callEnded(bool mayStillRun, Timestamp now) {
    --inFlight_;
    if (mayStillRun) abandonedUntil_.insert(now + config_.abandonedCallTime);
}

void DependencyLimiter::removeExpiredAbandonedCalls(Timestamp now) {
    abandonedUntil_.erase(abandonedUntil_.begin(), abandonedUntil_.upper_bound(now));
}

void DependencyLimiter::chargeTimeout(Duration elapsed, double random) {
    unusedQuota_ -= toSeconds(elapsed) * random;
}

void DependencyLimiter::adapt(const CallTimeModel& callTimes, Timestamp now) {
    if (config_.kind != DependencyKind::Shared || now < nextAdaptation_) return;
    if (callTimes.dependencyOverloaded()) {
        concurrencyLimit_ *= kOverloadedLimitFactor;
        nextAdaptation_ = now + fromSeconds(callTimes.recentSeconds());
    } else {
        concurrencyLimit_ += kLimitGrowthFraction * config_.quota;
    }
    concurrencyLimit_ =
        std::clamp(concurrencyLimit_, config_.quota * kMinQuotaFraction, config_.quota * kMaxQuotaFraction);
}

double DependencyLimiter::quotaAccrual() const {
    // Borrowed quota is paid back at the rate of half the quota, so that the next call follows soon after one
    // that hung.
    const double maxAccrual = kBurstAccrualFraction * config_.quota;
    return unusedQuota_ < 0 ? maxAccrual : std::min(concurrencyLimit_, maxAccrual);
}

void DependencyLimiter::accrueUnusedQuota(double elapsedSeconds) {
    unusedQuota_ = std::min(quotaAccrual(), unusedQuota_ + (quotaAccrual() - inProgress()) * elapsedSeconds);
}

double DependencyLimiter::inProgress() const {
    return inFlight_ + static_cast<double>(abandonedUntil_.size());
}

bool DependencyLimiter::hasCapacity(bool dependencyOverloaded) const {
    if (config_.kind != DependencyKind::Shared) return true;
    const double withThisCall = inProgress() + 1;
    if (withThisCall <= concurrencyLimit_) return true;
    const double burstLimit = dependencyOverloaded ? concurrencyLimit_ : kBurstMultiple * concurrencyLimit_;
    return withThisCall <= std::max(1.0, burstLimit) && hasUnusedQuota();
}

double DependencyLimiter::secondsBetweenCalls(double callSeconds) const {
    if (config_.kind != DependencyKind::Shared) return 0;
    return callSeconds / std::max(concurrencyLimit_, kMinLimitForInterval);
}

}  // namespace cottonwing::overload
