#include "overload/service_time_model.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

ServiceTimeModel modelOfOneClass() {
    RequestClass requestClass;
    requestClass.latencyObjective = 600ms;
    requestClass.callsDependency = true;
    return ServiceTimeModel({requestClass});
}

TEST(ServiceTimeModel, StartsFromASixthOfTheLatencyObjective) {
    const ServiceTimeModel model = modelOfOneClass();
    EXPECT_DOUBLE_EQ(model.expectedCoreSeconds(0, 0ms), 0.1);
    EXPECT_DOUBLE_EQ(model.expectedTotalSeconds(0, 0ms), 0.1);
    EXPECT_DOUBLE_EQ(model.expectedCalls(0), 1);
}

TEST(ServiceTimeModel, TheFirstSuccessfulRunReplacesTheGuess) {
    ServiceTimeModel model = modelOfOneClass();
    model.recordSuccess(0, {0.02, 0.05, 2});
    EXPECT_DOUBLE_EQ(model.expectedCoreSeconds(0, 0ms), 0.02);
    EXPECT_DOUBLE_EQ(model.expectedTotalSeconds(0, 0ms), 0.05);
    EXPECT_DOUBLE_EQ(model.expectedCalls(0), 2);
}

TEST(ServiceTimeModel, ScalesWithExpectedWorkFromTheFirstValueOn) {
    ServiceTimeModel model = modelOfOneClass();
    EXPECT_DOUBLE_EQ(model.expectedCoreSeconds(0, 300ms), 0.1) << "no mean to compare with";
    model.recordExpectedWork(0, 300ms);
    EXPECT_DOUBLE_EQ(model.expectedCoreSeconds(0, 300ms), 0.1);
    EXPECT_DOUBLE_EQ(model.expectedCoreSeconds(0, 600ms), 0.2);
}

TEST(ServiceTimeModel, UnfinishedRunsOnlyLengthenTheMean) {
    ServiceTimeModel model = modelOfOneClass();
    model.recordUnfinished(0, {0.05, 0, 0});
    EXPECT_DOUBLE_EQ(model.baselineCoreSeconds(0), 0.1);
    model.recordUnfinished(0, {1.1, 0, 0});
    EXPECT_DOUBLE_EQ(model.baselineCoreSeconds(0), 0.2);
}

TEST(ServiceTimeModel, RunsOlderThanUsualRaiseTheSlowdown) {
    ServiceTimeModel model = modelOfOneClass();
    model.updateSlowdown({0.7, 0.1, 1});
    EXPECT_DOUBLE_EQ(model.slowdown(), 4);  // (0.7 + 0.1) / (0.1 + 0.1), with one baseline run averaged in
    model.updateSlowdown({0.0, 0.1, 1});
    EXPECT_DOUBLE_EQ(model.slowdown(), 1);
    model.updateSlowdown({100, 0.1, 1});
    EXPECT_DOUBLE_EQ(model.slowdown(), 10);
}

}  // namespace
}  // namespace cottonwing::overload
