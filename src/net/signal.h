/// @file
/// Signals of the system as events of the loop.
#pragma once

#include <functional>

#include "net/loop.h"

namespace cottonwing::net {

/// Handles one signal number while it exists. It does not keep the loop running on its own. When the last
/// handler of a number is destroyed the system's default action applies again.
class Signal {
public:
    /// @param number a signal number such as SIGTERM.
    /// @param onSignal runs on the loop, not in the signal handler of the system: it may do anything.
    Signal(Loop& loop, int number, std::function<void()> onSignal);
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

private:
    struct Handle;
    Handle* handle_;  // deleted by libuv's close callback
};

}  // namespace cottonwing::net
