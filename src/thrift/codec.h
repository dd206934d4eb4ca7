// Thrift's strict binary protocol in frames, as far as sidecars speak it. Pure: bytes in, values out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/ring.h"
#include "thrift/binary_protocol.h"

namespace cottonwing::thrift {

using thrift::Fields;

inline constexpr std::size_t kLongestFrame = 16384;

enum class Method { Serve, Forget, IsWell, Unknown };

// One message of a sidecar; what was absent or of another type is left empty.
struct Message {
    Method method = Method::Unknown;
    std::string name;
    bool oneway = false;
    std::int32_t sequence = 0;
    std::optional<Fields> fields;           // serve
    std::optional<std::string> body;        // serve
    std::optional<std::int32_t> forgotten;  // forget
    bool thorough = false;                  // isWell
};

enum class FrameState { Partial, Whole, TooLong };
// Whether a whole frame stands at the front of the ring; length is that of its content.
FrameState lookForFrame(const net::Ring& ring, std::size_t& length);

// The content of one frame; nothing when it is malformed.
std::optional<Message> readMessage(std::string_view frame);

enum class Refusal : std::int32_t { UnknownMethod = 1, Internal = 6, Protocol = 7 };

// Whole frames.
std::string writeAnswer(std::string_view method, std::int32_t sequence, std::string_view body,
                        const Fields& fields, bool good);
std::string writeBusy(std::int32_t sequence, const Fields& fields);
std::string writeFailed(std::int32_t sequence, const Fields& fields);
std::string writeRefusal(std::string_view method, std::int32_t sequence, Refusal kind, std::string_view text);
std::string writeGoaway();

}  // namespace cottonwing::thrift
