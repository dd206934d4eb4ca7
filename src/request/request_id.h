/// @file
/// The textual form of request ids, which all protocols of this server share.
#pragma once

#include <optional>
#include <string_view>

#include "overload/types.h"

namespace cottonwing::request {

/// Parses a request id as it stands on the wire.
/// @param text exactly 16 hexadecimal digits.
/// @return the id; nothing when the text has another form.
std::optional<RequestId> parseRequestId(std::string_view text);

}  // namespace cottonwing::request
