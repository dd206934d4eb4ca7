/// @file
/// The queue between the overload controller and the request manager.
#include "request/decision_queue.h"

#include <gtest/gtest.h>

#include <sstream>

namespace cottonwing::request {
namespace {

using namespace std::chrono_literals;

struct DecisionQueueTest : ::testing::Test {
    std::ostringstream logLines;
    telemetry::Log log{logLines, telemetry::Level::Debug};
    DecisionQueue queue{log};
};

TEST_F(DecisionQueueTest, KeepsDecisionsInTheOrderInWhichTheyWereMade) {
    queue.startRun(1);
    queue.callDependency(2, 30ms);
    queue.startRun(3);
    ASSERT_EQ(queue.decisions().size(), 3U);
    EXPECT_EQ(std::get<StartRun>(queue.decisions()[0]).id, 1U);
    EXPECT_EQ(std::get<CallDependency>(queue.decisions()[1]).id, 2U);
    EXPECT_EQ(std::get<CallDependency>(queue.decisions()[1]).timeout, 30ms);
    EXPECT_EQ(std::get<StartRun>(queue.decisions()[2]).id, 3U);
}

TEST_F(DecisionQueueTest, KeepsThePushbackOfARejection) {
    queue.reject(7, {250ms, false});
    ASSERT_EQ(queue.decisions().size(), 1U);
    const auto& rejection = std::get<RejectRequest>(queue.decisions().front());
    EXPECT_EQ(rejection.id, 7U);
    EXPECT_EQ(rejection.pushback.retryAfter, 250ms);
    EXPECT_FALSE(rejection.pushback.retryElsewhere);
}

TEST_F(DecisionQueueTest, DistinguishesEveryKindOfDecision) {
    queue.fail(1);
    queue.cancelRun(2);
    queue.skipDependencyCall(3);
    queue.joinDuplicate(4);
    queue.setHealth(true);
    queue.advertiseLoadShare(0.25);
    queue.setIdleTimeout(3s);
    queue.scheduleTick(20ms);
    const auto& decisions = queue.decisions();
    ASSERT_EQ(decisions.size(), 8U);
    EXPECT_EQ(std::get<FailRequest>(decisions[0]).id, 1U);
    EXPECT_EQ(std::get<CancelRun>(decisions[1]).id, 2U);
    EXPECT_EQ(std::get<SkipDependencyCall>(decisions[2]).id, 3U);
    EXPECT_EQ(std::get<JoinDuplicate>(decisions[3]).id, 4U);
    EXPECT_TRUE(std::get<SetHealth>(decisions[4]).healthy);
    EXPECT_EQ(std::get<AdvertiseLoadShare>(decisions[5]).share, 0.25);
    EXPECT_EQ(std::get<SetIdleTimeout>(decisions[6]).idleTimeout, 3s);
    EXPECT_EQ(std::get<ScheduleTick>(decisions[7]).delay, 20ms);
}

TEST_F(DecisionQueueTest, IsEmptyAfterClear) {
    queue.fail(1);
    queue.clear();
    EXPECT_TRUE(queue.decisions().empty());
}

TEST_F(DecisionQueueTest, ReportsKeyDecisionsAsErrorsAndDoesNotQueueThem) {
    queue.retainKey(1, 5s);
    queue.releaseKey(1);
    EXPECT_TRUE(queue.decisions().empty());
    EXPECT_NE(logLines.str().find("decision=retain_key"), std::string::npos);
    EXPECT_NE(logLines.str().find("decision=release_key"), std::string::npos);
}

TEST_F(DecisionQueueTest, PassesLogMessagesOnAtOnce) {
    queue.log("circuit breaker opened");
    EXPECT_TRUE(queue.decisions().empty());
    EXPECT_NE(logLines.str().find("circuit breaker opened"), std::string::npos);
}

}  // namespace
}  // namespace cottonwing::request
