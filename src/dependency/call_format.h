/// @file
/// The HTTP form of a dependency call: the request that carries it and the meaning of its reply. Pure. The
/// words of the protocol stand in call_format.cpp.
#pragma once

#include <string>
#include <string_view>

#include "net/http_reply.h"
#include "overload/types.h"

namespace cottonwing::dependency {

/// @param externalId of the request that makes the call.
/// @param timeout of this attempt; sent in whole milliseconds, cut, but at least 1.
/// @param body of the call.
/// @return a complete HTTP/1.1 request.
std::string formatCall(std::string_view externalId, Duration timeout, std::string_view body);

/// @return what the reply says about the call. Superseded: the dependency found that no run waits for it.
Outcome outcomeOf(const net::HttpReplies::Reply& reply);

}  // namespace cottonwing::dependency
