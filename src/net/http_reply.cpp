#include "net/http_reply.h"

#include <algorithm>
#include <cctype>
#include <climits>

namespace cottonwing::net {

bool HttpReplies::Reply::has(std::string_view header, std::string_view value) const {
    std::string line = "\n";
    line.append(header).append(":").append(value).append("\n");
    return headers.find(line) != headers.npos;
}

HttpReplies::HttpReplies(std::function<void(Reply&&)> whole) : whole_(std::move(whole)) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    http_parser_settings_init(&handlers_);
    handlers_.on_message_begin = [](http_parser* parser) {
        of(parser).reply_ = Reply{0, true, {}, "\n"};
        of(parser).inValue_ = false;
        return 0;
    };
    handlers_.on_header_field = [](http_parser* parser, const char* at, std::size_t count) {
        HttpReplies& self = of(parser);
        if (self.inValue_) self.reply_.headers += '\n';
        self.inValue_ = false;
        const std::size_t from = self.reply_.headers.size();
        const int result = self.keep(self.reply_.headers, at, count);
        std::transform(self.reply_.headers.begin() + static_cast<long>(from), self.reply_.headers.end(),
                       self.reply_.headers.begin() + static_cast<long>(from),
                       [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return result;
    };
    handlers_.on_header_value = [](http_parser* parser, const char* at, std::size_t count) {
        HttpReplies& self = of(parser);
        if (!self.inValue_) self.reply_.headers += ':';
        self.inValue_ = true;
        return self.keep(self.reply_.headers, at, count);
    };
    handlers_.on_headers_complete = [](http_parser* parser) {
        of(parser).reply_.headers += '\n';
        return of(parser).checkHead();
    };
    handlers_.on_body = [](http_parser* parser, const char* at, std::size_t count) {
        return of(parser).keep(of(parser).reply_.body, at, count);
    };
    handlers_.on_message_complete = [](http_parser* parser) {
        HttpReplies& self = of(parser);
        self.reply_.status = static_cast<int>(parser->status_code);
        self.reply_.keepsOpen = http_should_keep_alive(parser) != 0;
        // The parser is left at once: what hears of the reply may destroy it.
        http_parser_pause(parser, 1);
        return 0;
    };
}

int HttpReplies::keep(std::string& to, const char* bytes, std::size_t count) {
    if (to.size() + count > kLongest) return 1;
    to.append(bytes, count);
    return 0;
}

// A body that claims gigabytes is given up at its head rather than read; one that ends with its connection
// can't be told from one that was cut.
int HttpReplies::checkHead() const {
    const bool lengthTold = parser_.content_length != ULLONG_MAX;
    if (lengthTold && parser_.content_length > kLongest) return -1;
    const bool bodyless = parser_.status_code / 100 == 1 || parser_.status_code == 204;
    return lengthTold || bodyless || (parser_.flags & F_CHUNKED) != 0 ? 0 : -1;
}

bool HttpReplies::read(std::string_view bytes) {
    while (!bytes.empty()) {
        const std::size_t taken = http_parser_execute(&parser_, &handlers_, bytes.data(), bytes.size());
        const http_errno error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_OK && parser_.upgrade == 0) return true;
        if (error != HPE_PAUSED || parser_.upgrade != 0) return false;
        bytes.remove_prefix(taken);
        // Each reply is read afresh, whatever the one before it said of the connection.
        http_parser_init(&parser_, HTTP_RESPONSE);
        if (reply_.status / 100 == 1) {
            if (++inFront_ > kMostInFront) return false;
            continue;
        }
        inFront_ = 0;
        if (!bytes.empty()) reply_.keepsOpen = false;
        const auto whole = whole_;
        whole(std::move(reply_));
        return true;
    }
    return true;
}

}  // namespace cottonwing::net
