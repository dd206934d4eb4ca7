/// @file
/// The timeout of one attempt of a dependency call.
#pragma once

#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// Seven times the long-term mean duration of successful calls, limited to the range from a twentieth to half
/// of the shortest latency objective among the request classes that call the dependency. Half of that
/// objective until 20 calls have succeeded.
class AttemptTimeout {
public:
    /// @param shortestObjective shortest latency objective among the classes that call the dependency.
    explicit AttemptTimeout(Duration shortestObjective);

    /// Updates the mean with a successful call. The mean changes slowly, so that a dependency that becomes
    /// slow does not immediately lengthen its own timeout.
    void recordSuccess(Duration elapsed);

    /// @return the timeout of an attempt whose request has enough time.
    Duration value() const { return timeout_; }

    /// @return the timeout for a request with this much time left: at most half of it, so that a retry or an
    /// answer still fits.
    Duration valueFor(Duration remaining) const;

    /// @return whether a timeout is so short that its expiry may be due to the request's lack of time and not
    /// to the dependency.
    bool isShortened(Duration timeout) const { return timeout < timeout_ / 2; }

private:
    double shortestObjectiveSeconds_;
    double meanSuccessSeconds_ = 0;
    int successes_ = 0;
    Duration timeout_;
};

/// @return the shortest latency objective among the classes that call the dependency; one second if none
/// does.
Duration shortestCallingObjective(const std::vector<RequestClass>& requestClasses);

}  // namespace cottonwing::overload
