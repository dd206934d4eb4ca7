/// @file
/// The advice that a rejected client gets: Retry-After, and whether to try another server.
#pragma once

#include "overload/decision_sink.h"
#include "overload/random_source.h"
#include "overload/types.h"

namespace cottonwing::overload {

/// One rejection and the state of the server at the time.
struct Rejection {
    Duration retryAfter{0};         ///< Time until the cause is over, if known; 0: derived from the load.
    bool isRetry = false;           ///< Whether the rejected request is a retry or hedged request.
    double shedFraction = 0;        ///< Of the requests, from 0 to 1.
    bool runsBreakerClosed = true;  ///< Whether the circuit breaker of the server's own runs is closed.
};

/// Chooses the advice for rejected requests.
///
/// Retry-After grows with the shed fraction and with the time that requests wait before they are read: that
/// delay arises before the admission queue, so only fewer requests from clients can reduce it. It is jittered
/// by half, so that clients rejected together do not return together.
///
/// Retries on other servers are discouraged when the whole fleet seems to be overloaded, as other servers
/// would only read and reject them as well: always after the rejection of a retry, and after that of a first
/// attempt with a probability proportional to the shed fraction. They are not discouraged while this server's
/// own runs fail, since other servers may well succeed.
class ClientPushback {
public:
    struct Config {
        bool retryAfterAllowed = false;
        Duration maxRetryAfter{0};
    };

    explicit ClientPushback(const Config& config) : config_(config) {}

    /// Records how long a request waited before it was read.
    /// @param objectiveFraction that wait as a fraction of the request's latency objective.
    void recordQueueingDelay(double objectiveFraction);

    Pushback adviceFor(const Rejection& rejection, RandomSource& random) const;

private:
    Duration retryAfterForLoad(double shedFraction, RandomSource& random) const;

    Config config_;
    double queueingDelay_ = 0;  ///< Smoothed, as a fraction of the latency objective.
};

}  // namespace cottonwing::overload
