/// @file
/// Requests for tests of the overload controller.
#pragma once

#include "overload/types.h"

namespace cottonwing::testing {

/// A first attempt that arrives now.
/// @param timeLeft until its deadline.
inline Request makeRequest(RequestId id, int requestClass, Timestamp now, Duration timeLeft) {
    Request request;
    request.id = id;
    request.requestClass = requestClass;
    request.deadline = now + timeLeft;
    request.memoryKb = 20;
    return request;
}

}  // namespace cottonwing::testing
