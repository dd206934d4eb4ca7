#include "request/request_id.h"

#include <charconv>

namespace cottonwing::request {

namespace {

constexpr std::size_t kIdDigits = 16;
constexpr int kIdBase = 16;

}  // namespace

std::optional<RequestId> parseRequestId(std::string_view text) {
    RequestId id = 0;
    const char* const textEnd = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), textEnd, id, kIdBase);
    if (text.size() != kIdDigits || error != std::errc() || parsedEnd != textEnd) return std::nullopt;
    return id;
}

}  // namespace cottonwing::request
