/// @file
/// Measures for how long this process stood still.
#pragma once

#include <utility>

#include "net/clock.h"

namespace cottonwing::net {

/// Tells a check that is repeated at an interval by how much it is late, so that this time is not counted
/// against peers.
class StallMeter {
public:
    /// @param interval  the time from one check to the next
    explicit StallMeter(Duration interval) : interval_(interval), lastCheckAt_(unixNow()) {}

    /// Called by each check. Returns the time by which it is late, or 0 if that is less than one interval.
    Duration stalledFor(Timestamp now) {
        const Duration delay = now - std::exchange(lastCheckAt_, now) - interval_;
        return delay < interval_ ? Duration(0) : delay;
    }

private:
    const Duration interval_;
    Timestamp lastCheckAt_;
};

}  // namespace cottonwing::net
