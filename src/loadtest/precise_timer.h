/// @file
/// A timer on timerfd that is finer than the loop's whole milliseconds: it fires within some tens of
/// microseconds of its deadline. Also a wake-up of the loop from other threads.
#pragma once

#include <functional>

#include "net/loop.h"

namespace cottonwing::loadtest {

/// The time of the monotonic clock.
Duration steadyNow();

/// Fires once per startAt(). Does not keep the loop running.
class PreciseTimer {
public:
    /// The callback runs on the loop and may destroy the timer. Throws std::runtime_error if the timer
    /// can't be created.
    PreciseTimer(net::Loop& loop, std::function<void()> onFire);
    ~PreciseTimer();
    PreciseTimer(const PreciseTimer&) = delete;
    PreciseTimer& operator=(const PreciseTimer&) = delete;
    /// Schedules the timer for a time of steadyNow(); replaces an earlier deadline that has not been reached.
    void startAt(Duration deadline);
    void stop();

private:
    struct Handle;
    Handle* handle_;
};

/// Runs a callback on the loop's thread on request of any thread.
class CrossThreadWakeup {
public:
    CrossThreadWakeup(net::Loop& loop, std::function<void()> onWake);
    ~CrossThreadWakeup();
    CrossThreadWakeup(const CrossThreadWakeup&) = delete;
    CrossThreadWakeup& operator=(const CrossThreadWakeup&) = delete;
    /// May be called from any thread; calls before the callback has run may be merged into one.
    void wake();

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::loadtest
