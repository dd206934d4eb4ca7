/// @file
/// The client side of the Thrift protocol: encodes requests, cancel messages and health checks, and decodes
/// the server's messages. Pure functions, no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "thrift/binary_protocol.h"

namespace cottonwing::loadtest {

/// A message from the server.
struct ClientResponse {
    enum class Kind { Answer, Busy, Failed, Exception, Goaway } kind = Kind::Exception;
    std::int32_t sequence = 0;
    bool isHealthCheck = false;  ///< The reply to a health check.
    bool good = false;           ///< Of an answer: success; of a health check: the instance is healthy.
    std::string body;
    thrift::Fields fields;
};

/// The call that runs a request. This and the following functions return one complete frame each.
std::string writeServeCall(std::int32_t sequence, const thrift::Fields& fields, std::string_view body);
/// The oneway message that the client no longer waits for a request.
std::string writeCancel(std::int32_t sequence, std::int32_t cancelledSequence);
/// A health check; a deep one makes the server run test work.
std::string writeHealthCheck(std::int32_t sequence, bool deep);

/// Decodes the content of one frame; nothing if it is malformed or not a message that the server may send.
std::optional<ClientResponse> readClientResponse(std::string_view frame);

}  // namespace cottonwing::loadtest
