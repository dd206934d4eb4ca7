#include "scgi/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <vector>

namespace cottonwing::scgi {

namespace {

constexpr std::size_t kMaxLengthDigits = 9;

std::optional<std::size_t> parseLength(std::string_view text) {
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::string toLowerCase(std::string_view text) {
    std::string result(text);
    for (char& byte : result) byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
    return result;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
        text.remove_suffix(1);
    return text;
}

// One header after another, each a name and a value with a NUL at their ends.
class HeaderCursor {
public:
    explicit HeaderCursor(std::string_view headers) : rest_(headers) { parse(); }
    bool atEnd() const { return rest_.empty(); }
    bool isWellFormed() const { return wellFormed_; }
    std::string_view name() const { return name_; }
    std::string_view value() const { return value_; }
    void next() {
        rest_.remove_prefix(name_.size() + value_.size() + 2);
        parse();
    }

private:
    void parse() {
        const std::size_t nameEnd = rest_.find('\0');
        const std::size_t valueEnd = nameEnd == rest_.npos ? rest_.npos : rest_.find('\0', nameEnd + 1);
        wellFormed_ = nameEnd != 0 && valueEnd != rest_.npos;
        if (!wellFormed_) return;
        name_ = rest_.substr(0, nameEnd);
        value_ = rest_.substr(nameEnd + 1, valueEnd - nameEnd - 1);
    }

    std::string_view rest_;
    std::string_view name_;
    std::string_view value_;
    bool wellFormed_ = false;
};

std::size_t allocatedBytes(const std::string& text) {
    static const std::size_t kInlineBytes = std::string().capacity();
    return text.capacity() <= kInlineBytes ? 0 : text.capacity();
}

// Appends to a text that has at most maxBytes in the end, and allocates no more than that.
void appendWithin(std::string& text, std::string_view part, std::size_t maxBytes) {
    const std::size_t size = text.size() + part.size();
    if (size > text.capacity()) {
        std::string larger;
        larger.reserve(std::min(maxBytes, std::max(size, 2 * text.size())));
        larger.append(text);
        text.swap(larger);
    }
    text.append(part);
}

}  // namespace

std::optional<std::string_view> findHeader(const Headers& headers, std::string_view name) {
    for (const auto& [key, value] : headers)
        if (key == name) return value;
    return std::nullopt;
}

int statusOf(RequestError error) {
    switch (error) {
        case RequestError::HeadTooLong:
            return 431;
        case RequestError::MissingContentLength:
            return 411;
        case RequestError::BodyTooLong:
            return 413;
        default:
            return 400;
    }
}

const char* nameOf(RequestError error) {
    static constexpr const char* kNames[] = {
        "none",       "no netstring",  "head too long", "head cut",     "no CONTENT_LENGTH",
        "bad length", "body too long", "no SCGI 1",     "header twice", "bytes behind the body"};
    return kNames[static_cast<int>(error)];
}

std::size_t RequestReader::read(std::string_view bytes) {
    const std::size_t inputSize = bytes.size();
    while (state_ == State::Head && !bytes.empty()) {
        if (!headSize_) {
            const char byte = bytes.front();
            bytes.remove_prefix(1);
            if (byte == ':' && digitCount_ > 0) {
                headSize_ = parseLength(head_);
                head_.clear();
                if (*headSize_ > limits_.maxHeadBytes) fail(RequestError::HeadTooLong);
            } else if (!std::isdigit(static_cast<unsigned char>(byte))) {
                fail(RequestError::MissingNetstring);
            } else if (++digitCount_ > kMaxLengthDigits) {
                fail(RequestError::HeadTooLong);
            } else {
                head_.push_back(byte);
            }
            continue;
        }
        const std::size_t part = std::min(bytes.size(), *headSize_ + 1 - head_.size());
        appendWithin(head_, bytes.substr(0, part), *headSize_ + 1);
        bytes.remove_prefix(part);
        if (head_.size() == *headSize_ + 1) parseHead();
    }
    if (state_ == State::Body) {
        const std::size_t part = std::min(bytes.size(), contentLength_ - body_.size());
        appendWithin(body_, bytes.substr(0, part), contentLength_);
        bytes.remove_prefix(part);
        if (body_.size() == contentLength_) state_ = State::Complete;
    }
    return inputSize - bytes.size();
}

void RequestReader::parseHead() {
    RequestError error = parseHeaders();
    if (error == RequestError::None) error = checkHeaders();
    if (error != RequestError::None) return fail(error);
    state_ = contentLength_ == 0 ? State::Complete : State::Body;
}

// Checks the form of the head and removes the ',' at its end.
RequestError RequestReader::parseHeaders() {
    if (head_.back() != ',') return RequestError::MalformedHead;
    head_.pop_back();
    if (!head_.empty() && head_.back() != '\0') return RequestError::MalformedHead;
    std::vector<std::string_view> names;
    for (HeaderCursor cursor(head_); !cursor.atEnd(); cursor.next()) {
        if (!cursor.isWellFormed()) return RequestError::MalformedHead;
        names.push_back(cursor.name());
    }
    std::sort(names.begin(), names.end());
    const bool isDuplicate = std::adjacent_find(names.begin(), names.end()) != names.end();
    return isDuplicate ? RequestError::DuplicateHeader : RequestError::None;
}

RequestError RequestReader::checkHeaders() {
    const HeaderCursor first(head_);
    if (first.atEnd() || first.name() != "CONTENT_LENGTH" || first.value().empty())
        return RequestError::MissingContentLength;
    const auto length = parseLength(first.value());
    if (!length) return RequestError::InvalidContentLength;
    if (findHeader("SCGI") != std::string_view("1")) return RequestError::NotScgi;
    if (*length > limits_.maxBodyBytes) return RequestError::BodyTooLong;
    contentLength_ = *length;
    return RequestError::None;
}

std::optional<std::string_view> RequestReader::findHeader(std::string_view name) const {
    for (HeaderCursor cursor(head_); !cursor.atEnd(); cursor.next())
        if (cursor.name() == name) return cursor.value();
    return std::nullopt;
}

Headers RequestReader::headers() const {
    Headers headers;
    for (HeaderCursor cursor(head_); !cursor.atEnd(); cursor.next())
        headers.emplace_back(cursor.name(), cursor.value());
    return headers;
}

std::size_t RequestReader::bufferedBytes() const { return allocatedBytes(head_) + allocatedBytes(body_); }

void RequestReader::release() {
    std::string().swap(head_);
    std::string().swap(body_);
}

void RequestReader::fail(RequestError error) {
    state_ = State::Malformed;
    error_ = error;
    release();
}

std::string writeRequest(const Headers& headers, std::string_view body) {
    std::string head;
    const auto add = [&head](std::string_view name, std::string_view value) {
        head.append(name).push_back('\0');
        head.append(value).push_back('\0');
    };
    add("CONTENT_LENGTH", std::to_string(body.size()));
    add("SCGI", "1");
    for (const auto& [name, value] : headers)
        if (name != "CONTENT_LENGTH" && name != "SCGI") add(name, value);
    std::string message = std::to_string(head.size());
    message.reserve(message.size() + head.size() + body.size() + 2);
    message.push_back(':');
    message.append(head).push_back(',');
    return message.append(body);
}

ReplyReader::State ReplyReader::read(std::string_view bytes) {
    if (state_ == State::Malformed || bytes.empty()) return state_;
    // A second reply, or more bytes than Content-Length announced.
    if (state_ == State::Complete) return state_ = State::Malformed;
    if (reply_.head.size() + reply_.body.size() + bytes.size() > maxBytes_) return state_ = State::Malformed;
    if (headComplete_) {
        reply_.body.append(bytes);
    } else {
        const std::size_t before = reply_.head.size();
        reply_.head.append(bytes);
        // The empty line may be split across two pieces, so up to three earlier bytes are scanned again.
        std::size_t end = std::string::npos;
        for (std::size_t at = before < 3 ? 0 : before - 3; at < reply_.head.size(); ++at) {
            if (reply_.head[at] != '\n') continue;
            std::size_t next = at + 1;
            if (next < reply_.head.size() && reply_.head[next] == '\r') ++next;
            if (next < reply_.head.size() && reply_.head[next] == '\n') {
                end = next + 1;
                break;
            }
        }
        if (end == std::string::npos) return state_;
        reply_.body = reply_.head.substr(end);
        reply_.head.resize(end);
        headComplete_ = true;
        if (!parseHead()) return state_ = State::Malformed;
    }
    if (contentLength_ && reply_.body.size() > *contentLength_) return state_ = State::Malformed;
    if (contentLength_ && reply_.body.size() == *contentLength_) state_ = State::Complete;
    return state_;
}

bool ReplyReader::parseHead() {
    std::string_view rest = reply_.head;
    bool hasHeader = false;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        const std::string_view line = trimmed(rest.substr(0, end));
        rest.remove_prefix(end == rest.npos ? rest.size() : end + 1);
        if (line.empty()) continue;
        const std::size_t colon = line.find(':');
        if (colon == line.npos || colon == 0) return false;
        const std::string name = toLowerCase(line.substr(0, colon));
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (name == "status") {
            const std::string_view code = value.substr(0, 3);
            const auto [at, error] = std::from_chars(code.data(), code.data() + code.size(), reply_.status);
            if (code.size() != 3 || error != std::errc() || at != code.data() + 3 || reply_.status < 100 ||
                reply_.status > 599 || (value.size() > 3 && value[3] != ' '))
                return false;
        } else if (name == "content-length") {
            const auto length = parseLength(value);
            if (!length || contentLength_) return false;
            contentLength_ = length;
        }
        reply_.headers.emplace_back(name, value);
        hasHeader = true;
    }
    return hasHeader;
}

ReplyReader::State ReplyReader::connectionEnded() {
    if (state_ != State::Partial) return state_;
    return state_ = headComplete_ && !contentLength_ ? State::Complete : State::Malformed;
}

const char* reasonPhrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 411:
            return "Length Required";
        case 413:
            return "Content Too Large";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

std::string writeReply(int status, const Headers& headers, std::string_view body) {
    std::string message = "Status: " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto& [name, value] : headers) message.append(name).append(": ").append(value).append("\r\n");
    message.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    return message.append(body);
}

}  // namespace cottonwing::scgi
