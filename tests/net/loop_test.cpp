/// @file
/// Turns of the event loop, exceptions of callbacks, and signals.
#include "net/loop.h"

#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>
#include <string>

#include "net/signal.h"
#include "net/timer.h"
#include "support/event_loop_helpers.h"

namespace cottonwing::net {
namespace {

using namespace std::chrono_literals;

TEST(Loop, ReportsExceptionsOfCallbacks) {
    Loop loop;
    std::string error;
    loop.onUncaughtException([&](const std::string& what) { error = what; });
    Timer timer(loop, [] { throw std::runtime_error("thrown"); });
    timer.start(0ns);
    testing::runUntil(loop, [&] { return !error.empty(); });
    EXPECT_EQ(error, "thrown");
}

TEST(Loop, CallsAfterPollCallbacksOnce) {
    Loop loop;
    int calls = 0;
    loop.afterPoll([&] { ++calls; });
    EXPECT_EQ(calls, 0);
    loop.runWithoutWaiting();
    loop.runWithoutWaiting();
    EXPECT_EQ(calls, 1);
}

TEST(Loop, RunsTheTurnEndCallbackOncePerTurn) {
    Loop loop;
    int turns = 0;
    loop.onTurnEnd([&] { ++turns; });
    loop.runWithoutWaiting();
    EXPECT_EQ(turns, 0) << "there is nothing to wait for";
    Timer timer(loop, [] {});
    timer.start(1h);
    loop.runWithoutWaiting();
    loop.runWithoutWaiting();
    EXPECT_EQ(turns, 2);
}

TEST(Signal, IsHandledOnTheLoopWhileItExists) {
    Loop loop;
    int handled = 0;
    const Signal signal(loop, SIGUSR2, [&] { ++handled; });
    ASSERT_EQ(std::raise(SIGUSR2), 0);
    EXPECT_EQ(handled, 0);
    testing::runUntil(loop, [&] { return handled > 0; });
    EXPECT_EQ(handled, 1);
}

}  // namespace
}  // namespace cottonwing::net
