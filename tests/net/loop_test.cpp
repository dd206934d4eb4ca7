/// @file
/// The turns of the loop, what its callbacks throw, and signals.
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

TEST(Loop, ReportsWhatACallbackThrows) {
    Loop loop;
    std::string trouble;
    loop.onUncaughtException([&](const std::string& what) { trouble = what; });
    Timer timer(loop, [] { throw std::runtime_error("thrown"); });
    timer.start(0ns);
    testing::runUntil(loop, [&] { return !trouble.empty(); });
    EXPECT_EQ(trouble, "thrown");
}

TEST(Loop, CallsOnceAfterTheNextPoll) {
    Loop loop;
    int calls = 0;
    loop.afterPoll([&] { ++calls; });
    EXPECT_EQ(calls, 0);
    loop.turnWithoutWaiting();
    loop.turnWithoutWaiting();
    EXPECT_EQ(calls, 1);
}

TEST(Loop, RunsTheTurnsCallbackOnceATurn) {
    Loop loop;
    int turns = 0;
    loop.onTurn([&] { ++turns; });
    loop.turnWithoutWaiting();
    EXPECT_EQ(turns, 0) << "nothing to wait for";
    Timer timer(loop, [] {});
    timer.start(1h);
    loop.turnWithoutWaiting();
    loop.turnWithoutWaiting();
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
