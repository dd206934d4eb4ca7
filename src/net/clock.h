/// @file
/// The clock of all timestamps in the program.
#pragma once

#include "overload/types.h"

namespace cottonwing::net {

/// Nanoseconds since the Unix epoch, read from the system clock. Deadlines on the wire refer to this clock.
/// It may be set back, so code that relies on monotonic time has to guard against that.
Duration unixNow();

}  // namespace cottonwing::net
