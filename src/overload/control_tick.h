/// @file
/// The control tick: updates the estimates and the advice to clients.
#pragma once

#include "overload/controller_context.h"
#include "overload/idle_connections.h"
#include "overload/load_advertiser.h"

namespace cottonwing::overload {

/// The periodic part of the controller, which needs no other timer.
class ControlTick {
public:
    explicit ControlTick(ControllerContext& context);

    /// Records the time of the first batch; the first tick runs in that batch.
    void begin() { lastTick_ = context_.now; }
    void observeGauges(const Gauges& gauges);
    /// Updates estimates and advice if the tick is due, and schedules the next one.
    void runWhenDue();

private:
    void updateSlowdown();
    void collectUpcomingCalls();
    void adviseClients();

    ControllerContext& context_;
    Timestamp nextTick_{0};
    Timestamp lastTick_{0};
    Timestamp nextAdvice_{0};
    LoadAdvertiser loadAdvertiser_;
    IdleConnections idleConnections_;
};

}  // namespace cottonwing::overload
