// Thrift's strict binary protocol in frames, its bytes alone: what both a server's and a client's side are
// made of. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cottonwing::thrift {

using Fields = std::map<std::string, std::string, std::less<>>;

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
inline constexpr std::uint32_t kVersion = 0x80010000U;
inline constexpr int kDeepest = 16;

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

}  // namespace cottonwing::thrift
