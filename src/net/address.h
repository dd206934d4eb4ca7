/// @file
/// An IPv4 address with a port, and its parser.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cottonwing::net {

/// An IPv4 address in dotted notation and a TCP port. Port 0 lets the system choose when listening.
struct Address {
    std::string host;
    int port = 0;

    bool operator==(const Address&) const = default;

    /// Parses "host:port", for example "127.0.0.1:8080".
    /// @param lowestPort the smallest valid port; 1 for an address to connect to.
    /// @return nothing if the host is not a dotted IPv4 address or the port is not in lowestPort..65535.
    static std::optional<Address> parse(std::string_view text, int lowestPort = 0);
};

}  // namespace cottonwing::net
