#include "request/request_id.h"

#include <charconv>
#include <iomanip>
#include <sstream>

namespace cottonwing::request {

namespace {

constexpr int kIdDigits = 16;
constexpr int kIdBase = 16;

}  // namespace

std::optional<RequestId> parseRequestId(std::string_view text) {
    RequestId id = 0;
    const char* const textEnd = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), textEnd, id, kIdBase);
    if (text.size() != std::size_t{kIdDigits} || error != std::errc() || parsedEnd != textEnd)
        return std::nullopt;
    return id;
}

std::string formatRequestId(RequestId id) {
    std::ostringstream text;
    text << std::hex << std::setw(kIdDigits) << std::setfill('0') << id;
    return text.str();
}

}  // namespace cottonwing::request
