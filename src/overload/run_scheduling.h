/// @file
/// Steps for the admission queue and the runs: shedding, start, completion.
#pragma once

#include "overload/admission_queue.h"
#include "overload/controller_context.h"
#include "overload/request_closing.h"

namespace cottonwing::overload {

/// Serves the admission queue and learns from completed runs.
class RunScheduling {
public:
    RunScheduling(ControllerContext& context, RequestClosing& closing)
        : context_(context), closing_(closing) {}

    /// Sheds the queued requests that cannot complete in time.
    void shedQueuedRequests();
    /// Starts queued requests, earliest deadline first, as far as cores and memory allow.
    void startQueuedRequests();
    void completeRun(const Completion& completion);

private:
    QueueLoad queueLoad() const;
    QueuedRequest queuedRequest(const RequestState& request) const;
    void shed(RequestState& request);
    void startRun(RequestState& request);
    /// Updates service times and the circuit breaker of the runs from a run that was on the cores when it
    /// ended.
    void learnFromRun(const RequestState& request, const Completion& completion);
    /// Counts a successful response for the fairness between classes.
    void recordValue(const RequestState& request);
    /// Consecutive failures of the server's own runs show that this server is unhealthy. A server that fails
    /// fast appears fast to its clients and attracts more requests; if it rejects them instead, they may
    /// still succeed on other servers.
    void recordRunOutcome(bool succeeded);

    ControllerContext& context_;
    RequestClosing& closing_;
};

}  // namespace cottonwing::overload
