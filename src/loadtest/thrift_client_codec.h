// The sidecars' side of the Thrift front: requests, forgets and health checks
// written, answers read. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "thrift/binary_protocol.h"

namespace cottonwing::loadtest {

struct ClientResponse {
    enum class Kind { Answer, Busy, Failed, Exception, Goaway } kind = Kind::Exception;
    std::int32_t sequence = 0;
    bool isHealthCheck = false;  // an answer to isWell
    bool good = false;
    std::string body;
    thrift::Fields fields;
};

// Whole frames.
std::string writeServeCall(std::int32_t sequence, const thrift::Fields& fields, std::string_view body);
std::string writeCancel(std::int32_t sequence, std::int32_t cancelledSequence);
std::string writeHealthCheck(std::int32_t sequence, bool deep);

// The content of one frame; nothing when it is none that a server of ours may
// send.
std::optional<ClientResponse> readClientResponse(std::string_view frame);

}  // namespace cottonwing::loadtest
