/// @file
/// Base64 (RFC 4648, section 4), in which the worker pool protocol carries bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cottonwing::worker_pool {

/// @return the text for these bytes, padded to a multiple of four characters.
std::string encodeBase64(std::string_view bytes);

/// @param text padded base64.
/// @return the bytes; nothing when the text is not base64.
std::optional<std::string> decodeBase64(std::string_view text);

}  // namespace cottonwing::worker_pool
