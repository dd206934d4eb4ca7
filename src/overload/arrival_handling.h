/// @file
/// Steps for an arriving request: it joins an earlier attempt, is queued, or is rejected.
#pragma once

#include "overload/controller_context.h"
#include "overload/latency_objective.h"
#include "overload/request_closing.h"

namespace cottonwing::overload {

/// Adds arriving requests to the request table and decides on their admission.
class ArrivalHandling {
public:
    ArrivalHandling(ControllerContext& context, RequestClosing& closing);

    void accept(const Request& arrival);

private:
    /// Records the arrival in all statistics and adds it to the request table.
    RequestState& track(const Request& arrival);
    void joinDuplicate(RequestState& request);
    void admit(RequestState& request);
    void retainKey(RequestState& request);
    /// @return whether the circuit breaker of the server's own runs rejects the arrival: while open it
    /// rejects all, while half-open all but one request at a time, which is the probe.
    bool runsBreakerRejects() const;

    ControllerContext& context_;
    RequestClosing& closing_;
    LatencyObjective latencyObjective_;
};

}  // namespace cottonwing::overload
