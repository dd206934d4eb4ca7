/// @file
/// How long dependency calls take, usually and at present.
#pragma once

#include "overload/types.h"

namespace cottonwing::overload {

/// The calls that are in flight at one moment.
struct CallsInFlight {
    int count = 0;
    double totalAgeSeconds = 0;  ///< Sum of the times since each was sent.
};

/// Mean times of dependency calls. A dependency slows long before it collapses: calls that take a multiple of
/// their usual time mean that the fleet has too many in progress.
class CallTimeModel {
public:
    void recordSuccess(Duration elapsed);

    /// A single call that hangs is no overload, many are: a timeout counts no more than twice the time from
    /// which calls tell of an overload.
    void recordTimeout(Duration elapsed);

    /// Re-estimates the present time of a call, at each control tick. Calls that are in flight for longer
    /// than calls take reveal a slow dependency before any of them has ended; they are averaged with one
    /// recent call, as one long call is no slow dependency.
    void update(const CallsInFlight& calls);

    /// @return mean time of the calls that ended recently, in seconds.
    double recentSeconds() const { return recentSeconds_; }

    /// @return what a call takes at present, calls in flight included, in seconds.
    double currentSeconds() const { return currentSeconds_; }

    /// @return whether calls take so much longer than usual that the dependency must be overloaded.
    bool dependencyOverloaded() const;

private:
    void recordRecent(double seconds);

    double recentSeconds_ = 0;
    double baselineSeconds_ = 0;
    double currentSeconds_ = 0;
};

}  // namespace cottonwing::overload
