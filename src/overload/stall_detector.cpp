#include "overload/stall_detector.h"

#include <chrono>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr Duration kStallThreshold = std::chrono::milliseconds(150);

}  // namespace

std::optional<Duration> StallDetector::tickFired(Timestamp now) {
    const bool tickExpected = tickDue_ > Timestamp::zero();
    if (!tickExpected || now - tickDue_ <= kStallThreshold) return std::nullopt;
    affectedUntil_ = now + kControlTick;
    return now - tickDue_;
}

}  // namespace cottonwing::overload
