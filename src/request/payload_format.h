/// @file
/// The format of the bytes that a request carries to the executor.
#pragma once

namespace cottonwing::request {

/// How the executor is to interpret the body of a request.
enum class PayloadFormat {
    Plain,  ///< The body consists of the request's own bytes.
    Scgi    ///< The body is a complete SCGI request, and the result is a complete response.
};

}  // namespace cottonwing::request
