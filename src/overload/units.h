/// @file
/// Conversions between durations and seconds, and the period of the control tick.
#pragma once

#include <chrono>

#include "overload/types.h"

namespace cottonwing::overload {

/// Interval at which gauges, deadlines and the ends of backoffs are checked: times are accurate to one tick.
inline constexpr Duration kControlTick = std::chrono::milliseconds(20);

/// @return the duration in seconds.
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// @return the duration, truncated to whole nanoseconds.
inline Duration fromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace cottonwing::overload
