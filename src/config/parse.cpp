#include "config/parse.h"

#include <charconv>

namespace cottonwing::config {

namespace {

constexpr int kHexBase = 16;

}  // namespace

std::optional<std::uint64_t> parseSeed(const std::string& text) {
    std::uint64_t seed = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, seed, kHexBase);
    if (error != std::errc() || end != last) return std::nullopt;
    return seed;
}

}  // namespace cottonwing::config
