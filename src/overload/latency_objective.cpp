#include "overload/latency_objective.h"

#include <algorithm>
#include <cstddef>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kFirstAttemptDecay = 0.999;  // per first attempt
constexpr double kCutFraction = 0.97;         // a retry with less than this part of the time was cut

}  // namespace

LatencyObjective::LatencyObjective(const std::vector<RequestClass>& requestClasses) {
    for (const RequestClass& requestClass : requestClasses) classes_.push_back({requestClass});
}

Timestamp LatencyObjective::endFor(int requestClass, const RequestTimes& times) {
    ClassTimes& known = classes_[static_cast<std::size_t>(requestClass)];
    const double remaining = toSeconds(times.deadline - times.arrivedAt);
    if (!times.isRetry)
        known.firstAttemptSeconds = std::max(remaining, known.firstAttemptSeconds * kFirstAttemptDecay);
    const bool cut = times.isRetry && remaining < kCutFraction * known.firstAttemptSeconds;
    const Timestamp firstAttemptAt = cut ? times.deadline - known.requestClass.timeout : times.arrivedAt;
    const Duration objective =
        known.requestClass.latencyObjective +
        fromSeconds(known.requestClass.latencyObjectiveWorkFactor * toSeconds(times.work));
    return std::min(firstAttemptAt + objective, times.deadline) - kControlTick;
}

}  // namespace cottonwing::overload
