/// @file
/// The overload controller of one server: decides which requests are admitted, run, shed and retried.
#pragma once

#include <memory>

#include "overload/decision_sink.h"
#include "overload/types.h"

namespace cottonwing {

/// Makes the decisions of one server, only from what that server itself observes: controllers share no state.
/// Not thread-safe.
class OverloadController {
public:
    virtual ~OverloadController() = default;

    /// Processes one batch of events.
    /// @param batch all events since the previous call; batch.now never decreases.
    /// @param sink receives the decisions before the call returns.
    virtual void decide(const EventBatch& batch, DecisionSink& sink) = 0;
};

/// @return a controller that has not processed any batch yet; it keeps a copy of the configuration.
std::unique_ptr<OverloadController> makeOverloadController(const ControllerConfig& config);

}  // namespace cottonwing
