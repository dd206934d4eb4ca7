#include "overload/dependency_calls.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

DependencyCalls callsToATier() { return {{DependencyKind::Tier, 0, 200ms}, 2s}; }

EndedAttempt endedWith(Outcome outcome) {
    EndedAttempt attempt;
    attempt.outcome = outcome;
    attempt.elapsed = 50ms;
    return attempt;
}

TEST(DependencyCalls, FiveFailuresOpenTheCircuitBreakerForAboutTheAttemptTimeout) {
    DependencyCalls calls = callsToATier();
    RandomSource random(7);
    for (int failure = 0; failure < 4; ++failure) calls.recordOutcome(endedWith(Outcome::Error), 10s, random);
    EXPECT_EQ(calls.recordOutcome(endedWith(Outcome::Error), 10s, random),
              CircuitBreaker::Transition::Opened);
    EXPECT_GE(calls.breaker().openUntil(), 10800ms);
    EXPECT_LE(calls.breaker().openUntil(), 11200ms);
}

TEST(DependencyCalls, LocalLimitsChangeNothing) {
    DependencyCalls calls = callsToATier();
    RandomSource random(7);
    for (int attempt = 0; attempt < 50; ++attempt)
        calls.recordOutcome(endedWith(Outcome::LocalLimit), 10s, random);
    EXPECT_FALSE(calls.breaker().isOpen());
    EXPECT_TRUE(calls.shouldRetry({Outcome::LocalLimit, Idempotency::None, 1}));
}

TEST(DependencyCalls, AllowsTwoRetriesWithinTheBudget) {
    DependencyCalls calls = callsToATier();
    EXPECT_TRUE(calls.shouldRetry({Outcome::TimedOut, Idempotency::Idempotent, 2}));
    EXPECT_FALSE(calls.shouldRetry({Outcome::TimedOut, Idempotency::Idempotent, 3}));
    EXPECT_FALSE(calls.shouldRetry({Outcome::TimedOut, Idempotency::WithKey, 1}));
    RandomSource random(7);
    for (int failure = 0; failure < 5; ++failure)
        calls.recordOutcome(endedWith(Outcome::ResourceExhausted), 10s, random);
    EXPECT_FALSE(calls.shouldRetry({Outcome::TimedOut, Idempotency::Idempotent, 1})) << "budget used up";
}

}  // namespace
}  // namespace cottonwing::overload
