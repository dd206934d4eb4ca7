/// @file
/// How long dependency calls take: their baseline and their current duration.
#pragma once

#include "overload/types.h"

namespace cottonwing::overload {

/// The calls that are in flight at one moment.
struct CallsInFlight {
    int count = 0;
    double totalAgeSeconds = 0;  ///< Sum of the times since each was sent.
};

/// Mean durations of dependency calls. A dependency slows down long before it collapses: calls that take a
/// multiple of their baseline duration mean that the fleet has too many of them in progress.
class CallTimeModel {
public:
    void recordSuccess(Duration elapsed);

    /// Records a timeout as at most twice the duration above which calls indicate an overload: a single
    /// hanging call is no overload, many of them are.
    void recordTimeout(Duration elapsed);

    /// Updates the current duration of a call, at each control tick. Calls that are in flight for longer than
    /// calls usually take reveal a slow dependency before any of them has ended. They are averaged with one
    /// recent call, because a single long call does not mean that the dependency is slow.
    void update(const CallsInFlight& calls);

    /// @return mean duration of the calls that ended recently, in seconds.
    double recentSeconds() const { return recentSeconds_; }

    /// @return current duration of a call, including the calls in flight, in seconds.
    double currentSeconds() const { return currentSeconds_; }

    /// @return whether calls take so much longer than their baseline that the dependency must be overloaded.
    bool dependencyOverloaded() const;

private:
    void recordRecent(double seconds);

    double recentSeconds_ = 0;
    double baselineSeconds_ = 0;
    double currentSeconds_ = 0;
};

}  // namespace cottonwing::overload
