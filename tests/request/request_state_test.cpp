/// @file
/// When a request is finished, and the parameters of its run.
#include "request/request_state.h"

#include <gtest/gtest.h>

namespace cottonwing::request {
namespace {

using namespace std::chrono_literals;

TEST(TrackedRequest, ANewRequestWaitsAndIsNotFinished) {
    const TrackedRequest request;
    EXPECT_TRUE(request.isClientWaiting());
    EXPECT_FALSE(request.isRunInProgress());
    EXPECT_FALSE(request.isDependencyCallInProgress());
    EXPECT_FALSE(request.isFinished());
}

TEST(TrackedRequest, IsFinishedOnceAnsweredWhenNothingRuns) {
    TrackedRequest request;
    request.client = ClientState::Answered;
    EXPECT_TRUE(request.isFinished());
    request.client = ClientState::Cancelled;
    EXPECT_TRUE(request.isFinished());
}

TEST(TrackedRequest, IsNotFinishedUntilTheEndOfItsRunIsReported) {
    TrackedRequest request;
    request.client = ClientState::Cancelled;
    request.run = RunState::Running;
    EXPECT_FALSE(request.isFinished());
    request.run = RunState::StartNotSent;
    EXPECT_TRUE(request.isRunInProgress());
    request.run = RunState::StartUnconfirmed;
    EXPECT_TRUE(request.isRunInProgress());
    EXPECT_FALSE(request.isFinished());
    request.run = RunState::Ended;
    EXPECT_TRUE(request.isFinished());
}

TEST(TrackedRequest, IsNotFinishedAfterItsRunUntilItIsAnswered) {
    TrackedRequest request;
    request.run = RunState::Ended;
    EXPECT_FALSE(request.isFinished());
}

TEST(TrackedRequest, ItsRunIsStartedWithWhatTheClientSent) {
    TrackedRequest request;
    request.externalId = "00000000000000ff";
    request.body = "body";
    request.requestClass = 2;
    request.format = PayloadFormat::Scgi;
    request.routingKey = 9;
    request.deadline = 5s;
    const RunSpec spec = request.runSpec();
    EXPECT_EQ(spec.externalId, "00000000000000ff");
    EXPECT_EQ(spec.body, "body");
    EXPECT_EQ(spec.requestClass, 2);
    EXPECT_EQ(spec.format, PayloadFormat::Scgi);
    EXPECT_EQ(spec.routingKey, 9U);
    EXPECT_EQ(spec.deadline, 5s);
}

}  // namespace
}  // namespace cottonwing::request
