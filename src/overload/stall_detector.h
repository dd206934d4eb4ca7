/// @file
/// Detects that this process was stalled.
#pragma once

#include <optional>

#include "overload/types.h"

namespace cottonwing::overload {

/// A control tick that fires late shows that the process was not running in between. Timeouts that are read
/// with it, or shortly after, were caused by the process itself and say nothing about the dependency.
class StallDetector {
public:
    /// Records when the next control tick is due.
    void expectTick(Timestamp due) { tickDue_ = due; }

    /// Records that the control tick fired.
    /// @return how late it was, if that was a stall.
    std::optional<Duration> tickFired(Timestamp now);

    /// @return whether results that are read now may be affected by a stall.
    bool affects(Timestamp now) const { return now <= affectedUntil_; }

private:
    Timestamp tickDue_{0};
    Timestamp affectedUntil_{-1};
};

}  // namespace cottonwing::overload
