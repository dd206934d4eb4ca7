/// @file
/// The HTTP form of a dependency call: its request and the meaning of its reply. Pure functions. The names
/// used on the wire are defined in call_format.cpp.
#pragma once

#include <string>
#include <string_view>

#include "net/http_response_parser.h"
#include "overload/types.h"

namespace cottonwing::dependency {

/// @param externalId of the request that makes the call.
/// @param timeout of this attempt; sent in milliseconds, rounded down, but at least 1.
/// @param body of the call.
/// @return a complete HTTP/1.1 request.
std::string formatCall(std::string_view externalId, Duration timeout, std::string_view body);

/// @return the outcome of the call. Superseded: the dependency reported that no run waits for the call.
Outcome outcomeOf(const net::HttpResponseParser::Response& reply);

}  // namespace cottonwing::dependency
