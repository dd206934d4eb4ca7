#include "overload/request_value.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

RequestValue::Config twoClasses() {
    RequestValue::Config config;
    config.requestClasses.resize(2);
    config.requestClasses[1].priorityWeight = 4;
    return config;
}

ValuedRequest ofClass(int requestClass) {
    ValuedRequest request;
    request.requestClass = requestClass;
    return request;
}

TEST(RequestValue, IsThePriorityWeightOfTheClass) {
    const RequestValue value(twoClasses());
    EXPECT_DOUBLE_EQ(value.valueOf(ofClass(0)), 1);
    EXPECT_DOUBLE_EQ(value.valueOf(ofClass(1)), 4);
}

TEST(RequestValue, ARetryCountsHalf) {
    const RequestValue value(twoClasses());
    ValuedRequest retry = ofClass(1);
    retry.isRetry = true;
    EXPECT_DOUBLE_EQ(value.valueOf(retry), 2);
}

TEST(RequestValue, CountsExpectedWorkWhereConfigured) {
    RequestValue::Config config = twoClasses();
    config.valueCountsWork = true;
    ValuedRequest request = ofClass(1);
    request.work = 500ms;
    EXPECT_DOUBLE_EQ(RequestValue(config).valueOf(request), 2);
    EXPECT_DOUBLE_EQ(RequestValue(config).valueOf(ofClass(1)), 4) << "work unknown";
}

TEST(RequestValue, TheClassServedWorstGainsMostFromTheFairnessGoal) {
    RequestValue::Config config = twoClasses();
    config.requestClasses[1].priorityWeight = 1;
    config.goalWorstClass = 0.5;
    RequestValue value(config);
    for (int arrival = 0; arrival < 10; ++arrival) {
        value.recordArrival(ofClass(0));
        value.recordArrival(ofClass(1));
        value.recordSuccess(0, 1);
    }
    EXPECT_DOUBLE_EQ(value.valueOf(ofClass(1)), 2);  // 1 + 0.5 * 20 arrivals / 10 arrivals of its class
    EXPECT_LT(value.valueOf(ofClass(0)), 1.001);
}

TEST(RequestValue, ATenantBeyondItsQuotaIsValuedAsItsExcess) {
    RequestValue::Config config = twoClasses();
    config.tenants = {{8}};
    config.peerCount = 2;  // 4 per second for this server, 5 with the tolerance
    config.overQuotaValueFraction = 0;
    RequestValue value(config);
    ValuedRequest request = ofClass(0);
    request.tenant = 0;
    for (int arrival = 0; arrival < 50; ++arrival) value.recordArrival(request);
    EXPECT_DOUBLE_EQ(value.valueOf(request), 1) << "50 in ten seconds are within the quota";
    for (int arrival = 0; arrival < 50; ++arrival) value.recordArrival(request);
    EXPECT_DOUBLE_EQ(value.valueOf(request), 0.5);
    value.decay(10);
    EXPECT_DOUBLE_EQ(value.valueOf(request), 1);
}

}  // namespace
}  // namespace cottonwing::overload
