#include "request/request_state.h"

namespace cottonwing::request {

bool TrackedRequest::isRunInProgress() const {
    return run == RunState::Running || run == RunState::StartUnconfirmed;
}

RunSpec TrackedRequest::runSpec() const {
    return {externalId, requestClass, body, format, routingKey, deadline};
}

}  // namespace cottonwing::request
