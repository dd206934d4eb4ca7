// A timer finer than the loop's whole milliseconds, on the system's own: wakes
// within some tens of microseconds.
#pragma once

#include <functional>

#include "net/loop.h"

namespace cottonwing::loadtest {

// The clock that never goes back.
Duration steadyNow();

class Pace {
public:
    Pace(net::Loop& loop, std::function<void()> rings);
    ~Pace();
    Pace(const Pace&) = delete;
    Pace& operator=(const Pace&) = delete;
    void ringAt(Duration steady);  // the last call counts
    void stop();

private:
    struct Handle;
    Handle* handle_;
};

// Rung from any thread, it rings on the loop's own.
class Bell {
public:
    Bell(net::Loop& loop, std::function<void()> rings);
    ~Bell();
    Bell(const Bell&) = delete;
    Bell& operator=(const Bell&) = delete;
    void ring();

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::loadtest
