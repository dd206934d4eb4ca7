/// @file
/// The messages of the Thrift service between clients and the server. Pure: bytes in, values out. What the
/// fields of a request mean is up to request_decoder.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/byte_ring.h"
#include "thrift/binary_protocol.h"

namespace cottonwing::thrift {

/// The longest content of a frame, in bytes; a longer one is refused by its length, before it is stored.
inline constexpr std::size_t kMaxFrameBytes = 16384;

/// The methods of the service, as wire_names.h names them.
enum class Method {
    Serve,        ///< A request to run.
    Cancel,       ///< The client stopped waiting for a request.
    HealthCheck,  ///< A health check.
    Unknown
};

/// One message of a client; what was absent or of another type is left empty.
struct Message {
    Method method = Method::Unknown;
    std::string name;  ///< Of the method, as it came.
    bool oneway = false;
    std::int32_t sequence = 0;
    std::optional<Fields> fields;                   ///< Of a request.
    std::optional<std::string> body;                ///< Of a request.
    std::optional<std::int32_t> cancelledSequence;  ///< The request that the client stopped waiting for.
    bool deepHealthCheck = false;                   ///< The health check wants work done for its answer.
};

/// What stands at the front of the input.
enum class FrameState { Partial, Complete, TooLong };

/// Looks whether a whole frame stands at the front of the ring.
/// @param length  receives the length of its content in bytes, once the four bytes of it are in
FrameState peekFrame(const net::ByteRing& ring, std::size_t& length);

/// Reads the content of one frame; nothing when it is malformed.
std::optional<Message> readMessage(std::string_view frame);

/// The codes of application exceptions that Thrift defines, as far as they are used here.
enum class ApplicationError : std::int32_t { UnknownMethod = 1, Internal = 6, Protocol = 7 };

/// The reply to a request that was served, or to a health check; `good` tells whether the instance is
/// healthy. This and the following write one whole frame each.
std::string writeAnswer(std::string_view method, std::int32_t sequence, std::string_view body,
                        const Fields& fields, bool good);
/// The reply to a request that was rejected and never ran.
std::string writeBusy(std::int32_t sequence, const Fields& fields);
/// The reply to a request that failed.
std::string writeFailed(std::int32_t sequence, const Fields& fields);
/// The reply to a message that could not be understood.
std::string writeApplicationException(std::string_view method, std::int32_t sequence, ApplicationError error,
                                      std::string_view text);
/// The notice that no new request should be sent on this connection.
std::string writeGoaway();

}  // namespace cottonwing::thrift
