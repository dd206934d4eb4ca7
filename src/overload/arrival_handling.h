/// @file
/// Steps for an arriving request: it joins a duplicate, is queued, or is given up.
#pragma once

#include "overload/controller_context.h"
#include "overload/latency_objective.h"
#include "overload/request_closing.h"

namespace cottonwing::overload {

/// Takes arriving requests into the request table and decides on their admission.
class ArrivalHandling {
public:
    ArrivalHandling(ControllerContext& context, RequestClosing& closing);

    void accept(const Request& arrival);

private:
    /// Books the arrival in all statistics and adds it to the request table.
    RequestState& track(const Request& arrival);
    void joinDuplicate(RequestState& request);
    void admit(RequestState& request);
    void retainKey(RequestState& request);
    /// While the server's own runs fail, requests are rejected; half-open, one at a time is the probe.
    bool runsBreakerRejects() const;

    ControllerContext& context_;
    RequestClosing& closing_;
    LatencyObjective latencyObjective_;
};

}  // namespace cottonwing::overload
