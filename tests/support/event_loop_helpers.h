/// @file
/// Runs an event loop until a condition holds, so that tests need no sleeps.
#pragma once

#include <gtest/gtest.h>

#include <chrono>

#include "net/loop.h"

namespace cottonwing::testing {

using namespace std::chrono_literals;

/// Runs the event loop until the condition holds; fails the test at the limit, which only a defect reaches.
template <typename Condition>
void runUntil(net::Loop& loop, Condition&& condition, Duration limit = 20s) {
    bool limitReached = false;
    net::Timer limitTimer(loop, [&] { limitReached = true; });
    limitTimer.start(limit);
    // A turn that has run its timers may wait for more: the wake-up timer has the condition checked again.
    net::Timer wakeUp(loop, [] {});
    while (!condition() && !limitReached) {
        wakeUp.start(10ms);
        loop.runOnce();
    }
    ASSERT_FALSE(limitReached) << "waited for in vain";
}

}  // namespace cottonwing::testing
