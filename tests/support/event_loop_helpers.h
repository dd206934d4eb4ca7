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
    bool late = false;
    net::Timer watch(loop, [&] { late = true; });
    watch.start(limit);
    // A turn that has run its timers may wait for more: the tick has it look again.
    net::Timer tick(loop, [] {});
    while (!condition() && !late) {
        tick.start(10ms);
        loop.runOnce();
    }
    ASSERT_FALSE(late) << "waited for in vain";
}

}  // namespace cottonwing::testing
