#include "overload/dependency_limiter.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

DependencyLimiter::Config shared(double quota) { return {DependencyKind::Shared, quota, 200ms}; }

CallTimeModel usualCalls() {
    CallTimeModel calls;
    for (int call = 0; call < 100; ++call) calls.recordSuccess(10ms);
    calls.update({});
    return calls;
}

CallTimeModel overloadedCalls() {
    CallTimeModel calls = usualCalls();
    calls.update({4, 2.0});
    return calls;
}

TEST(CallTimeModel, CallsLongInFlightRevealAnOverloadedDependency) {
    EXPECT_FALSE(usualCalls().dependencyOverloaded());
    EXPECT_TRUE(overloadedCalls().dependencyOverloaded());
}

TEST(CallTimeModel, ASingleTimeoutIsNoOverload) {
    CallTimeModel calls = usualCalls();
    calls.recordTimeout(10s);
    calls.update({});
    EXPECT_FALSE(calls.dependencyOverloaded());
    EXPECT_NEAR(calls.recentSeconds(), 0.015, 1e-6) << "counted as six times the baseline";
}

TEST(DependencyLimiter, AllowsTheLimitAndNoMoreWithoutUnusedQuota) {
    DependencyLimiter limiter(shared(10));
    for (int call = 0; call < 4; ++call) {
        EXPECT_TRUE(limiter.hasCapacity(false));
        limiter.callStarted();
    }
    EXPECT_FALSE(limiter.hasCapacity(false));
}

TEST(DependencyLimiter, UnusedQuotaPaysForTwiceTheLimit) {
    DependencyLimiter limiter(shared(10));
    limiter.accrueUnusedQuota(1);
    for (int call = 0; call < 8; ++call) {
        EXPECT_TRUE(limiter.hasCapacity(false));
        limiter.callStarted();
    }
    EXPECT_FALSE(limiter.hasCapacity(false));
    limiter.callEnded(false, 1s);
    EXPECT_FALSE(limiter.hasCapacity(true)) << "not while the dependency is overloaded";
}

TEST(DependencyLimiter, ASingleCallIsPaidFromUnusedQuotaWhereTheQuotaIsBelowOne) {
    DependencyLimiter limiter(shared(0.25));
    EXPECT_FALSE(limiter.hasCapacity(true));
    limiter.accrueUnusedQuota(1);
    EXPECT_TRUE(limiter.hasCapacity(true));
    limiter.chargeTimeout(1s, 0.5);
    EXPECT_FALSE(limiter.hasCapacity(true)) << "borrowed";
    limiter.accrueUnusedQuota(4);
    EXPECT_TRUE(limiter.hasCapacity(true)) << "paid back at half of the quota";
}

TEST(DependencyLimiter, AnAbandonedCallCountsUntilTheDependencyHasEndedIt) {
    DependencyLimiter limiter(shared(2.5));
    limiter.callStarted();
    limiter.callEnded(true, 1s);
    limiter.removeExpiredAbandonedCalls(1199ms);
    EXPECT_FALSE(limiter.hasCapacity(false));
    limiter.removeExpiredAbandonedCalls(1200ms);
    EXPECT_TRUE(limiter.hasCapacity(false));
}

TEST(DependencyLimiter, TheLimitStaysBetweenTwoAndFourFifthsOfTheQuota) {
    DependencyLimiter limiter(shared(10));
    EXPECT_DOUBLE_EQ(limiter.concurrencyLimit(), 4);
    for (int call = 0; call < 20; ++call) limiter.adapt(usualCalls(), 1s);
    EXPECT_DOUBLE_EQ(limiter.concurrencyLimit(), 8);
    for (int call = 0; call < 20; ++call) limiter.adapt(overloadedCalls(), 1s + 1s * call);
    EXPECT_DOUBLE_EQ(limiter.concurrencyLimit(), 4);
}

TEST(DependencyLimiter, ReducesTheLimitOncePerCallTime) {
    DependencyLimiter limiter(shared(10));
    for (int call = 0; call < 20; ++call) limiter.adapt(usualCalls(), 1s);
    limiter.adapt(overloadedCalls(), 2s);
    limiter.adapt(overloadedCalls(), 2s);
    EXPECT_DOUBLE_EQ(limiter.concurrencyLimit(), 7.2);
}

TEST(DependencyLimiter, ATierIsNotLimited) {
    DependencyLimiter limiter({DependencyKind::Tier, 0, 0ms});
    for (int call = 0; call < 100; ++call) limiter.callStarted();
    EXPECT_TRUE(limiter.hasCapacity(true));
    EXPECT_EQ(limiter.secondsBetweenCalls(1), 0);
    EXPECT_DOUBLE_EQ(DependencyLimiter(shared(10)).secondsBetweenCalls(1), 0.25);
}

}  // namespace
}  // namespace cottonwing::overload
