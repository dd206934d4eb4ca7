// The bytes of SCGI: requests (a netstring of headers, then the body), and replies (CGI's headers, then the
// body, up to the end of the connection). Pure; read as they come in any pieces, in bounded memory.
// Sources: the SCGI specification as published (protocol "1"), RFC 3875 for the replies.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cottonwing::scgi {

using Headers = std::vector<std::pair<std::string, std::string>>;
// Nothing where there is none of that name.
std::optional<std::string_view> findHeader(const Headers& headers, std::string_view name);

// What is wrong with a request, and how its sender is told.
enum class RequestError {
    None,
    MissingNetstring,      // 400: it does not begin with a length in digits
    HeadTooLong,           // 431
    MalformedHead,         // 400: no comma where the netstring ends, or no zero where a header does
    MissingContentLength,  // 411: CONTENT_LENGTH is not the first header
    InvalidContentLength,  // 400: CONTENT_LENGTH is no number
    BodyTooLong,           // 413
    NotScgi,               // 400: no header SCGI with the value 1
    DuplicateHeader,       // 400: a header stands there twice
    TrailingBytes,         // 400: bytes behind the body
};
int statusOf(RequestError error);
const char* nameOf(RequestError error);

struct RequestLimits {
    std::size_t maxHeadBytes = 8192, maxBodyBytes = 65536;  // bytes
};

class RequestReader {
public:
    explicit RequestReader(const RequestLimits& limits) : limits_(limits) {}
    enum class State { Head, Body, Complete, Malformed };
    // Takes what it can use of the bytes, and says how many that were. After Whole or Bad it takes none.
    std::size_t read(std::string_view bytes);
    State state() const { return state_; }
    RequestError error() const { return error_; }
    const Headers& headers() const { return headers_; }
    const std::string& body() const { return body_; }
    std::string takeBody() { return std::move(body_); }
    std::size_t contentLength() const { return contentLength_; }  // of the body, once the head is there
    std::size_t bufferedBytes() const { return head_.size() + body_.size(); }  // bytes that it keeps

private:
    void fail(RequestError error) { state_ = State::Malformed, error_ = error, head_.clear(), body_.clear(); }
    void parseHead();

    RequestLimits limits_;
    State state_ = State::Head;
    RequestError error_ = RequestError::None;
    std::string head_, body_;
    std::optional<std::size_t> headSize_;  // of the head, once its digits are there
    std::size_t digitCount_ = 0, contentLength_ = 0;
    Headers headers_;
};

// CONTENT_LENGTH and SCGI come first, whatever stands in headers; those there with these names are left out.
std::string writeRequest(const Headers& headers, std::string_view body);

struct Reply {
    int status = 200;
    Headers headers;   // names in lower case
    std::string head;  // as it came, with the empty line
    std::string body;
};

// A server's reply. What it says of its length is held against what comes.
class ReplyReader {
public:
    explicit ReplyReader(std::size_t maxBytes) : maxBytes_(maxBytes) {}
    enum class State { Partial, Complete, Malformed };
    State read(std::string_view bytes);
    // The connection has ended in order: whole, where nothing is missing. State::Malformed else.
    State connectionEnded();
    State state() const { return state_; }
    bool hasStarted() const { return !reply_.head.empty() || !reply_.body.empty(); }
    const Reply& reply() const { return reply_; }
    // All of it, as it came.
    std::string bytes() const { return reply_.head + reply_.body; }

private:
    bool parseHead();
    std::size_t maxBytes_;
    State state_ = State::Partial;
    bool headComplete_ = false;
    std::optional<std::size_t> contentLength_;
    Reply reply_;
};

// A reply of our own.
std::string writeReply(int status, const Headers& headers, std::string_view body);
const char* reasonPhrase(int status);

}  // namespace cottonwing::scgi
