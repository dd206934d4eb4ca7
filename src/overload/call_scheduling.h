/// @file
/// Steps for the dependency calls: queue, start, completion, retry.
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
    /// Takes runs out of the queue that cannot complete in time.
    void shedWaitingCalls();
    /// Sends calls, earliest deadline first, while circuit breaker and quota allow.
    void startWaitingCalls();

private:
    void retryOrSkipCall(RequestState& request, Outcome outcome);
    /// Lets a run go on without its call where its class allows that, and gives it up otherwise.
    void skipCall(RequestState& request);
    void startCallIfPossible(RequestState& request);
    void startCall(RequestState& request);

    ControllerContext& context_;
    RequestClosing& closing_;
};

}  // namespace cottonwing::overload
