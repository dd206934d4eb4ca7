/// @file
/// Decodes a message of the `serve` method into a request. Pure: no I/O, and the time is an argument.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "config/controller_config.h"
#include "overload/types.h"
#include "request/incoming_request.h"
#include "thrift/codec.h"

namespace cottonwing::thrift {

/// Why a message is not a valid request.
enum class RequestError {
    MissingFieldsOrBody,  ///< The fields or the body are absent.
    BodyTooLong,
    UnknownRequestClass,
    UnknownTenant,
    MalformedRequestId,
    MalformedArrivalTime,
    ArrivalTimeInFuture,  ///< By more than the tolerated clock difference.
    DeadlinePassed,       ///< By more than the tolerated clock difference.
    MalformedTimeout,
    MalformedMemory,
    MalformedExpectedWork,
    MalformedRank,
    MalformedClientNumber,
    MalformedRetryMark,
    MalformedIdempotencyKey,
    RequestInProgress  ///< Another request with the same id is in progress.
};

/// The text of the application exception that the client receives.
std::string textOf(RequestError error);

/// Decodes requests according to a configuration.
class RequestDecoder {
public:
    /// @param names            maps the names of request classes and tenants to indices
    /// @param requestClasses   the request classes by index
    /// @param timeoutRequired  whether each request must state its client's timeout; if not, a request
    /// without
    ///                         one gets the timeout of its class
    RequestDecoder(config::NameTables names, std::vector<RequestClass> requestClasses, bool timeoutRequired);

    /// Decodes one message. Unknown fields are ignored. Returns the error of the first invalid field.
    /// @param now  the current time, from which the time that the request waited to be read is derived
    std::variant<request::IncomingRequest, RequestError> decode(const Message& message, Timestamp now) const;

private:
    const config::NameTables names_;
    const std::vector<RequestClass> requestClasses_;
    const bool timeoutRequired_;
};

}  // namespace cottonwing::thrift
