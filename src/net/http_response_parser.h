/// @file
/// An incremental parser of HTTP/1.1 responses.
#pragma once

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

namespace cottonwing::net {

/// Parses the successive responses on one connection. Skips up to 8 interim responses (1xx) before each
/// response. The headers and the body are limited to 64 kB each.
class HttpResponseParser {
public:
    /// A complete response.
    struct Response {
        int status = 0;
        bool keepAlive = true;  ///< whether the connection may be used for another request
        std::string body;
        std::string headers;  ///< "\nname:value" for each header, then "\n"; names in lower case

        /// Whether there is a header with exactly this value.
        /// @param header the name in lower case.
        bool hasHeader(std::string_view header, std::string_view value) const;
    };

    /// @param onResponse called with each complete response from within parse(), which returns right after
    /// it;
    ///        it may destroy the parser.
    explicit HttpResponseParser(std::function<void(Response&&)> onResponse);
    HttpResponseParser(const HttpResponseParser&) = delete;
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    /// Parses the next bytes of the connection.
    /// @return false if the response is malformed, too long or of unspecified length; the connection can then
    ///         no longer be used. Bytes that follow a complete response belong to no request: the response is
    ///         delivered with keepAlive false, and the bytes are dropped.
    bool parse(std::string_view bytes);

private:
    static HttpResponseParser& of(http_parser* parser) {
        return *static_cast<HttpResponseParser*>(parser->data);
    }

    void beginResponse();
    int addHeaderName(std::string_view part);
    int addHeaderValue(std::string_view part);
    int endHeaders();
    void endResponse();
    bool isInterim() const { return response_.status / 100 == 1; }

    http_parser parser_;
    http_parser_settings callbacks_;
    std::function<void(Response&&)> onResponse_;
    Response response_;           // that is being parsed
    bool inHeaderValue_ = false;  // the last header element that was parsed is a value
    int interimResponses_ = 0;    // skipped before the current response
};

}  // namespace cottonwing::net
