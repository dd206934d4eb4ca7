/// @file
/// Steps that end a request: rejection, failure, cancellation, removal.
#pragma once

#include "overload/controller_context.h"

namespace cottonwing::overload {

/// Ends requests. Each request gets exactly one final answer, unless its client cancelled.
class RequestClosing {
public:
    explicit RequestClosing(ControllerContext& context) : context_(context) {}

    /// Sends the final answer to a request that will not be completed. A request that never ran is rejected,
    /// so that its client may try another server; one that has started fails, and its run is cancelled if the
    /// executor supports that.
    /// @param retryAfter time until the cause is over, if known; 0: derived from the load.
    void rejectOrFail(RequestState& request, Duration retryAfter = Duration::zero());

    /// Handles a cancellation by the client, which gets no answer.
    void cancel(RequestId id);

    /// Rejects or fails all requests that must be answered before the next control tick.
    void answerOverdueRequests();

    /// Removes a request from all state except the retained keys, which expire by themselves.
    void remove(RequestState& request);

    /// Allows the next half-open probe if the request's call was one.
    void endProbe(RequestState& request);

private:
    void reject(RequestState& request, Duration retryAfter);
    /// Closes the answer of a started request and cancels its run; the run result is still to come.
    void abandonRun(RequestState& request);

    ControllerContext& context_;
};

}  // namespace cottonwing::overload
