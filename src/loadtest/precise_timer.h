// A timer finer than the loop's whole milliseconds, on the system's own: wakes
// within some tens of microseconds.
#pragma once

#include <functional>

#include "net/loop.h"

namespace cottonwing::loadtest {

// The clock that never goes back.
Duration steadyNow();

class PreciseTimer {
public:
    PreciseTimer(net::Loop& loop, std::function<void()> onFire);
    ~PreciseTimer();
    PreciseTimer(const PreciseTimer&) = delete;
    PreciseTimer& operator=(const PreciseTimer&) = delete;
    void startAt(Duration deadline);  // the last call counts
    void stop();

private:
    struct Handle;
    Handle* handle_;
};

// Rung from any thread, it rings on the loop's own.
class CrossThreadWakeup {
public:
    CrossThreadWakeup(net::Loop& loop, std::function<void()> onWake);
    ~CrossThreadWakeup();
    CrossThreadWakeup(const CrossThreadWakeup&) = delete;
    CrossThreadWakeup& operator=(const CrossThreadWakeup&) = delete;
    void wake();

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::loadtest
