#include "net/http_response_parser.h"

#include <algorithm>
#include <cctype>
#include <climits>
#include <utility>

namespace cottonwing::net {

namespace {

constexpr std::size_t kMaxBytes = 65536;  // of the headers together, and of the body
constexpr int kMaxInterimResponses = 8;

// Return values of http_parser callbacks: 0 continues, -1 makes http_parser_execute() fail.
constexpr int kContinue = 0;
constexpr int kFail = -1;

int append(std::string& text, std::string_view part) {
    if (text.size() + part.size() > kMaxBytes) return kFail;
    text.append(part);
    return kContinue;
}

}  // namespace

bool HttpResponseParser::Response::hasHeader(std::string_view header, std::string_view value) const {
    std::string line = "\n";
    line.append(header).append(":").append(value).append("\n");
    return headers.find(line) != std::string::npos;
}

HttpResponseParser::HttpResponseParser(std::function<void(Response&&)> onResponse)
    : onResponse_(std::move(onResponse)) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&callbacks_);
    callbacks_.on_message_begin = [](http_parser* parser) {
        of(parser).beginResponse();
        return kContinue;
    };
    callbacks_.on_header_field = [](http_parser* parser, const char* at, std::size_t count) {
        return of(parser).addHeaderName({at, count});
    };
    callbacks_.on_header_value = [](http_parser* parser, const char* at, std::size_t count) {
        return of(parser).addHeaderValue({at, count});
    };
    callbacks_.on_headers_complete = [](http_parser* parser) { return of(parser).endHeaders(); };
    callbacks_.on_body = [](http_parser* parser, const char* at, std::size_t count) {
        return append(of(parser).response_.body, {at, count});
    };
    callbacks_.on_message_complete = [](http_parser* parser) {
        of(parser).endResponse();
        return kContinue;
    };
}

void HttpResponseParser::beginResponse() {
    response_ = Response{};
    response_.headers = "\n";
    inHeaderValue_ = false;
}

// A header name or value may arrive in several parts.
int HttpResponseParser::addHeaderName(std::string_view part) {
    std::string& headers = response_.headers;
    if (inHeaderValue_) headers += '\n';
    inHeaderValue_ = false;
    const auto begin = static_cast<std::ptrdiff_t>(headers.size());
    const int result = append(headers, part);
    std::transform(headers.begin() + begin, headers.end(), headers.begin() + begin,
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

int HttpResponseParser::addHeaderValue(std::string_view part) {
    if (!inHeaderValue_) response_.headers += ':';
    inHeaderValue_ = true;
    return append(response_.headers, part);
}

// A body that is too long according to Content-Length is rejected before it is read. A body that is delimited
// by the end of the connection is rejected, because it can't be told from a truncated one.
int HttpResponseParser::endHeaders() {
    response_.headers += '\n';
    const bool hasLength = parser_.content_length != ULLONG_MAX;
    if (hasLength && parser_.content_length > kMaxBytes) return kFail;
    const bool hasNoBody = parser_.status_code / 100 == 1 || parser_.status_code == 204;
    const bool isChunked = (parser_.flags & F_CHUNKED) != 0;
    return hasLength || hasNoBody || isChunked ? kContinue : kFail;
}

void HttpResponseParser::endResponse() {
    response_.status = static_cast<int>(parser_.status_code);
    response_.keepAlive = http_should_keep_alive(&parser_) != 0;
    // Makes http_parser_execute() return immediately, because onResponse may destroy the parser.
    http_parser_pause(&parser_, 1);
}

bool HttpResponseParser::parse(std::string_view bytes) {
    while (!bytes.empty()) {
        const std::size_t taken = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
        const http_errno error = HTTP_PARSER_ERRNO(&parser_);
        const bool upgrade = parser_.upgrade != 0;
        if (error == HPE_OK && !upgrade) return true;  // the response is not complete yet
        if (error != HPE_PAUSED || upgrade) return false;

        bytes.remove_prefix(taken);
        // Reset, because the state of the previous response (such as Connection: close) must not carry over.
        http_parser_init(&parser_, HTTP_RESPONSE);
        if (isInterim()) {
            if (++interimResponses_ > kMaxInterimResponses) return false;
            continue;
        }
        interimResponses_ = 0;
        if (!bytes.empty()) response_.keepAlive = false;
        const auto onResponse = onResponse_;
        onResponse(std::move(response_));
        return true;
    }
    return true;
}

}  // namespace cottonwing::net
