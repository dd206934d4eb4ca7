/// @file
/// Reads the responses of an HTTP/1.1 server as their bytes arrive.
#pragma once

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

namespace cottonwing::net {

/// Parses the responses that arrive on one connection, one after the other. Interim responses (1xx) in front
/// of a response are skipped, 8 at most. Headers and body are limited to 64 kB each.
class HttpResponseParser {
public:
    /// A complete response.
    struct Response {
        int status = 0;
        bool keepAlive = true;  ///< whether the connection may be used for another request
        std::string body;
        std::string headers;  ///< "\nname:value" for each header and "\n" at the end; names in lower case

        /// Whether a header has exactly this value.
        /// @param header the name in lower case.
        bool hasHeader(std::string_view header, std::string_view value) const;
    };

    /// @param onResponse hears of each complete response from within parse(), which returns after it: it may
    ///        destroy the parser.
    explicit HttpResponseParser(std::function<void(Response&&)> onResponse);
    HttpResponseParser(const HttpResponseParser&) = delete;
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    /// Reads the next bytes of the connection.
    /// @return false when they are no response, one that is too long or one that does not say where it ends:
    ///         the connection is of no more use. Bytes behind a complete response belong to no request: the
    ///         response counts, with keepAlive false, and they are dropped.
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
    Response response_;           // that is being read
    bool inHeaderValue_ = false;  // of the header that was read last
    int interimResponses_ = 0;    // skipped in front of this response
};

}  // namespace cottonwing::net
