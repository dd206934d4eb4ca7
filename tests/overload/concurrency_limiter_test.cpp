#include "overload/concurrency_limiter.h"

#include <gtest/gtest.h>

#include <chrono>

#include "overload/slow_start.h"

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

void adaptRepeatedly(ConcurrencyLimiter& limiter, const CoreLoad& load) {
    for (int tick = 0; tick < 5000; ++tick) limiter.adapt(load);
}

TEST(ConcurrencyLimiter, GrowsWhileCoresAreIdleAndRequestsWait) {
    ConcurrencyLimiter limiter({2, 4});
    EXPECT_DOUBLE_EQ(limiter.limit(), 2);
    adaptRepeatedly(limiter, {1.0, 6, true});
    EXPECT_DOUBLE_EQ(limiter.limit(), 6);
}

TEST(ConcurrencyLimiter, ShrinksWhileCoreDemandIsTooHigh) {
    ConcurrencyLimiter limiter({2, 4});
    adaptRepeatedly(limiter, {100.0, 2, true});
    EXPECT_DOUBLE_EQ(limiter.limit(), 1);
}

TEST(ConcurrencyLimiter, ReturnsToOneRunPerCoreWhileItDoesNotLimit) {
    ConcurrencyLimiter limiter({2, 4});
    adaptRepeatedly(limiter, {1.0, 6, true});
    adaptRepeatedly(limiter, {1.0, 6, false});
    EXPECT_NEAR(limiter.limit(), 2, 1e-6);
}

TEST(ConcurrencyLimiter, KeepsRunsBelowTheSafeFraction) {
    const ConcurrencyLimiter limiter({2, 4});  // collapses beyond 8 runs; up to 6.4 are safe
    EXPECT_TRUE(limiter.admitsRun({1, 6}, 1));
    EXPECT_FALSE(limiter.admitsRun({1, 7}, 1));
    EXPECT_FALSE(limiter.admitsRun({2, 2}, 1)) << "the cores are taken";
}

TEST(ConcurrencyLimiter, AColdServerWithOneCoreStartsOneRun) {
    const ConcurrencyLimiter limiter({1, 4});  // at a fifth of its capacity it survives 1.6 runs
    EXPECT_TRUE(limiter.admitsRun({0, 0}, 0.2));
    EXPECT_FALSE(limiter.admitsRun({0, 1}, 0.2)) << "1 is below the safe 1.28, but 2 are over 1.6";
}

TEST(SlowStart, GrowsFromTheColdFractionInProportionToTime) {
    SlowStart slowStart({true, 0.2, 10s});
    slowStart.begin(100s);
    EXPECT_DOUBLE_EQ(slowStart.capacityFraction(100s), 0.2);
    EXPECT_DOUBLE_EQ(slowStart.capacityFraction(105s), 0.6);
    EXPECT_DOUBLE_EQ(slowStart.capacityFraction(200s), 1);
}

TEST(SlowStart, AWarmServerHasItsFullCapacity) {
    EXPECT_DOUBLE_EQ(SlowStart({false, 0.2, 10s}).capacityFraction(0s), 1);
    EXPECT_DOUBLE_EQ(SlowStart({true, 0.2, 0s}).capacityFraction(0s), 1);
}

}  // namespace
}  // namespace cottonwing::overload
