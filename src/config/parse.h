/// @file
/// Parsers for string values of the configuration. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cottonwing::config {

/// Parses a 64-bit number in hexadecimal; nullopt if the text has another form or the number is too large.
std::optional<std::uint64_t> parseSeed(const std::string& text);

}  // namespace cottonwing::config
