// The replies of an HTTP/1.1 server, read as their bytes come in.
#pragma once

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>

namespace cottonwing::net {

class HttpReplies {
public:
    struct Reply {
        int status = 0;
        bool keepsOpen = true;
        std::string body;
        bool has(std::string_view header, std::string_view value) const;  // header in lower case
        std::string headers;  // name:value lines, names in lower case
    };

    explicit HttpReplies(std::function<void(Reply&&)> whole);
    HttpReplies(const HttpReplies&) = delete;
    HttpReplies& operator=(const HttpReplies&) = delete;
    // False when the bytes are no reply, one that is too long or one that does not say where it ends. What
    // follows a whole reply belongs to nothing: the reply counts, and its connection is not kept open.
    bool read(std::string_view bytes);

private:
    static constexpr std::size_t kLongest = 65536;
    static constexpr int kMostInFront = 8;  // interim replies before the one that counts
    static HttpReplies& of(http_parser* parser) { return *static_cast<HttpReplies*>(parser->data); }
    int keep(std::string& to, const char* bytes, std::size_t count);
    int checkHead() const;

    http_parser parser_;
    http_parser_settings handlers_;
    std::function<void(Reply&&)> whole_;
    Reply reply_;
    bool inValue_ = false;
    int inFront_ = 0;
};

}  // namespace cottonwing::net
