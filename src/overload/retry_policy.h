/// @file
/// Retry policy for dependency calls: what an outcome counts for, whether it may be retried, and after what
/// backoff.
#pragma once

#include "overload/types.h"

namespace cottonwing::overload {

/// Attempts that one dependency call may take, the first one included.
inline constexpr int kMaxCallAttempts = 3;

/// Whether an attempt had the time that attempts usually have.
enum class AttemptTime {
    Full,
    Shortened  ///< Under half of the attempt timeout, as the request itself had little time left.
};

/// Whether the outcome of a call indicates the dependency's health, and so counts in its circuit breaker.
///
/// It does not when a limit of this server held the call back; when the response cannot be parsed, as the
/// dependency has done its work; and when a timeout was caused by this server, which stalled or gave the
/// attempt little time.
/// @param stalled whether this process was stalled shortly before the outcome was read.
bool countsInCircuitBreaker(Outcome outcome, AttemptTime time, bool stalled);

/// Whether the outcome of a call changes the retry budget: all do except calls that were never sent because
/// of a limit of this server.
bool countsInRetryBudget(Outcome outcome);

/// Whether the dependency may keep working on a call with this outcome.
bool mayStillRunAtDependency(Outcome outcome);

/// Whether a failed call may be sent again: idempotent ones after every outcome except an error that the
/// dependency reported, all others only when the call certainly never ran.
bool isRetryable(Outcome outcome, Idempotency idempotency);

/// Whether a call that has ended may be sent again to learn whether its run still waits for it: it may
/// already have had its effect.
bool isRepeatable(Idempotency idempotency);

/// The backoff before the next attempt: exponential with full jitter, from 0 to
/// min(attemptTimeout, attemptTimeout / 16 * 2^(attempts - 1)).
/// @param attempts made so far, at least 1.
/// @param random from 0 to under 1.
Duration retryBackoff(int attempts, Duration attemptTimeout, double random);

}  // namespace cottonwing::overload
