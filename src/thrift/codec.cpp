#include "thrift/codec.h"

#include "thrift/wire_names.h"

namespace cottonwing::thrift {

namespace {

// Field ids of the service's structs.
constexpr std::int16_t kRequestFields = 1;
constexpr std::int16_t kRequestBody = 2;
constexpr std::int16_t kCancelledSequence = 1;
constexpr std::int16_t kDeepHealthCheck = 1;
constexpr std::uint16_t kAnswerBody = 1;
constexpr std::uint16_t kAnswerFields = 2;
constexpr std::uint16_t kAnswerGood = 3;
constexpr std::uint16_t kExceptionFields = 1;
constexpr std::uint16_t kApplicationExceptionText = 1;
constexpr std::uint16_t kApplicationExceptionCode = 2;

// The fields of a method's result struct, of which exactly one is set.
enum class ResultField : std::uint16_t { Answer = 0, Busy = 1, Failed = 2 };

Method methodNamed(std::string_view name) {
    if (name == wire::kServeMethod) return Method::Serve;
    if (name == wire::kCancelMethod) return Method::Cancel;
    if (name == wire::kHealthCheckMethod) return Method::HealthCheck;
    return Method::Unknown;
}

// Reads one argument of a method. Returns false if the method has no such argument.
bool readArgument(Reader& in, std::int16_t id, std::uint8_t type, Message& message) {
    switch (message.method) {
        case Method::Serve:
            if (id == kRequestFields && type == kMap) {
                message.fields = in.map();
                return true;
            }
            if (id == kRequestBody && type == kString) {
                message.body = in.string();
                return true;
            }
            return false;
        case Method::Cancel:
            if (id != kCancelledSequence || type != kI32) return false;
            message.cancelledSequence = in.i32();
            return true;
        case Method::HealthCheck:
            if (id != kDeepHealthCheck || type != kBool) return false;
            message.deepHealthCheck = in.byte() != 0;
            return true;
        case Method::Unknown:
            return false;
    }
    return false;
}

void beginResult(Writer& out, ResultField field) { out.field(kStruct, static_cast<std::uint16_t>(field)); }

// A reply with an exception of the service, whose only field is a map.
std::string writeException(std::int32_t sequence, ResultField resultField, const Fields& fields) {
    Writer out(kReply, wire::kServeMethod, sequence);
    beginResult(out, resultField);
    out.field(kMap, kExceptionFields);
    out.map(fields);
    out.stop();
    out.stop();
    return out.take();
}

}  // namespace

FrameState peekFrame(const net::ByteRing& ring, std::size_t& length) {
    if (ring.size() < kFrameHeaderBytes) return FrameState::Partial;
    std::string scratch;
    length = 0;
    for (const char byte : ring.peek(kFrameHeaderBytes, scratch))
        length = length << 8 | static_cast<std::uint8_t>(byte);
    if (length > kMaxFrameBytes) return FrameState::TooLong;
    return ring.size() < kFrameHeaderBytes + length ? FrameState::Partial : FrameState::Complete;
}

std::optional<Message> readMessage(std::string_view frame) {
    Reader in(frame);
    Message message;
    const std::uint64_t head = in.number(4);
    const auto kind = static_cast<std::uint8_t>(head & kKindMask);
    if ((head & kVersionMask) != kVersion || (kind != kCall && kind != kOneway)) return std::nullopt;
    message.oneway = kind == kOneway;
    message.name = in.string();
    message.sequence = in.i32();
    message.method = methodNamed(message.name);
    in.fields([&](std::int16_t id, std::uint8_t type) { return readArgument(in, id, type, message); });
    if (!in.good() || !in.atEnd()) return std::nullopt;
    return message;
}

std::string writeAnswer(std::string_view method, std::int32_t sequence, std::string_view body,
                        const Fields& fields, bool good) {
    Writer out(kReply, method, sequence);
    beginResult(out, ResultField::Answer);
    out.field(kString, kAnswerBody);
    out.string(body);
    out.field(kMap, kAnswerFields);
    out.map(fields);
    out.field(kBool, kAnswerGood);
    out.number(good ? 1 : 0, 1);
    out.stop();
    out.stop();
    return out.take();
}

std::string writeBusy(std::int32_t sequence, const Fields& fields) {
    return writeException(sequence, ResultField::Busy, fields);
}
std::string writeFailed(std::int32_t sequence, const Fields& fields) {
    return writeException(sequence, ResultField::Failed, fields);
}

std::string writeApplicationException(std::string_view method, std::int32_t sequence, ApplicationError error,
                                      std::string_view text) {
    Writer out(kException, method, sequence);
    out.field(kString, kApplicationExceptionText);
    out.string(text);
    out.field(kI32, kApplicationExceptionCode);
    out.number(static_cast<std::uint32_t>(error), 4);
    out.stop();
    return out.take();
}

std::string writeGoaway() {
    Writer out(kOneway, wire::kGoawayMethod, 0);
    out.stop();
    return out.take();
}

}  // namespace cottonwing::thrift
