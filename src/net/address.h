/// @file
/// An IPv4 address with a port, and the one place that reads one from text.
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

    /// Reads "host:port", for example "127.0.0.1:8080".
    /// @param lowestPort the smallest port that is accepted; 1 where the address is one to connect to.
    /// @return nothing when the host is no dotted IPv4 address or the port is not from lowestPort to 65535.
    static std::optional<Address> parse(std::string_view text, int lowestPort = 0);
};

}  // namespace cottonwing::net
