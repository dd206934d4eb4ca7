#include "worker_pool/base64.h"

#include <array>
#include <cstdint>

namespace cottonwing::worker_pool {

namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kDigitsPerGroup = 4;
constexpr std::size_t kBitsPerDigit = 6;
constexpr int kBitsPerByte = 8;
constexpr std::uint32_t kDigitMask = 0x3f;
constexpr std::uint32_t kByteMask = 0xff;
constexpr char kPadding = '=';
constexpr int kMaxPadding = 2;
constexpr int kNoDigit = -1;

using DigitValues = std::array<int, 256>;

// The value of each character as a digit; kNoDigit for all others.
const DigitValues& digitValues() {
    static const DigitValues kValues = [] {
        DigitValues values;
        values.fill(kNoDigit);
        for (std::size_t i = 0; i < kDigits.size(); ++i)
            values[static_cast<std::uint8_t>(kDigits[i])] = static_cast<int>(i);
        return values;
    }();
    return kValues;
}

}  // namespace

std::string encodeBase64(std::string_view bytes) {
    std::string text;
    text.reserve((bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup * kDigitsPerGroup);
    for (std::size_t start = 0; start < bytes.size(); start += kBytesPerGroup) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < kBytesPerGroup; ++i) {
            const bool present = start + i < bytes.size();
            const std::uint32_t byte = present ? static_cast<std::uint8_t>(bytes[start + i]) : 0U;
            group = group << kBitsPerByte | byte;
        }
        for (std::size_t i = 0; i < kDigitsPerGroup; ++i) {
            const std::size_t shift = (kDigitsPerGroup - 1 - i) * kBitsPerDigit;
            const bool present = start + i <= bytes.size();
            text.push_back(present ? kDigits[group >> shift & kDigitMask] : kPadding);
        }
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text) {
    if (text.size() % kDigitsPerGroup != 0) return std::nullopt;
    for (int i = 0; i < kMaxPadding && !text.empty() && text.back() == kPadding; ++i) text.remove_suffix(1);
    std::string bytes;
    bytes.reserve(text.size() * kBytesPerGroup / kDigitsPerGroup);
    std::uint32_t group = 0;
    int bits = 0;
    for (const char digit : text) {
        const int value = digitValues()[static_cast<std::uint8_t>(digit)];
        if (value == kNoDigit) return std::nullopt;
        group = group << kBitsPerDigit | static_cast<std::uint32_t>(value);
        bits += static_cast<int>(kBitsPerDigit);
        if (bits < kBitsPerByte) continue;
        bits -= kBitsPerByte;
        bytes.push_back(static_cast<char>(group >> bits & kByteMask));
    }
    return bytes;
}

}  // namespace cottonwing::worker_pool
