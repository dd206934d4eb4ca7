#include "overload/latency_objective.h"

#include <algorithm>
#include <cstddef>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kFirstAttemptDecay = 0.999;  // per first attempt
// A retry with less than this fraction of a first attempt's time was shortened.
constexpr double kShortenedRetryFraction = 0.97;

}  // namespace

LatencyObjective::LatencyObjective(const std::vector<RequestClass>& requestClasses) {
    for (const RequestClass& requestClass : requestClasses) classes_.push_back({requestClass});
}

Timestamp LatencyObjective::endFor(int requestClass, const RequestTimes& times) {
    ClassTimes& classTimes = classes_[static_cast<std::size_t>(requestClass)];
    const double remaining = toSeconds(times.deadline - times.arrivedAt);
    if (!times.isRetry)
        classTimes.maxFirstAttemptSeconds =
            std::max(remaining, classTimes.maxFirstAttemptSeconds * kFirstAttemptDecay);
    const bool shortenedByTimeout =
        times.isRetry && remaining < kShortenedRetryFraction * classTimes.maxFirstAttemptSeconds;
    const Timestamp firstAttemptAt =
        shortenedByTimeout ? times.deadline - classTimes.requestClass.timeout : times.arrivedAt;
    const Duration objective =
        classTimes.requestClass.latencyObjective +
        fromSeconds(classTimes.requestClass.latencyObjectiveWorkFactor * toSeconds(times.work));
    return std::min(firstAttemptAt + objective, times.deadline) - kControlTick;
}

}  // namespace cottonwing::overload
