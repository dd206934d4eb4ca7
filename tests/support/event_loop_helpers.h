/// @file
/// Runs an event loop until a condition holds, so that tests need no sleeps.
#pragma once

#include <gtest/gtest.h>

#include <chrono>

#include "net/loop.h"

namespace cottonwing::testing {

using namespace std::chrono_literals;

/// Runs the event loop until the condition holds; fails the test after the limit, which is reached only if
/// there is a defect.
template <typename Condition>
void runUntil(net::Loop& loop, Condition&& condition, Duration limit = 20s) {
    bool limitReached = false;
    net::Timer limitTimer(loop, [&] { limitReached = true; });
    limitTimer.start(limit);
    // runOnce() may block for further events after it has run the timers; the wake-up timer ends that wait so
    // that the condition is checked again.
    net::Timer wakeUp(loop, [] {});
    while (!condition() && !limitReached) {
        wakeUp.start(10ms);
        loop.runOnce();
    }
    ASSERT_FALSE(limitReached) << "condition did not hold within the time limit";
}

}  // namespace cottonwing::testing
