/// @file
/// A timer on the loop that fires once for each start.
#pragma once

#include <cstdint>
#include <functional>

#include "net/clock.h"

namespace cottonwing::net {

class Loop;

/// Fires once, at or after the time asked for: whole milliseconds, counted from the present time (not from
/// the loop's cached time) and rounded up. When it would fire more than 10 ms late, the process has stood
/// still: the sockets are read first, because what lies there arrived in time, and the timer fires after
/// that.
class Timer {
public:
    /// Does not start the timer. The callback runs on the loop; it may start, stop or destroy the timer.
    Timer(Loop& loop, std::function<void()> onFire);
    /// Stops the timer.
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Fires after wait, which replaces an earlier start that has not fired. A wait of 0 or less fires in the
    /// next turn, never from within this call.
    void start(Duration wait);

    /// Cancels the start; without one it does nothing.
    void stop();

private:
    struct Handle;
    static void arm(Handle& handle, std::uint64_t millis);
    static void fire(Handle& handle);

    Handle* handle_;  // deleted by libuv's close callback
};

}  // namespace cottonwing::net
