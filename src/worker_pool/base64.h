/// @file
/// Base64 (RFC 4648, section 4), the encoding of binary data in the worker pool protocol.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cottonwing::worker_pool {

/// @return the encoded bytes, padded to a multiple of four characters.
std::string encodeBase64(std::string_view bytes);

/// @param text padded base64.
/// @return the decoded bytes; nullopt if the text is not base64.
std::optional<std::string> decodeBase64(std::string_view text);

}  // namespace cottonwing::worker_pool
