#include "thrift/codec.h"

namespace cottonwing::thrift {

namespace {

using namespace thrift;

// A reply that holds one exception of the service: its field in the result, and the map in it.
std::string writeThrown(std::int32_t sequence, std::uint16_t field, const Fields& fields) {
    Writer out(kReply, "serve", sequence);
    out.field(kStruct, field);
    out.field(kMap, 1);
    out.map(fields);
    out.stop();
    out.stop();
    return out.take();
}

}  // namespace

FrameState lookForFrame(const net::Ring& ring, std::size_t& length) {
    if (ring.size() < 4) return FrameState::Partial;
    std::string scratch;
    length = 0;
    for (const char byte : ring.peek(4, scratch)) length = length << 8 | static_cast<std::uint8_t>(byte);
    if (length > kLongestFrame) return FrameState::TooLong;
    return ring.size() < 4 + length ? FrameState::Partial : FrameState::Whole;
}

std::optional<Message> readMessage(std::string_view frame) {
    Reader in(frame);
    Message message;
    const std::uint64_t head = in.number(4);
    const auto kind = static_cast<std::uint8_t>(head & 0xff);
    if ((head & 0xffffff00U) != kVersion || (kind != kCall && kind != kOneway)) return std::nullopt;
    message.oneway = kind == kOneway;
    message.name = in.string();
    message.sequence = in.i32();
    if (message.name == "serve") message.method = Method::Serve;
    if (message.name == "forget") message.method = Method::Forget;
    if (message.name == "isWell") message.method = Method::IsWell;
    in.fields([&](std::int16_t id, std::uint8_t type) {
        if (message.method == Method::Serve && id == 1 && type == kMap) {
            message.fields = in.map();
        } else if (message.method == Method::Serve && id == 2 && type == kString) {
            message.body = in.string();
        } else if (message.method == Method::Forget && id == 1 && type == kI32) {
            message.forgotten = in.i32();
        } else if (message.method == Method::IsWell && id == 1 && type == kBool) {
            message.thorough = in.byte() != 0;
        } else {
            return false;
        }
        return true;
    });
    if (!in.good() || !in.atEnd()) return std::nullopt;
    return message;
}

std::string writeAnswer(std::string_view method, std::int32_t sequence, std::string_view body,
                        const Fields& fields, bool good) {
    Writer out(kReply, method, sequence);
    out.field(kStruct, 0);
    out.field(kString, 1);
    out.string(body);
    out.field(kMap, 2);
    out.map(fields);
    out.field(kBool, 3);
    out.number(good ? 1 : 0, 1);
    out.stop();
    out.stop();
    return out.take();
}

std::string writeBusy(std::int32_t sequence, const Fields& fields) {
    return writeThrown(sequence, 1, fields);
}
std::string writeFailed(std::int32_t sequence, const Fields& fields) {
    return writeThrown(sequence, 2, fields);
}

std::string writeRefusal(std::string_view method, std::int32_t sequence, Refusal kind,
                         std::string_view text) {
    Writer out(kException, method, sequence);
    out.field(kString, 1);
    out.string(text);
    out.field(kI32, 2);
    out.number(static_cast<std::uint32_t>(kind), 4);
    out.stop();
    return out.take();
}

std::string writeGoaway() {
    Writer out(kOneway, "goaway", 0);
    out.stop();
    return out.take();
}

}  // namespace cottonwing::thrift
