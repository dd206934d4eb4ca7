/// @file
/// Decodes a message of the `serve` method into a request. Pure: no socket, and the time is an argument.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "config/controller_config.h"
#include "overload/types.h"
#include "request/incoming_request.h"
#include "thrift/codec.h"

namespace cottonwing::thrift {

/// Why a message is no request that can run.
enum class RequestError {
    MissingFieldsOrBody,  ///< It lacks its fields or its body.
    BodyTooLong,
    UnknownRequestClass,
    UnknownTenant,
    MalformedRequestId,
    MalformedArrivalTime,
    ArrivalTimeOutOfRange,  ///< In the future, or due in the past, by more than clocks differ.
    MalformedTimeout,
    MalformedMemory,
    MalformedExpectedWork,
    MalformedRank,
    MalformedClientNumber,
    MalformedRetryMark,
    MalformedIdempotencyKey,
    RequestInProgress  ///< Another request with the same id is in progress.
};

/// The text that the client gets with the application exception.
std::string textOf(RequestError error);

/// Decodes requests by one configuration.
class RequestDecoder {
public:
    /// @param names            of request classes and tenants, as indices into the configuration
    /// @param requestClasses   the classes by index
    /// @param timeoutRequired  each request has to say how long its client waits; else a request may leave it
    ///                         out, and the timeout of its class holds
    RequestDecoder(config::NameTables names, std::vector<RequestClass> requestClasses, bool timeoutRequired);

    /// Decodes one message. Fields that are unknown are ignored; the first field that is wrong is the error.
    /// @param now  the present time, for how long the request waited to be read
    std::variant<request::IncomingRequest, RequestError> decode(const Message& message, Timestamp now) const;

private:
    const config::NameTables names_;
    const std::vector<RequestClass> requestClasses_;
    const bool timeoutRequired_;
};

}  // namespace cottonwing::thrift
