#include "overload/retry_policy.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

TEST(RetryPolicy, IdempotentCallsAreRetriedUnlessTheDependencyReportedAnError) {
    for (const Outcome outcome : {Outcome::TimedOut, Outcome::ConnectionLost, Outcome::MalformedResponse,
                                  Outcome::ResourceExhausted, Outcome::Unreachable, Outcome::LocalLimit})
        EXPECT_TRUE(isRetryable(outcome, Idempotency::Idempotent));
    EXPECT_FALSE(isRetryable(Outcome::Error, Idempotency::Idempotent));
}

TEST(RetryPolicy, OtherCallsAreRetriedOnlyIfTheyNeverRan) {
    for (const Idempotency idempotency : {Idempotency::WithKey, Idempotency::None}) {
        for (const Outcome outcome : {Outcome::ResourceExhausted, Outcome::Unreachable, Outcome::LocalLimit})
            EXPECT_TRUE(isRetryable(outcome, idempotency));
        for (const Outcome outcome :
             {Outcome::TimedOut, Outcome::ConnectionLost, Outcome::MalformedResponse, Outcome::Error})
            EXPECT_FALSE(isRetryable(outcome, idempotency));
    }
}

TEST(RetryPolicy, FailuresOfTheDependencyCountInTheBreaker) {
    for (const Outcome outcome : {Outcome::Ok, Outcome::Error, Outcome::ResourceExhausted, Outcome::TimedOut,
                                  Outcome::Unreachable, Outcome::ConnectionLost})
        EXPECT_TRUE(countsInCircuitBreaker(outcome, AttemptTime::Full, false));
}

TEST(RetryPolicy, WhatThisServerCausedDoesNotCountInTheBreaker) {
    EXPECT_FALSE(countsInCircuitBreaker(Outcome::LocalLimit, AttemptTime::Full, false));
    EXPECT_FALSE(countsInCircuitBreaker(Outcome::MalformedResponse, AttemptTime::Full, false));
    EXPECT_FALSE(countsInCircuitBreaker(Outcome::TimedOut, AttemptTime::Shortened, false));
    EXPECT_FALSE(countsInCircuitBreaker(Outcome::TimedOut, AttemptTime::Full, true));
    EXPECT_TRUE(countsInCircuitBreaker(Outcome::Error, AttemptTime::Shortened, true)) << "no timeout";
}

TEST(RetryPolicy, OnlyCallsThatWereSentCountInTheBudget) {
    EXPECT_FALSE(countsInRetryBudget(Outcome::LocalLimit));
    EXPECT_TRUE(countsInRetryBudget(Outcome::MalformedResponse));
}

TEST(RetryPolicy, TheDependencyMayStillWorkOnCallsThatEndedWithoutAResponse) {
    EXPECT_TRUE(mayStillRunAtDependency(Outcome::TimedOut));
    EXPECT_TRUE(mayStillRunAtDependency(Outcome::ConnectionLost));
    EXPECT_FALSE(mayStillRunAtDependency(Outcome::MalformedResponse));
    EXPECT_FALSE(mayStillRunAtDependency(Outcome::ResourceExhausted));
}

TEST(RetryPolicy, BackoffDoublesWithFullJitterUpToTheAttemptTimeout) {
    EXPECT_EQ(retryBackoff(1, 1600ms, 0), 0ms);
    EXPECT_EQ(retryBackoff(1, 1600ms, 0.5), 50ms);
    EXPECT_EQ(retryBackoff(2, 1600ms, 0.5), 100ms);
    EXPECT_EQ(retryBackoff(9, 1600ms, 0.5), 800ms);
}

}  // namespace
}  // namespace cottonwing::overload
