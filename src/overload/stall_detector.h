/// @file
/// Detects that this process stood still.
#pragma once

#include <optional>

#include "overload/types.h"

namespace cottonwing::overload {

/// A control tick that comes late shows that the process did not run in between. Timeouts read with it, or
/// shortly after, were caused by the process itself and say nothing of the dependency.
class StallDetector {
public:
    /// Notes when the next control tick is due.
    void expectTick(Timestamp due) { tickDue_ = due; }

    /// Notes that the control tick fired.
    /// @return how late it was, if that was a stall.
    std::optional<Duration> tickFired(Timestamp now);

    /// @return whether results that are read now may be affected by a stall.
    bool affects(Timestamp now) const { return now <= affectedUntil_; }

private:
    Timestamp tickDue_{0};
    Timestamp affectedUntil_{-1};
};

}  // namespace cottonwing::overload
