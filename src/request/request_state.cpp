#include "request/request_state.h"

namespace cottonwing::request {

bool RequestState::isRunInProgress() const {
    return run == RunState::Running || run == RunState::StartUnconfirmed;
}

RunSpec RequestState::runSpec() const {
    return {externalId, requestClass, body, format, routingKey, deadline};
}

}  // namespace cottonwing::request
