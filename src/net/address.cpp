#include "net/address.h"

#include <uv.h>

#include <charconv>

namespace cottonwing::net {

namespace {

constexpr int kHighestPort = 65535;

}  // namespace

std::optional<Address> Address::parse(std::string_view text, int lowestPort) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;

    Address address;
    address.host = text.substr(0, colon);
    const char* const portEnd = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, portEnd, address.port);
    if (error != std::errc() || end != portEnd) return std::nullopt;
    if (address.port < lowestPort || address.port > kHighestPort) return std::nullopt;

    sockaddr_in ignored{};
    if (uv_ip4_addr(address.host.c_str(), address.port, &ignored) != 0) return std::nullopt;
    return address;
}

}  // namespace cottonwing::net
