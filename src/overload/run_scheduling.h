/// @file
/// Steps for the admission queue and the runs: shedding, start, completion.
#pragma once

#include "overload/admission_queue.h"
#include "overload/controller_context.h"
#include "overload/request_closing.h"

namespace cottonwing::overload {

/// Serves the admission queue and learns from the runs that end.
class RunScheduling {
public:
    RunScheduling(ControllerContext& context, RequestClosing& closing)
        : context_(context), closing_(closing) {}

    /// Sheds what cannot complete in time.
    void shedQueuedRequests();
    /// Starts queued requests, earliest deadline first, while cores and memory allow.
    void startQueuedRequests();
    void completeRun(const Completion& completion);

private:
    QueueLoad queueLoad() const;
    QueuedRequest queuedRequest(const RequestState& request) const;
    void shed(RequestState& request);
    void startRun(RequestState& request);
    /// Runs that fail by themselves, one after the other, show that this server is not healthy. Failing fast
    /// it would look quick and attract clients; rejected instead, its requests may still succeed on other
    /// servers.
    void recordRunOutcome(bool succeeded);

    ControllerContext& context_;
    RequestClosing& closing_;
};

}  // namespace cottonwing::overload
