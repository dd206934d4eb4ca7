#include "request/run_continuation.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::request {
namespace {

using namespace std::chrono_literals;

constexpr Timestamp kSentAt = 1000s;

RunContinuation sentContinuation() {
    RunContinuation continuation("reply");
    continuation.recordSend(true, kSentAt);
    return continuation;
}

TEST(RunContinuation, IsNotSentUntilThereIsAConnection) {
    RunContinuation continuation("reply");
    EXPECT_EQ(continuation.delivery(), Delivery::NotSent);
    continuation.recordSend(false, kSentAt);
    EXPECT_EQ(continuation.delivery(), Delivery::NotSent);
    continuation.recordSend(true, kSentAt);
    EXPECT_EQ(continuation.delivery(), Delivery::Sent);
}

TEST(RunContinuation, IsUnconfirmedAfterALossUnlessTheExecutorHasReceivedIt) {
    RunContinuation continuation = sentContinuation();
    EXPECT_FALSE(continuation.recordConnectionLoss(kSentAt));
    EXPECT_EQ(continuation.delivery(), Delivery::Sent);
    EXPECT_TRUE(continuation.recordConnectionLoss(kSentAt - 1ns));
    EXPECT_TRUE(continuation.isUnconfirmed());
    EXPECT_FALSE(continuation.recordConnectionLoss(kSentAt - 1ns));  // counted once
}

TEST(RunContinuation, ThatWasNotSentStaysSoAfterALoss) {
    RunContinuation continuation(std::nullopt);
    EXPECT_FALSE(continuation.recordConnectionLoss(0ns));
    EXPECT_EQ(continuation.delivery(), Delivery::NotSent);
}

TEST(RunContinuation, ARepeatedCallReplacesTheReplyAndItsProofOutlastsAnotherLoss) {
    RunContinuation continuation = sentContinuation();
    continuation.recordConnectionLoss(0ns);
    continuation.recordRepeatedCall("second reply");
    EXPECT_EQ(continuation.reply(), "second reply");
    EXPECT_EQ(continuation.delivery(), Delivery::AwaitingReports);
    EXPECT_FALSE(continuation.recordConnectionLoss(0ns));
    EXPECT_EQ(continuation.delivery(), Delivery::AwaitingReports);
}

}  // namespace
}  // namespace cottonwing::request
