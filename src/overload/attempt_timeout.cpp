#include "overload/attempt_timeout.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kLeastObjectiveFraction = 0.05;
constexpr double kMostObjectiveFraction = 0.5;
constexpr double kMeanSuccessMultiple = 7.0;
constexpr double kLeastMeanWeight = 0.005;
constexpr int kLeastSuccesses = 20;

}  // namespace

AttemptTimeout::AttemptTimeout(Duration shortestObjective)
    : shortestObjectiveSeconds_(toSeconds(shortestObjective)),
      timeout_(fromSeconds(shortestObjectiveSeconds_ * kMostObjectiveFraction)) {}

void AttemptTimeout::recordSuccess(Duration elapsed) {
    ++successes_;
    const double weight = std::max(kLeastMeanWeight, 1.0 / successes_);
    meanSuccessSeconds_ += (toSeconds(elapsed) - meanSuccessSeconds_) * weight;
    if (successes_ < kLeastSuccesses) return;
    timeout_ = fromSeconds(std::clamp(kMeanSuccessMultiple * meanSuccessSeconds_,
                                      kLeastObjectiveFraction * shortestObjectiveSeconds_,
                                      kMostObjectiveFraction * shortestObjectiveSeconds_));
}

Duration AttemptTimeout::valueFor(Duration remaining) const { return std::min(timeout_, remaining / 2); }

Duration shortestCallingObjective(const std::vector<RequestClass>& requestClasses) {
    Duration shortest = Duration::max();
    for (const RequestClass& requestClass : requestClasses) {
        if (requestClass.callsDependency) shortest = std::min(shortest, requestClass.latencyObjective);
    }
    return shortest == Duration::max() ? Duration(std::chrono::seconds(1)) : shortest;
}

}  // namespace cottonwing::overload
