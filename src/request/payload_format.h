/// @file
/// The format in which a request body is passed to the executor.
#pragma once

namespace cottonwing::request {

/// How the executor is to interpret the body of a request.
enum class PayloadFormat {
    Plain,  ///< The body is application data.
    Scgi    ///< The body is a complete SCGI request, and the result is a complete response.
};

}  // namespace cottonwing::request
