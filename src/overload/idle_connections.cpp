#include "overload/idle_connections.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kShedFractionToKeep = 0.5;
constexpr double kIncreaseFactor = 1.1;
constexpr double kReductionFactor = 0.9;
constexpr double kMinIdleSeconds = 1.0;

}  // namespace

IdleConnections::IdleConnections(const Config& config)
    : config_(config), idleSeconds_(toSeconds(config.maxIdle)) {}

std::optional<Duration> IdleConnections::update(const ConnectionDemand& demand) {
    const double maxIdleSeconds = toSeconds(config_.maxIdle);
    const double previousIdleSeconds = idleSeconds_;
    const bool reused = demand.requestsPerSecond * maxIdleSeconds >= config_.clientCount;
    const bool keptAsRejection = demand.shedFraction > kShedFractionToKeep && !demand.dependencyOverloaded;
    const double factor = reused || keptAsRejection ? kIncreaseFactor : kReductionFactor;
    idleSeconds_ =
        std::clamp(idleSeconds_ * factor, std::min(kMinIdleSeconds, maxIdleSeconds), maxIdleSeconds);
    if (idleSeconds_ == previousIdleSeconds) return std::nullopt;
    return fromSeconds(idleSeconds_);
}

}  // namespace cottonwing::overload
