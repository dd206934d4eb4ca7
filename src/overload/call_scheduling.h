/// @file
/// Steps for dependency calls: queueing, start, completion, retry.
#pragma once

#include "overload/controller_context.h"
#include "overload/request_closing.h"

namespace cottonwing::overload {

/// Serves the queue of runs that wait for their dependency call.
class CallScheduling {
public:
    CallScheduling(ControllerContext& context, RequestClosing& closing)
        : context_(context), closing_(closing) {}

    /// Queues a run that wants a dependency call.
    void waitForDependency(RequestId id);
    void completeCall(const Completion& completion);
    /// Removes from the queue the runs that cannot complete in time.
    void shedWaitingCalls();
    /// Sends calls, earliest deadline first, as far as the circuit breaker and the quota allow.
    void startWaitingCalls();

private:
    void retryOrSkipCall(RequestState& request, Outcome outcome);
    /// Continues a run without its call if its class allows a degraded response, and fails the request
    /// otherwise.
    void skipCall(RequestState& request);
    void startCallIfPossible(RequestState& request);
    void startCall(RequestState& request);

    ControllerContext& context_;
    RequestClosing& closing_;
};

}  // namespace cottonwing::overload
