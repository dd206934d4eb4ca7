/// @file
/// The textual form of request ids, which all protocols of this server share.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "overload/types.h"

namespace cottonwing::request {

/// Parses a request id in its wire form.
/// @param text exactly 16 hexadecimal digits.
/// @return the id; nullopt if the text has another form.
std::optional<RequestId> parseRequestId(std::string_view text);

/// @return the id in its wire form, which parseRequestId accepts.
std::string formatRequestId(RequestId id);

}  // namespace cottonwing::request
