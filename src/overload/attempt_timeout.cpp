#include "overload/attempt_timeout.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kMinObjectiveFraction = 0.05;
constexpr double kMaxObjectiveFraction = 0.5;
constexpr double kMeanSuccessMultiple = 7.0;
constexpr double kMinMeanWeight = 0.005;
constexpr int kMinSuccesses = 20;

}  // namespace

AttemptTimeout::AttemptTimeout(Duration shortestObjective)
    : shortestObjectiveSeconds_(toSeconds(shortestObjective)),
      timeout_(fromSeconds(shortestObjectiveSeconds_ * kMaxObjectiveFraction)) {}

void AttemptTimeout::recordSuccess(Duration elapsed) {
    ++successes_;
    const double weight = std::max(kMinMeanWeight, 1.0 / successes_);
    meanSuccessSeconds_ += (toSeconds(elapsed) - meanSuccessSeconds_) * weight;
    if (successes_ < kMinSuccesses) return;
    timeout_ = fromSeconds(std::clamp(kMeanSuccessMultiple * meanSuccessSeconds_,
                                      kMinObjectiveFraction * shortestObjectiveSeconds_,
                                      kMaxObjectiveFraction * shortestObjectiveSeconds_));
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
