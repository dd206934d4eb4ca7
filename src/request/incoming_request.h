/// @file
/// A request as a protocol server passes it to the RequestManager.
#pragma once

#include <cstdint>
#include <string>

#include "overload/types.h"
#include "request/payload_format.h"
#include "request/response_sink.h"

namespace cottonwing::request {

/// A parsed request with its body and the data needed to run and answer it.
struct IncomingRequest {
    Request request;         ///< The part that the overload controller sees.
    std::string externalId;  ///< The request's id in the form in which the client sent it.
    std::string body;
    /// The same in all attempts of a request; empty unless its class is Idempotency::WithKey.
    std::string idempotencyKey;
    PayloadFormat format = PayloadFormat::Plain;
    std::uint64_t routingKey = 0;  ///< Hash of the request's subject, for executors that route by subject.
    ResponseSink* sink = nullptr;  ///< Receives the answer; null: that of RequestManager::attach. Not owned.
};

}  // namespace cottonwing::request
