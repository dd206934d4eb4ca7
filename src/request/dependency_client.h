/// @file
/// The interface to the service that runs depend on.
#pragma once

#include <string>
#include <string_view>

#include "overload/types.h"

namespace cottonwing::request {

/// Makes dependency calls, at most one at a time per request. The outcome of a call is reported through
/// RequestManager::dependencyCallCompleted, possibly from within startCall.
class DependencyClient {
public:
    virtual ~DependencyClient() = default;

    /// Starts a call; a call of the same request that is still in progress is abandoned first.
    /// @param id of the request.
    /// @param externalId of the request, as the client sent it.
    /// @param timeout of this attempt.
    /// @param body valid during the call only.
    virtual void startCall(RequestId id, const std::string& externalId, Duration timeout,
                           std::string_view body) = 0;

    /// Abandons the request's call, whose outcome is then not reported. No effect if none is in progress.
    /// @param id of the request.
    virtual void abandonCall(RequestId id) = 0;
};

}  // namespace cottonwing::request
