#include "config/parse.h"

#include <charconv>

namespace cottonwing::config {

namespace {

constexpr int kMaxPort = 65535;
constexpr int kHexBase = 16;

}  // namespace

std::optional<net::Address> parseAddress(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    net::Address address{text.substr(0, colon), 0};
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, address.port);
    if (error != std::errc() || end != last) return std::nullopt;
    if (address.port < 0 || address.port > kMaxPort) return std::nullopt;
    sockaddr_in parsed{};
    if (uv_ip4_addr(address.host.c_str(), address.port, &parsed) != 0) return std::nullopt;
    return address;
}

std::optional<std::uint64_t> parseSeed(const std::string& text) {
    std::uint64_t seed = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, seed, kHexBase);
    if (error != std::errc() || end != last) return std::nullopt;
    return seed;
}

}  // namespace cottonwing::config
