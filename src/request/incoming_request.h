/// @file
/// A request as a protocol server passes it to the RequestManager.
#pragma once

#include <cstdint>
#include <string>

#include "overload/types.h"
#include "request/payload_format.h"
#include "request/response_sink.h"

namespace cottonwing::request {

/// A parsed request with the bytes that belong to it.
struct IncomingRequest {
    Request request;         ///< What the overload controller decides on.
    std::string externalId;  ///< The request's id in the form in which the client sent it.
    std::string body;
    /// The same in all attempts of a request; empty unless its class is Idempotency::WithKey.
    std::string idempotencyKey;
    PayloadFormat format = PayloadFormat::Plain;
    std::uint64_t routingKey = 0;  ///< Names what the request is about, for executors that route by it.
    ResponseSink* sink = nullptr;  ///< Receives the answer; null: the first connected sink. Not owned.
};

}  // namespace cottonwing::request
