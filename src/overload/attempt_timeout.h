/// @file
/// The timeout of one attempt of a dependency call.
#pragma once

#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// Seven times what successful calls take in the long run, between a twentieth and a half of the shortest
/// latency objective among the request classes that call. Half of it until 20 successful calls were seen.
class AttemptTimeout {
public:
    /// @param shortestObjective shortest latency objective among the classes that call the dependency.
    explicit AttemptTimeout(Duration shortestObjective);

    /// Learns from a successful call. The mean follows slowly: a dependency that gets slow must not at once
    /// stretch the time that it is given.
    void recordSuccess(Duration elapsed);

    /// @return the timeout of an attempt whose request has enough time.
    Duration value() const { return timeout_; }

    /// @return the timeout for a request with this much time left: half of that at most, so that a retry or
    /// an answer still fits.
    Duration valueFor(Duration remaining) const;

    /// @return whether a timeout is so short that the request's own lack of time may have ended the attempt.
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
