/// @file
/// The clock that all points in time of the program refer to.
#pragma once

#include "overload/types.h"

namespace cottonwing::net {

/// Nanoseconds since the Unix epoch, by the system's clock. Deadlines on the wire are points on this clock;
/// it may be set back, so code that needs a time that never decreases has to guard against that.
Duration unixNow();

}  // namespace cottonwing::net
