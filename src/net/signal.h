/// @file
/// POSIX signals as events of the loop.
#pragma once

#include <functional>

#include "net/loop.h"

namespace cottonwing::net {

/// Handles one signal number for as long as the object exists. It does not keep the loop running by itself.
/// When the last handler of a signal number is destroyed, the default action applies again.
class Signal {
public:
    /// @param number a signal number, for example SIGTERM.
    /// @param onSignal runs on the loop, not in signal-handler context: it need not be async-signal-safe.
    Signal(Loop& loop, int number, std::function<void()> onSignal);
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

private:
    struct Handle;
    Handle* handle_;  // deleted by libuv's close callback
};

}  // namespace cottonwing::net
