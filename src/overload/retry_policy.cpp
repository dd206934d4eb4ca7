#include "overload/retry_policy.h"

#include <algorithm>
#include <cmath>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kBackoffBaseFraction = 1.0 / 16;  // of the attempt timeout
constexpr double kBackoffMaxFraction = 1.0;        // of the attempt timeout
constexpr double kBackoffMultiplier = 2.0;         // from one attempt to the next

bool certainlyNeverRan(Outcome outcome) {
    return outcome == Outcome::LocalLimit || outcome == Outcome::ResourceExhausted ||
           outcome == Outcome::Unreachable;
}

}  // namespace

bool countsInCircuitBreaker(Outcome outcome, AttemptTime time, bool stalled) {
    switch (outcome) {
        case Outcome::LocalLimit:
        case Outcome::MalformedResponse:
            return false;
        case Outcome::TimedOut:
            return !stalled && time == AttemptTime::Full;
        default:
            return true;
    }
}

bool countsInRetryBudget(Outcome outcome) { return outcome != Outcome::LocalLimit; }

bool mayStillRunAtDependency(Outcome outcome) {
    return outcome == Outcome::TimedOut || outcome == Outcome::ConnectionLost;
}

bool isRetryable(Outcome outcome, Idempotency idempotency) {
    if (idempotency == Idempotency::Idempotent) return outcome != Outcome::Error;
    return certainlyNeverRan(outcome);
}

bool isRepeatable(Idempotency idempotency) { return idempotency == Idempotency::Idempotent; }

Duration retryBackoff(int attempts, Duration attemptTimeout, double random) {
    const double growth = std::pow(kBackoffMultiplier, attempts - 1);
    const double maxBackoffSeconds =
        toSeconds(attemptTimeout) * std::min(kBackoffMaxFraction, kBackoffBaseFraction * growth);
    return fromSeconds(maxBackoffSeconds * random);
}

}  // namespace cottonwing::overload
