/// @file
/// The state of this server's calls to its dependency: combines all rules that their outcomes update.
#pragma once

#include "overload/attempt_timeout.h"
#include "overload/call_time_model.h"
#include "overload/circuit_breaker.h"
#include "overload/dependency_limiter.h"
#include "overload/random_source.h"
#include "overload/retry_budget.h"
#include "overload/retry_policy.h"
#include "overload/types.h"

namespace cottonwing::overload {

/// One attempt of a dependency call that has ended.
struct EndedAttempt {
    Outcome outcome = Outcome::Ok;
    Duration elapsed{0};
    AttemptTime time = AttemptTime::Full;
    bool stalled = false;  ///< Whether this process was stalled shortly before the outcome was read.
};

/// A failed attempt that may be followed by another one.
struct FailedAttempt {
    Outcome outcome = Outcome::Error;
    Idempotency idempotency = Idempotency::None;
    int attempts = 1;  ///< Made so far.
};

/// Applies each outcome to the circuit breaker, the retry budget, the limiter and the learned call times, in
/// this order.
class DependencyCalls {
public:
    DependencyCalls(const DependencyLimiter::Config& limit, Duration shortestObjective)
        : attemptTimeout_(shortestObjective), limiter_(limit) {}

    /// @return the state transition of the circuit breaker that the outcome caused.
    CircuitBreaker::Transition recordOutcome(const EndedAttempt& attempt, Timestamp now,
                                             RandomSource& random);

    /// @return whether class, outcome, number of attempts and budget allow a retry.
    bool shouldRetry(const FailedAttempt& attempt) const;

    /// @return the backoff before the next attempt, with full jitter.
    /// @param attempts made so far.
    Duration backoff(int attempts, RandomSource& random) const;

    /// Updates the current duration of a call, at each control tick.
    void updateCallTimes(const CallsInFlight& calls) { callTimes_.update(calls); }

    bool dependencyOverloaded() const { return callTimes_.dependencyOverloaded(); }
    bool hasCapacity() const { return limiter_.hasCapacity(dependencyOverloaded()); }
    /// @return current duration of a call, in seconds.
    double callSeconds() const { return callTimes_.currentSeconds(); }
    /// @return interval at which calls are sent, in seconds; 0: not limited.
    double secondsBetweenCalls() const { return limiter_.secondsBetweenCalls(callSeconds()); }

    CircuitBreaker& breaker() { return breaker_; }
    const CircuitBreaker& breaker() const { return breaker_; }
    DependencyLimiter& limiter() { return limiter_; }
    const DependencyLimiter& limiter() const { return limiter_; }
    const AttemptTimeout& attemptTimeout() const { return attemptTimeout_; }

private:
    void recordInBudget(Outcome outcome);
    void learnCallTime(const EndedAttempt& attempt, Timestamp now);

    CircuitBreaker breaker_;
    RetryBudget retryBudget_;
    AttemptTimeout attemptTimeout_;
    CallTimeModel callTimes_;
    DependencyLimiter limiter_;
};

}  // namespace cottonwing::overload
