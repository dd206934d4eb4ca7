/// @file
/// Parsers of the texts that stand in the configuration. Pure: no name is resolved.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/connection.h"

namespace cottonwing::config {

/// Reads `HOST:PORT` with an IPv4 host in numbers and a port from 0 to 65535; nothing when it is another
/// text.
std::optional<net::Address> parseAddress(const std::string& text);

/// Reads a 64-bit number in hex digits; nothing when it is another text or too large.
std::optional<std::uint64_t> parseSeed(const std::string& text);

}  // namespace cottonwing::config
