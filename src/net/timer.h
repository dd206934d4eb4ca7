/// @file
/// A one-shot timer on the event loop.
#pragma once

#include <cstdint>
#include <functional>

#include "net/clock.h"

namespace cottonwing::net {

class Loop;

/// Fires once per start, never early. The wait is rounded up to whole milliseconds and counted from the
/// actual time, not from the loop's cached time. A timer that would fire more than 10 ms late indicates that
/// the process was stalled: the sockets are read first, because data that arrived in time may still be
/// unread, and the timer fires after that.
class Timer {
public:
    /// Does not start the timer. The callback runs on the loop and may start, stop or destroy the timer.
    Timer(Loop& loop, std::function<void()> onFire);
    /// Stops the timer.
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Schedules the timer to fire after wait; replaces an earlier start that has not fired yet. With a wait
    /// of 0 or less it fires in the next turn, never from within this call.
    void start(Duration wait);

    /// Cancels a pending start, if any.
    void stop();

private:
    struct Handle;
    static void arm(Handle& handle, std::uint64_t millis);
    static void fire(Handle& handle);

    Handle* handle_;  // deleted by libuv's close callback
};

}  // namespace cottonwing::net
