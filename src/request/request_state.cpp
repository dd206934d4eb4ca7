#include "request/request_state.h"

namespace cottonwing::request {

bool TrackedRequest::isRunInProgress() const { return run != RunState::NotStarted && run != RunState::Ended; }

RunSpec TrackedRequest::runSpec() const {
    return {externalId, requestClass, body, format, routingKey, deadline};
}

}  // namespace cottonwing::request
