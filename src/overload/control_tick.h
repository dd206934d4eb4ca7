/// @file
/// The control tick: estimates and the advice to clients are renewed.
#pragma once

#include "overload/controller_context.h"
#include "overload/idle_connections.h"
#include "overload/load_advertiser.h"

namespace cottonwing::overload {

/// Runs at each control tick; no other clock is needed.
class ControlTick {
public:
    explicit ControlTick(ControllerContext& context);

    /// Notes the first batch; the first tick follows at once.
    void begin() { lastTick_ = context_.now; }
    void observeGauges(const Gauges& gauges);
    /// Renews estimates and advice if the tick is due, and requests the next one.
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
