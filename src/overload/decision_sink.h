/// @file
/// The interface through which the overload controller emits its decisions.
#pragma once

#include <string_view>

#include "overload/types.h"

namespace cottonwing {

/// Advice that accompanies the rejection of a request.
struct Pushback {
    Duration retryAfter{0};      ///< How long the client should wait before a retry; 0: no advice.
    bool retryElsewhere = true;  ///< Whether the client may try another server meanwhile.
};

/// Receives the decisions of one OverloadController::decide call in the order they are made. The sink must
/// not call back into the controller.
class DecisionSink {
public:
    virtual ~DecisionSink() = default;

    /// Starts the run of a queued request.
    virtual void startRun(RequestId id) = 0;
    /// Final answer: sheds a request that never ran.
    virtual void reject(RequestId id, const Pushback& pushback) = 0;
    /// Final answer: fails a request that ran, or may have run, without a result in time.
    virtual void fail(RequestId id) = 0;
    /// Stops a run whose result is no longer needed.
    virtual void cancelRun(RequestId id) = 0;
    /// Sends the dependency call that the run waits for.
    /// @param timeout of this attempt.
    virtual void callDependency(RequestId id, Duration timeout) = 0;
    /// Continues the run without its dependency call (degraded response).
    virtual void skipDependencyCall(RequestId id) = 0;
    /// Retains the request's idempotency key for the given time.
    virtual void retainKey(RequestId id, Duration lifetime) = 0;
    /// Releases the idempotency key of a request that never ran.
    virtual void releaseKey(RequestId id) = 0;
    /// Answers a duplicate with the result of the attempt that holds its idempotency key.
    virtual void joinDuplicate(RequestId id) = 0;
    /// Sets the health that health checks report.
    virtual void setHealth(bool healthy) = 0;
    /// Advertises the fraction of its usual traffic that this server can handle, from 0 to 1.
    virtual void advertiseLoadShare(double share) = 0;
    /// Sets how long a client connection may be idle before it is closed.
    virtual void setIdleTimeout(Duration idleTimeout) = 0;
    /// Requests the next control tick, which delivers the gauges.
    virtual void scheduleTick(Duration delay) = 0;
    /// Records an event for operators. @param message one line, in the form `event: key=value ...`.
    virtual void log(std::string_view message) = 0;
};

}  // namespace cottonwing
