#include "overload/client_pushback.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kQueueingDelayWeight = 0.1;
constexpr double kRetryAfterPerShedFraction = 0.5;    // of the maximum Retry-After
constexpr double kRetryAfterPerQueueingDelay = 4.0;   // of the maximum Retry-After
constexpr double kToleratedRetryAfterFraction = 0.2;  // subtracted, so that short delays have no effect
constexpr double kJitterFraction = 0.5;
constexpr double kDiscourageRetryPerShedFraction = 4.0;  // probability of discouraging a first attempt

}  // namespace

void ClientPushback::recordQueueingDelay(double objectiveFraction) {
    queueingDelay_ += (objectiveFraction - queueingDelay_) * kQueueingDelayWeight;
}

Duration ClientPushback::retryAfterForLoad(double shedFraction, RandomSource& random) const {
    const double delayFraction =
        std::max(0.0, kRetryAfterPerQueueingDelay * queueingDelay_ - kToleratedRetryAfterFraction);
    const double fraction = std::min(1.0, kRetryAfterPerShedFraction * shedFraction + delayFraction);
    const double jitter = (1 - kJitterFraction) + kJitterFraction * random.uniform();
    return fromSeconds(toSeconds(config_.maxRetryAfter) * fraction * jitter);
}

Pushback ClientPushback::adviceFor(const Rejection& rejection, RandomSource& random) const {
    Pushback advice;
    advice.retryAfter = rejection.retryAfter;
    if (advice.retryAfter == Duration::zero())
        advice.retryAfter = retryAfterForLoad(rejection.shedFraction, random);
    advice.retryAfter =
        config_.retryAfterAllowed ? std::min(advice.retryAfter, config_.maxRetryAfter) : Duration::zero();
    const bool discouragesRetry =
        rejection.runsBreakerClosed &&
        (rejection.isRetry || random.uniform() < kDiscourageRetryPerShedFraction * rejection.shedFraction);
    advice.retryElsewhere = !discouragesRetry;
    return advice;
}

}  // namespace cottonwing::overload
