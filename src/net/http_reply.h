/// @file
/// The earlier name of HttpResponseParser.
#pragma once

#include "net/http_response_parser.h"

namespace cottonwing::net {

using HttpReplies = HttpResponseParser;

}  // namespace cottonwing::net
