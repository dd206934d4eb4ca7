/// @file
/// Steps that end a request: rejection, failure, cancellation, removal.
#pragma once

#include "overload/controller_context.h"

namespace cottonwing::overload {

/// Ends requests. Each request gets exactly one final answer, unless its client cancelled.
class RequestClosing {
public:
    explicit RequestClosing(ControllerContext& context) : context_(context) {}

    /// Gives the final answer of a request that will not be completed, at once. One that never ran is
    /// rejected, so that its client may try another server; one that ran fails, and is stopped where that can
    /// be done.
    /// @param retryAfter known time until the cause is over; 0: derived from the load.
    void rejectOrFail(RequestState& request, Duration retryAfter = Duration::zero());

    /// Handles a client that does not wait any more; it gets no answer.
    void cancel(RequestId id);

    /// Gives up all requests that must be answered before the next control tick.
    void answerOverdueRequests();

    /// Removes a request from everything but the retained keys, which expire by themselves.
    void remove(RequestState& request);

    /// If the request's call was a half-open probe, another one may be sent.
    void endProbe(RequestState& request);

private:
    void reject(RequestState& request, Duration retryAfter);
    /// Nobody waits for the run any more; its end still has to come.
    void abandonRun(RequestState& request);

    ControllerContext& context_;
};

}  // namespace cottonwing::overload
