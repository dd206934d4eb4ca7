#include "overload/attempt_timeout.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

AttemptTimeout afterSuccesses(int count, Duration elapsed) {
    AttemptTimeout timeout(2s);
    for (int call = 0; call < count; ++call) timeout.recordSuccess(elapsed);
    return timeout;
}

TEST(AttemptTimeout, IsHalfOfTheObjectiveUntilTwentyCallsSucceeded) {
    EXPECT_EQ(afterSuccesses(0, 50ms).value(), 1s);
    EXPECT_EQ(afterSuccesses(19, 50ms).value(), 1s);
    EXPECT_EQ(afterSuccesses(20, 50ms).value(), 350ms);
}

TEST(AttemptTimeout, StaysBetweenATwentiethAndHalfOfTheObjective) {
    EXPECT_EQ(afterSuccesses(20, 1ms).value(), 100ms);
    EXPECT_EQ(afterSuccesses(20, 900ms).value(), 1s);
}

TEST(AttemptTimeout, IsAtMostHalfOfTheRemainingTime) {
    const AttemptTimeout timeout(2s);
    EXPECT_EQ(timeout.valueFor(5s), 1s);
    EXPECT_EQ(timeout.valueFor(800ms), 400ms);
    EXPECT_TRUE(timeout.isShortened(400ms));
    EXPECT_FALSE(timeout.isShortened(500ms));
}

TEST(AttemptTimeout, TheShortestObjectiveIsThatOfClassesThatCall) {
    std::vector<RequestClass> classes(2);
    classes[0].latencyObjective = 500ms;
    classes[1].latencyObjective = 3s;
    EXPECT_EQ(shortestCallingObjective(classes), 1s) << "none calls";
    classes[1].callsDependency = true;
    EXPECT_EQ(shortestCallingObjective(classes), 3s);
}

}  // namespace
}  // namespace cottonwing::overload
