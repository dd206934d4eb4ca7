/// @file
/// Parsers of the texts that stand in the configuration. Pure: no name is resolved.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cottonwing::config {

/// Reads a 64-bit number in hex digits; nothing when it is another text or too large.
std::optional<std::uint64_t> parseSeed(const std::string& text);

}  // namespace cottonwing::config
