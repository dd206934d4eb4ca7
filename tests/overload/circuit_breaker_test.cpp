#include "overload/circuit_breaker.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;
using State = CircuitBreaker::State;
using Transition = CircuitBreaker::Transition;

CircuitBreaker openedAt(Timestamp now, Duration openTime) {
    CircuitBreaker breaker;
    for (int failure = 0; failure < 5; ++failure) breaker.record(false, now, openTime);
    return breaker;
}

TEST(CircuitBreaker, OpensAfterFiveConsecutiveFailures) {
    CircuitBreaker breaker;
    for (int failure = 0; failure < 4; ++failure) EXPECT_EQ(breaker.record(false, 1s, 2s), Transition::None);
    EXPECT_EQ(breaker.record(false, 1s, 2s), Transition::Opened);
    EXPECT_TRUE(breaker.isOpen());
    EXPECT_EQ(breaker.openUntil(), 3s);
}

TEST(CircuitBreaker, OpensWhenHalfOfTheLastTwentyFailed) {
    CircuitBreaker breaker;
    for (int outcome = 0; outcome < 19; ++outcome) breaker.record(outcome % 2 == 0, 1s, 2s);
    EXPECT_EQ(breaker.state(), State::Closed) << "fewer than 20 outcomes are no window";
    EXPECT_EQ(breaker.record(false, 1s, 2s), Transition::Opened);
    EXPECT_EQ(breaker.windowFailures(), 10);
}

TEST(CircuitBreaker, BecomesHalfOpenWhenItsOpenTimeIsOver) {
    CircuitBreaker breaker = openedAt(1s, 2s);
    EXPECT_FALSE(breaker.halfOpenWhenDue(2999ms));
    EXPECT_TRUE(breaker.halfOpenWhenDue(3s));
    EXPECT_EQ(breaker.state(), State::HalfOpen);
    EXPECT_FALSE(breaker.halfOpenWhenDue(4s));
}

TEST(CircuitBreaker, ClosesAfterThreeSuccessfulProbes) {
    CircuitBreaker breaker = openedAt(1s, 2s);
    breaker.halfOpenWhenDue(3s);
    EXPECT_EQ(breaker.record(true, 3s, 2s), Transition::None);
    EXPECT_EQ(breaker.record(true, 3s, 2s), Transition::None);
    EXPECT_EQ(breaker.record(true, 3s, 2s), Transition::Closed);
    EXPECT_EQ(breaker.state(), State::Closed);
    EXPECT_EQ(breaker.consecutiveFailures(), 0);
}

TEST(CircuitBreaker, OpensAgainWhenAProbeFails) {
    CircuitBreaker breaker = openedAt(1s, 2s);
    breaker.halfOpenWhenDue(3s);
    breaker.probeStarted();
    breaker.record(true, 4s, 2s);
    EXPECT_EQ(breaker.record(false, 4s, 2s), Transition::Reopened);
    EXPECT_EQ(breaker.openUntil(), 6s);
    EXPECT_FALSE(breaker.probeInFlight());
    EXPECT_EQ(breaker.successfulProbes(), 1);
}

TEST(CircuitBreaker, IgnoresOutcomesWhileOpen) {
    CircuitBreaker breaker = openedAt(1s, 2s);
    EXPECT_EQ(breaker.record(false, 2s, 9s), Transition::None);
    EXPECT_EQ(breaker.openUntil(), 3s);
}

TEST(CircuitBreaker, JittersTheOpenTimeByAFifth) {
    EXPECT_EQ(jitteredOpenTime(10s, 0), 8s);
    EXPECT_EQ(jitteredOpenTime(10s, 0.5), 10s);
    EXPECT_LE(jitteredOpenTime(10s, 0.999), 12s);
}

}  // namespace
}  // namespace cottonwing::overload
