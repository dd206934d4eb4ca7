/// @file
/// Requests for tests of the overload controller.
#pragma once

#include "overload/types.h"

namespace cottonwing::testing {

/// @param timeLeft time until the deadline
/// @return a first attempt that arrives now.
inline Request makeRequest(RequestId id, int requestClass, Timestamp now, Duration timeLeft) {
    Request request;
    request.id = id;
    request.requestClass = requestClass;
    request.deadline = now + timeLeft;
    request.memoryKb = 20;
    return request;
}

}  // namespace cottonwing::testing
