#include "intake/thrift.h"

namespace cottonwing::intake {

namespace {

enum Type : std::uint8_t {
    kStop = 0,
    kBool = 2,
    kByte = 3,
    kDouble = 4,
    kI16 = 6,
    kI32 = 8,
    kI64 = 10,
    kString = 11,
    kStruct = 12,
    kMap = 13,
    kSet = 14,
    kList = 15
};
enum Kind : std::uint8_t { kCall = 1, kReply = 2, kException = 3, kOneway = 4 };
constexpr std::uint32_t kVersion = 0x80010000U;
constexpr int kDeepest = 16;

// Reads on until something is wrong, then reads zeros.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    bool good() const { return good_; }
    bool atEnd() const { return rest_.empty(); }
    void fail() { good_ = false, rest_ = {}; }

    std::string_view bytes(std::size_t count) {
        if (count > rest_.size()) {
            fail();
            return {};
        }
        const std::string_view result = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return result;
    }
    std::uint64_t number(std::size_t width) {
        std::uint64_t value = 0;
        for (const char byte : bytes(width)) value = value << 8 | static_cast<std::uint8_t>(byte);
        return value;
    }
    std::uint8_t byte() { return static_cast<std::uint8_t>(number(1)); }
    std::int32_t i32() { return static_cast<std::int32_t>(static_cast<std::uint32_t>(number(4))); }
    // A length that goes below zero or past the end fails like one that was cut.
    std::string_view string() { return bytes(static_cast<std::uint32_t>(number(4))); }

    void skip(std::uint8_t type, int depth = 0) {
        if (depth > kDeepest) return fail();
        switch (type) {
            case kBool:
            case kByte:
                bytes(1);
                break;
            case kI16:
                bytes(2);
                break;
            case kI32:
                bytes(4);
                break;
            case kDouble:
            case kI64:
                bytes(8);
                break;
            case kString:
                string();
                break;
            case kStruct:
                while (const std::uint8_t field = byte()) {
                    bytes(2);
                    skip(field, depth + 1);
                }
                break;
            case kMap: {
                const std::uint8_t key = byte(), value = byte();
                // Every entry is at least a byte long, so a huge count ends at the end of the frame.
                for (std::uint32_t left = static_cast<std::uint32_t>(number(4)); good_ && left > 0; --left) {
                    skip(key, depth + 1);
                    skip(value, depth + 1);
                }
                break;
            }
            case kSet:
            case kList: {
                const std::uint8_t element = byte();
                for (std::uint32_t left = static_cast<std::uint32_t>(number(4)); good_ && left > 0; --left)
                    skip(element, depth + 1);
                break;
            }
            default:
                fail();
        }
    }

    // Calls take(id, type) for each field of a struct; what it does not take is skipped.
    template <typename Take>
    void fields(Take&& take) {
        while (const std::uint8_t type = byte()) {
            const auto id = static_cast<std::int16_t>(number(2));
            if (!good_) return;
            if (!take(id, type)) skip(type, 1);
        }
    }

    std::optional<Fields> map() {
        const std::uint8_t key = byte(), value = byte();
        const auto count = static_cast<std::uint32_t>(number(4));
        const bool ours = key == kString && value == kString;
        Fields result;
        for (std::uint32_t i = 0; good_ && i < count; ++i) {
            if (!ours) {
                skip(key, 2);
                skip(value, 2);
                continue;
            }
            const std::string_view name = string(), text = string();
            if (good_) result.insert_or_assign(std::string(name), std::string(text));
        }
        if (!good_ || (!ours && count > 0)) return std::nullopt;
        return result;
    }

private:
    std::string_view rest_;
    bool good_ = true;
};

class Writer {
public:
    Writer(Kind kind, std::string_view name, std::int32_t sequence) {
        number(0, 4);  // the frame's length, known at the end
        number(kVersion | kind, 4);
        string(name);
        number(static_cast<std::uint32_t>(sequence), 4);
    }
    void number(std::uint64_t value, int width) {
        for (int shift = 8 * (width - 1); shift >= 0; shift -= 8)
            bytes_.push_back(static_cast<char>(value >> shift & 0xff));
    }
    void string(std::string_view text) {
        number(text.size(), 4);
        bytes_.append(text);
    }
    void field(Type type, std::uint16_t id) {
        number(type, 1);
        number(id, 2);
    }
    void map(const Fields& fields) {
        number(kString, 1);
        number(kString, 1);
        number(fields.size(), 4);
        for (const auto& [name, text] : fields) {
            string(name);
            string(text);
        }
    }
    void stop() { number(kStop, 1); }
    std::string take() {
        const std::size_t length = bytes_.size() - 4;
        for (std::size_t i = 0; i < 4; ++i) bytes_[i] = static_cast<char>(length >> (24 - 8 * i) & 0xff);
        return std::move(bytes_);
    }

private:
    std::string bytes_;
};

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

}  // namespace cottonwing::intake
