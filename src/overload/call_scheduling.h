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
    /// Handles a run that may still wait for its last call, which has ended. If its class allows that, the
    /// call is repeated: the dependency carries it out only while the run waits for it.
    void resolvePossibleWait(RequestId id);
    void completeCall(const Completion& completion);
    /// Removes from the queue the runs that cannot complete in time.
    void shedWaitingCalls();
    /// Sends calls, earliest deadline first, as far as the circuit breaker and the quota allow.
    void startWaitingCalls();

private:
    void retryOrSkipCall(RequestState& request, Outcome outcome);
    /// Ends the repetition of a call, if it is in flight, without learning from it.
    /// @param mayStillRun whether the dependency may still be working on it.
    void endRepeatedCall(RequestState& request, bool mayStillRun);
    /// The run does not wait any more for the call for which it possibly waited.
    void continueRun(RequestState& request);
    /// Nothing can tell whether the run waits: if it shows no progress in time, its request fails.
    void limitPossibleWait(RequestState& request);
    /// Continues a run without its call if its class allows a degraded response, and fails the request
    /// otherwise. A run whose call was only repeated possibly waits for it.
    void skipCall(RequestState& request);
    void startCallIfPossible(RequestState& request);
    void startCall(RequestState& request);

    ControllerContext& context_;
    RequestClosing& closing_;
};

}  // namespace cottonwing::overload
