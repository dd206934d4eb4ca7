/// @file
/// Encodes and decodes the messages of the Thrift service. Pure functions, no I/O. The fields of a request
/// are interpreted by request_decoder.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/byte_ring.h"
#include "thrift/binary_protocol.h"

namespace cottonwing::thrift {

/// The largest content of a frame in bytes. A longer frame is rejected by its length prefix, before it is
/// stored.
inline constexpr std::size_t kMaxFrameBytes = 16384;

/// The methods of the service; wire_names.h has their names on the wire.
enum class Method {
    Serve,        ///< Runs a request.
    Cancel,       ///< The client stopped waiting for a request.
    HealthCheck,  ///< Asks whether the instance is healthy.
    Unknown
};

/// A message from a client. Arguments that were absent or of another type are left empty.
struct Message {
    Method method = Method::Unknown;
    std::string name;  ///< The method name as received.
    bool oneway = false;
    std::int32_t sequence = 0;
    std::optional<Fields> fields;                   ///< Of a request.
    std::optional<std::string> body;                ///< Of a request.
    std::optional<std::int32_t> cancelledSequence;  ///< The request that the client stopped waiting for.
    bool deepHealthCheck = false;                   ///< The health check has to run test work.
};

/// The state of the first frame of the input.
enum class FrameState { Partial, Complete, TooLong };

/// Inspects the first frame of the ring without removing it.
/// @param length  receives the length of the frame's content in bytes once the length prefix is complete
FrameState peekFrame(const net::ByteRing& ring, std::size_t& length);

/// Decodes the content of one frame; nothing if it is malformed.
std::optional<Message> readMessage(std::string_view frame);

/// The codes of Thrift application exceptions that the server sends.
enum class ApplicationError : std::int32_t { UnknownMethod = 1, Internal = 6, Protocol = 7 };

/// The reply to a completed request or to a health check; `good` says whether the instance is healthy. This
/// and the following functions return one complete frame each.
std::string writeAnswer(std::string_view method, std::int32_t sequence, std::string_view body,
                        const Fields& fields, bool good);
/// The reply to a request that was rejected without running.
std::string writeBusy(std::int32_t sequence, const Fields& fields);
/// The reply to a request that failed.
std::string writeFailed(std::int32_t sequence, const Fields& fields);
/// The reply to a message that is invalid.
std::string writeApplicationException(std::string_view method, std::int32_t sequence, ApplicationError error,
                                      std::string_view text);
/// The message that asks the client to send no new requests on this connection.
std::string writeGoaway();

}  // namespace cottonwing::thrift
