#include "overload/client_pushback.h"

#include <gtest/gtest.h>

#include <chrono>

#include "overload/idle_connections.h"
#include "overload/load_advertiser.h"
#include "overload/shed_rate.h"

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

ClientPushback pushbackUpToOneSecond() { return ClientPushback({true, 1s}); }

TEST(ClientPushback, AnIdleServerSendsNoRetryAfterAndAllowsOtherServers) {
    RandomSource random(7);
    const Pushback advice = pushbackUpToOneSecond().adviceFor({}, random);
    EXPECT_EQ(advice.retryAfter, 0ms);
    EXPECT_TRUE(advice.retryElsewhere);
}

TEST(ClientPushback, RetryAfterGrowsWithTheShedFractionAndIsJitteredByHalf) {
    RandomSource random(7);
    Rejection rejection;
    rejection.shedFraction = 0.8;
    for (int draw = 0; draw < 100; ++draw) {
        const Duration retryAfter = pushbackUpToOneSecond().adviceFor(rejection, random).retryAfter;
        EXPECT_GE(retryAfter, 200ms);
        EXPECT_LT(retryAfter, 400ms);
    }
}

TEST(ClientPushback, RetryAfterGrowsWithTheQueueingDelay) {
    ClientPushback pushback = pushbackUpToOneSecond();
    for (int arrival = 0; arrival < 100; ++arrival) pushback.recordQueueingDelay(1);
    RandomSource random(7);
    EXPECT_GE(pushback.adviceFor({}, random).retryAfter, 500ms);
}

TEST(ClientPushback, AKnownRetryAfterIsLimitedToTheMaximum) {
    RandomSource random(7);
    Rejection rejection;
    rejection.retryAfter = 700ms;
    EXPECT_EQ(pushbackUpToOneSecond().adviceFor(rejection, random).retryAfter, 700ms);
    rejection.retryAfter = 5s;
    EXPECT_EQ(pushbackUpToOneSecond().adviceFor(rejection, random).retryAfter, 1s);
    EXPECT_EQ(ClientPushback({false, 1s}).adviceFor(rejection, random).retryAfter, 0ms);
}

TEST(ClientPushback, ARetryIsDiscouragedUnlessThisServersOwnRunsFail) {
    RandomSource random(7);
    Rejection rejection;
    rejection.isRetry = true;
    EXPECT_FALSE(pushbackUpToOneSecond().adviceFor(rejection, random).retryElsewhere);
    rejection.runsBreakerClosed = false;
    EXPECT_TRUE(pushbackUpToOneSecond().adviceFor(rejection, random).retryElsewhere);
}

TEST(ClientPushback, FirstAttemptsAreDiscouragedWhenAQuarterIsShed) {
    RandomSource random(7);
    Rejection rejection;
    rejection.shedFraction = 0.25;
    EXPECT_FALSE(pushbackUpToOneSecond().adviceFor(rejection, random).retryElsewhere);
}

TEST(ShedRate, AnOverloadBeginsAboveFifteenPercentAndEndsBelowTwo) {
    ShedRate rate;
    EXPECT_FALSE(rate.updateOverloaded());
    for (int tick = 0; tick < 10; ++tick) {
        rate.recordArrival();
        rate.recordShed();
        rate.update(0.02);
    }
    EXPECT_TRUE(rate.updateOverloaded());
    EXPECT_TRUE(rate.overloaded());
    EXPECT_FALSE(rate.updateOverloaded());
    for (int tick = 0; tick < 500; ++tick) rate.update(0.02);
    EXPECT_TRUE(rate.updateOverloaded());
    EXPECT_FALSE(rate.overloaded());
}

TEST(LoadAdvertiser, LowersTheShareToTwoFifthsWhileRequestsAreShed) {
    LoadAdvertiser advertiser(LoadSignal::Share);
    EXPECT_FALSE(advertiser.update(0).has_value()) << "unchanged";
    EXPECT_DOUBLE_EQ(advertiser.update(0.5).value(), 0.95);
    for (int advice = 0; advice < 20; ++advice) advertiser.update(1);
    EXPECT_DOUBLE_EQ(advertiser.update(0).value(), 0.42);
}

TEST(LoadAdvertiser, AdvertisesNoOtherSignal) {
    for (const LoadSignal signal : {LoadSignal::None, LoadSignal::Threshold, LoadSignal::Window})
        EXPECT_FALSE(LoadAdvertiser(signal).update(0.9).has_value());
}

TEST(IdleConnections, AreClosedEarlyWhenClientsRarelyReturn) {
    IdleConnections connections({30s, 1000});
    EXPECT_EQ(connections.update({5, 0, false}), 27s);
    for (int advice = 0; advice < 100; ++advice) connections.update({5, 0, false});
    EXPECT_FALSE(connections.update({5, 0, false}).has_value()) << "not below one second";
    EXPECT_EQ(connections.update({5, 0.6, false}), 1100ms) << "kept under overload";
    EXPECT_EQ(connections.update({5, 0.6, true}), 1s) << "unless the dependency is the bottleneck";
}

TEST(IdleConnections, AreKeptWhenClientsReturnOften) {
    IdleConnections connections({30s, 100});
    EXPECT_FALSE(connections.update({5, 0, false}).has_value());
}

}  // namespace
}  // namespace cottonwing::overload
