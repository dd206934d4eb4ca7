/// @file
/// The overload controller of one server: decides which requests are admitted, run, shed and retried.
#pragma once

#include <memory>

#include "overload/decision_sink.h"
#include "overload/types.h"

namespace cottonwing {

/// Decides for one server from what that server observes itself; nothing is shared between servers. Not
/// thread-safe.
class OverloadController {
public:
    virtual ~OverloadController() = default;

    /// Processes one batch of events.
    /// @param batch all events since the previous call; batch.now never goes back.
    /// @param sink receives the decisions before the call returns.
    virtual void decide(const EventBatch& batch, DecisionSink& sink) = 0;
};

/// @return a controller that expects its first batch; the configuration is copied.
std::unique_ptr<OverloadController> makeOverloadController(const ControllerConfig& config);

}  // namespace cottonwing
