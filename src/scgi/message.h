/// @file
/// Parsers and serializers for SCGI requests (a netstring of headers, then the body) and replies (CGI
/// headers, then the body, up to the end of the connection). They do no I/O, accept input in pieces of any
/// size and use bounded memory. References: the published SCGI specification (protocol "1"), RFC 3875 for
/// replies.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cottonwing::scgi {

using Headers = std::vector<std::pair<std::string, std::string>>;
/// The value of the first header of that name, or nothing.
std::optional<std::string_view> findHeader(const Headers& headers, std::string_view name);

/// Why a request is malformed; each has the HTTP status of the error reply.
enum class RequestError {
    None,
    MissingNetstring,      // 400: the first bytes are not a decimal length and ':'
    HeadTooLong,           // 431
    MalformedHead,         // 400: no ',' at the end of the netstring, or no NUL at the end of a name or value
    MissingContentLength,  // 411: the first header is not CONTENT_LENGTH, or it is empty
    InvalidContentLength,  // 400: CONTENT_LENGTH is not a number
    BodyTooLong,           // 413
    NotScgi,               // 400: no header SCGI with the value 1
    DuplicateHeader,       // 400: a header name occurs twice
    TrailingBytes,         // 400: bytes after the body
};
int statusOf(RequestError error);
const char* nameOf(RequestError error);

/// Upper limits for one request.
struct RequestLimits {
    std::size_t maxHeadBytes = 8192, maxBodyBytes = 65536;
};

/// Incremental parser for one request.
class RequestReader {
public:
    explicit RequestReader(const RequestLimits& limits) : limits_(limits) {}
    enum class State { Head, Body, Complete, Malformed };
    /// Consumes bytes of the request. Nothing is consumed in the states Complete and Malformed.
    /// @return the number of bytes consumed.
    std::size_t read(std::string_view bytes);
    State state() const { return state_; }
    RequestError error() const { return error_; }
    /// The value of the first header of that name, or nothing; valid until the reader changes.
    std::optional<std::string_view> findHeader(std::string_view name) const;
    /// A copy of all headers. It takes far more memory than the reader, which keeps them as received: a head
    /// of 8 kB may have 2,000 of them.
    Headers headers() const;
    const std::string& body() const { return body_; }
    std::size_t contentLength() const { return contentLength_; }  // known once the head is complete
    /// The memory that is allocated for head and body.
    std::size_t bufferedBytes() const;
    /// Frees head and body, which are not needed any more.
    void release();

private:
    void fail(RequestError error);
    void parseHead();
    RequestError parseHeaders();
    RequestError checkHeaders();

    RequestLimits limits_;
    State state_ = State::Head;
    RequestError error_ = RequestError::None;
    std::string head_, body_;  // head_: the headers as received, each name and value with a NUL at its end
    std::optional<std::size_t> headSize_;  // known once the length of the netstring was read
    std::size_t digitCount_ = 0, contentLength_ = 0;
};

/// Serializes a request. CONTENT_LENGTH and SCGI are generated and come first; headers of these names are
/// skipped.
std::string writeRequest(const Headers& headers, std::string_view body);

/// A reply as received.
struct Reply {
    int status = 200;
    Headers headers;   // names in lower case
    std::string head;  // as received, with the empty line at its end
    std::string body;
};

/// Incremental parser for a server's reply. If the reply has a Content-Length, the body must match it.
class ReplyReader {
public:
    explicit ReplyReader(std::size_t maxBytes) : maxBytes_(maxBytes) {}
    enum class State { Partial, Complete, Malformed };
    State read(std::string_view bytes);
    /// To be called after the server has closed the connection in an orderly way. A reply without a
    /// Content-Length is complete now; one that is truncated is State::Malformed.
    State connectionEnded();
    State state() const { return state_; }
    bool hasStarted() const { return !reply_.head.empty() || !reply_.body.empty(); }
    const Reply& reply() const { return reply_; }
    /// The whole reply as received.
    std::string bytes() const { return reply_.head + reply_.body; }

private:
    bool parseHead();
    std::size_t maxBytes_;
    State state_ = State::Partial;
    bool headComplete_ = false;
    std::optional<std::size_t> contentLength_;
    Reply reply_;
};

/// Serializes a reply; Content-Length is generated.
std::string writeReply(int status, const Headers& headers, std::string_view body);
/// The standard reason phrase of a status.
const char* reasonPhrase(int status);

}  // namespace cottonwing::scgi
