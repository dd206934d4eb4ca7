#include "overload/dependency_calls.h"

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kOpenTimeFactor = 1.0;  // of the attempt timeout

}  // namespace

CircuitBreaker::Transition DependencyCalls::recordOutcome(const EndedAttempt& attempt, Timestamp now,
                                                          RandomSource& random) {
    CircuitBreaker::Transition transition = CircuitBreaker::Transition::None;
    if (countsInCircuitBreaker(attempt.outcome, attempt.time, attempt.stalled)) {
        const Duration openTime = fromSeconds(toSeconds(attemptTimeout_.value()) * kOpenTimeFactor);
        const Duration jittered = jitteredOpenTime(openTime, random.uniform());
        transition = breaker_.record(attempt.outcome == Outcome::Ok, now, jittered);
    }
    recordInBudget(attempt.outcome);
    if (attempt.outcome == Outcome::TimedOut) limiter_.chargeTimeout(attempt.elapsed, random.uniform());
    learnCallTime(attempt, now);
    return transition;
}

void DependencyCalls::recordInBudget(Outcome outcome) {
    if (!countsInRetryBudget(outcome)) return;
    if (outcome == Outcome::Ok) {
        retryBudget_.recordSuccess();
    } else {
        retryBudget_.recordFailure();
    }
}

void DependencyCalls::learnCallTime(const EndedAttempt& attempt, Timestamp now) {
    switch (attempt.outcome) {
        case Outcome::Ok:
            callTimes_.recordSuccess(attempt.elapsed);
            attemptTimeout_.recordSuccess(attempt.elapsed);
            break;
        case Outcome::TimedOut:
            callTimes_.recordTimeout(attempt.elapsed);
            break;
        default:
            return;
    }
    limiter_.adapt(callTimes_, now);
}

bool DependencyCalls::shouldRetry(const FailedAttempt& attempt) const {
    return isRetryable(attempt.outcome, attempt.idempotency) && attempt.attempts < kMaxCallAttempts &&
           retryBudget_.allowsRetry();
}

Duration DependencyCalls::backoff(int attempts, RandomSource& random) const {
    return retryBackoff(attempts, attemptTimeout_.value(), random.uniform());
}

}  // namespace cottonwing::overload
