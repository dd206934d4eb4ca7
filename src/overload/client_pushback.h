/// @file
/// What a client is advised when its request is rejected: Retry-After, and whether to try another server.
#pragma once

#include "overload/decision_sink.h"
#include "overload/random_source.h"
#include "overload/types.h"

namespace cottonwing::overload {

/// One rejection and the state of the server at the time.
struct Rejection {
    Duration retryAfter{0};         ///< Known time until the cause is over; 0: derived from the load.
    bool isRetry = false;           ///< Whether the rejected request is a retry or hedged request.
    double shedFraction = 0;        ///< Of the requests, from 0 to 1.
    bool runsBreakerClosed = true;  ///< Whether the circuit breaker of the server's own runs is closed.
};

/// Chooses the advice for rejected requests.
///
/// Retry-After grows with the shed fraction and with the time that requests wait before they are read: such a
/// delay lies before the admission queue, and only clients that stay away can end it. It is jittered by a
/// half, so that clients rejected together do not come back together.
///
/// Retries on other servers are discouraged when the whole fleet seems to be full: they would be read there
/// and rejected again. So a retry that is rejected here too stays away, and first attempts do
/// in proportion to the shed fraction. While the server's own runs fail, others may well succeed.
class ClientPushback {
public:
    struct Config {
        bool retryAfterAllowed = false;
        Duration maxRetryAfter{0};
    };

    explicit ClientPushback(const Config& config) : config_(config) {}

    /// Learns how long requests wait before they are read.
    /// @param objectiveFraction that wait as a fraction of the request's latency objective.
    void recordQueueingDelay(double objectiveFraction);

    Pushback adviceFor(const Rejection& rejection, RandomSource& random) const;

private:
    Duration retryAfterForLoad(double shedFraction, RandomSource& random) const;

    Config config_;
    double queueingDelay_ = 0;  ///< Smoothed, as a fraction of the latency objective.
};

}  // namespace cottonwing::overload
