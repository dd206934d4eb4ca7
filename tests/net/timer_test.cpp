/// @file
/// When timers fire, and their lifetime.
#include "net/timer.h"

#include <gtest/gtest.h>

#include <memory>

#include "support/event_loop_helpers.h"

namespace cottonwing::net {
namespace {

using namespace std::chrono_literals;

TEST(Timer, FiresOnceAndNeverEarly) {
    Loop loop;
    int fired = 0;
    Duration at{0};
    Timer timer(loop, [&] {
        ++fired;
        at = unixNow();
    });
    const Duration from = unixNow();
    timer.start(20ms);
    timer.start(10500us);  // replaces the first start
    testing::runUntil(loop, [&] { return fired > 0; });
    EXPECT_GE(at - from, 10500us);
    bool after = false;
    Timer later(loop, [&] { after = true; });
    later.start(30ms);
    testing::runUntil(loop, [&] { return after; });
    EXPECT_EQ(fired, 1);
}

TEST(Timer, DoesNotFireAfterStop) {
    Loop loop;
    bool stoppedFired = false;
    Timer stopped(loop, [&] { stoppedFired = true; });
    stopped.start(1ms);
    stopped.stop();
    bool laterFired = false;
    Timer later(loop, [&] { laterFired = true; });
    later.start(5ms);
    testing::runUntil(loop, [&] { return laterFired; });
    EXPECT_FALSE(stoppedFired);
}

TEST(Timer, DoesNotFireFromWithinStart) {
    Loop loop;
    bool fired = false;
    Timer timer(loop, [&] { fired = true; });
    timer.start(-5ms);
    EXPECT_FALSE(fired);
    testing::runUntil(loop, [&] { return fired; });
    EXPECT_TRUE(fired);
}

TEST(Timer, MayBeDestroyedByItsCallback) {
    Loop loop;
    std::unique_ptr<Timer> timer;
    timer = std::make_unique<Timer>(loop, [&] { timer.reset(); });
    timer->start(0ns);
    testing::runUntil(loop, [&] { return timer == nullptr; });
    EXPECT_EQ(timer, nullptr);
}

}  // namespace
}  // namespace cottonwing::net
