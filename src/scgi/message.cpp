#include "scgi/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <unordered_set>

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
        head_.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
        if (head_.size() == *headSize_ + 1) parseHead();
    }
    if (state_ == State::Body) {
        const std::size_t part = std::min(bytes.size(), contentLength_ - body_.size());
        body_.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
        if (body_.size() == contentLength_) state_ = State::Complete;
    }
    return inputSize - bytes.size();
}

void RequestReader::parseHead() {
    if (head_.back() != ',') return fail(RequestError::MalformedHead);
    std::string_view rest(head_.data(), head_.size() - 1);
    std::unordered_set<std::string_view> names;
    while (!rest.empty()) {
        const std::size_t nameEnd = rest.find('\0');
        if (nameEnd == rest.npos || nameEnd == 0) return fail(RequestError::MalformedHead);
        const std::size_t valueEnd = rest.find('\0', nameEnd + 1);
        if (valueEnd == rest.npos) return fail(RequestError::MalformedHead);
        if (!names.insert(rest.substr(0, nameEnd)).second) return fail(RequestError::DuplicateHeader);
        headers_.emplace_back(rest.substr(0, nameEnd), rest.substr(nameEnd + 1, valueEnd - nameEnd - 1));
        rest.remove_prefix(valueEnd + 1);
    }
    if (headers_.empty() || headers_.front().first != "CONTENT_LENGTH")
        return fail(RequestError::MissingContentLength);
    const auto length = parseLength(headers_.front().second);
    if (!length)
        return fail(headers_.front().second.empty() ? RequestError::MissingContentLength
                                                    : RequestError::InvalidContentLength);
    if (findHeader(headers_, "SCGI") != std::string_view("1")) return fail(RequestError::NotScgi);
    if (*length > limits_.maxBodyBytes) return fail(RequestError::BodyTooLong);
    contentLength_ = *length;
    head_.clear();
    head_.shrink_to_fit();
    state_ = contentLength_ == 0 ? State::Complete : State::Body;
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
