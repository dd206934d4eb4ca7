/// @file
/// The encoding of Thrift's strict binary protocol over framed transport, shared by servers and clients. Pure
/// functions on bytes, no I/O. All numbers are in network byte order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cottonwing::thrift {

/// A map of strings. All structs of the service carry their fields in such a map.
using Fields = std::map<std::string, std::string, std::less<>>;

/// The type code of a value on the wire.
using TypeCode = std::uint8_t;

inline constexpr TypeCode kStop = 0;  ///< Ends a struct.
inline constexpr TypeCode kBool = 2;
inline constexpr TypeCode kByte = 3;
inline constexpr TypeCode kDouble = 4;
inline constexpr TypeCode kI16 = 6;
inline constexpr TypeCode kI32 = 8;
inline constexpr TypeCode kI64 = 10;
inline constexpr TypeCode kString = 11;
inline constexpr TypeCode kStruct = 12;
inline constexpr TypeCode kMap = 13;
inline constexpr TypeCode kSet = 14;
inline constexpr TypeCode kList = 15;

/// The type code of a message on the wire.
using MessageKind = std::uint8_t;

inline constexpr MessageKind kCall = 1;
inline constexpr MessageKind kReply = 2;
inline constexpr MessageKind kException = 3;
inline constexpr MessageKind kOneway = 4;

/// The upper 24 bits of a message's first word; the kind is in the lower 8.
inline constexpr std::uint32_t kVersion = 0x80010000U;
inline constexpr std::uint32_t kVersionMask = 0xffffff00U;
inline constexpr std::uint32_t kKindMask = 0xffU;

/// The nesting depth of a value.
struct Depth {
    int value = 0;
    Depth next() const { return {value + 1}; }
};

/// Values that are nested deeper than this are malformed, so that no message can exhaust the stack.
inline constexpr int kMaxDepth = 16;

/// The size of the length prefix of each frame in bytes.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Reads values from the content of one frame. After the first error it returns zeros and empty strings, so
/// that callers need to check good() only once, at the end. The bytes must outlive the reader and the strings
/// that it returns.
class Reader {
public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}
    bool good() const { return good_; }
    bool atEnd() const { return rest_.empty(); }
    void fail() {
        good_ = false;
        rest_ = {};
    }

    std::string_view bytes(std::size_t count) {
        if (count > rest_.size()) {
            fail();
            return {};
        }
        const std::string_view result = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return result;
    }

    /// An unsigned number of the given width in bytes, at most 8.
    std::uint64_t number(std::size_t width) {
        std::uint64_t value = 0;
        for (const char byte : bytes(width)) value = value << 8 | static_cast<std::uint8_t>(byte);
        return value;
    }
    std::uint8_t byte() { return static_cast<std::uint8_t>(number(1)); }
    std::int32_t i32() { return static_cast<std::int32_t>(length()); }

    /// A length-prefixed string. A length that is negative or exceeds the remaining bytes is an error.
    std::string_view string() { return bytes(length()); }

    /// Skips a value of the given type.
    void skip(std::uint8_t type, Depth depth = {}) {
        if (depth.value > kMaxDepth) return fail();
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
                skipStruct(depth);
                break;
            case kMap:
                skipMap(depth);
                break;
            case kSet:
            case kList:
                skipList(depth);
                break;
            default:
                fail();
        }
    }

    /// Calls take(id, type) for each field of a struct; take returns whether it has read the value. Values
    /// that it has not read are skipped.
    template <typename Take>
    void fields(Take&& take) {
        while (const std::uint8_t type = byte()) {
            const auto id = static_cast<std::int16_t>(number(2));
            if (!good_) return;
            if (!take(id, type)) skip(type, Depth{1});
        }
    }

    /// A map of strings; nothing if it is malformed or has entries of other types, which are skipped.
    std::optional<Fields> map() {
        const std::uint8_t keyType = byte();
        const std::uint8_t valueType = byte();
        const std::uint32_t count = length();
        const bool holdsTexts = keyType == kString && valueType == kString;
        Fields result;
        for (std::uint32_t i = 0; good_ && i < count; ++i) {
            if (!holdsTexts) {
                skip(keyType, Depth{2});
                skip(valueType, Depth{2});
                continue;
            }
            const std::string_view name = string();
            const std::string_view text = string();
            if (good_) result.insert_or_assign(std::string(name), std::string(text));
        }
        if (!good_ || (!holdsTexts && count > 0)) return std::nullopt;
        return result;
    }

private:
    std::uint32_t length() { return static_cast<std::uint32_t>(number(4)); }

    void skipStruct(Depth depth) {
        while (const std::uint8_t type = byte()) {
            bytes(2);
            skip(type, depth.next());
        }
    }
    // Each entry of a map or list is at least one byte long, so a loop over a huge count stops at the end of
    // the frame.
    void skipMap(Depth depth) {
        const std::uint8_t keyType = byte();
        const std::uint8_t valueType = byte();
        for (std::uint32_t left = length(); good_ && left > 0; --left) {
            skip(keyType, depth.next());
            skip(valueType, depth.next());
        }
    }
    void skipList(Depth depth) {
        const std::uint8_t elementType = byte();
        for (std::uint32_t left = length(); good_ && left > 0; --left) skip(elementType, depth.next());
    }

    std::string_view rest_;
    bool good_ = true;
};

/// Writes one message as a complete frame.
class Writer {
public:
    Writer(MessageKind kind, std::string_view method, std::int32_t sequence) {
        number(0, kFrameHeaderBytes);  // placeholder for the frame length, set by take()
        number(kVersion | kind, 4);
        string(method);
        number(static_cast<std::uint32_t>(sequence), 4);
    }
    /// Writes the low-order width bytes of a number.
    // NOLINTNEXTLINE(bugprone-easily-swappable-parameters): callers always pass the width as a literal.
    void number(std::uint64_t value, int width) {
        for (int shift = 8 * (width - 1); shift >= 0; shift -= 8)
            bytes_.push_back(static_cast<char>(value >> shift & 0xff));
    }
    void string(std::string_view text) {
        number(text.size(), 4);
        bytes_.append(text);
    }
    /// Writes the header of a struct field; the value has to follow.
    void field(TypeCode type, std::uint16_t id) {
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
    /// Ends a struct.
    void stop() { number(kStop, 1); }

    /// Returns the complete frame with its length prefix. The writer must not be used afterwards.
    std::string take() {
        const std::size_t length = bytes_.size() - kFrameHeaderBytes;
        for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
            bytes_[i] = static_cast<char>(length >> (24 - 8 * i) & 0xff);
        return std::move(bytes_);
    }

private:
    std::string bytes_;
};

}  // namespace cottonwing::thrift
