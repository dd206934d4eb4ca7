#include "loadtest/emulators/http_server.h"

#include <utility>

namespace cottonwing::loadtest {

std::string HttpDoor::Request::header(const std::string& name) const {
    const std::size_t at = ("\n" + headers).find("\n" + name + ":");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 1;
    return headers.substr(from, headers.find('\n', from) - from);
}

std::string HttpDoor::reply(int status, const std::string& body, const std::string& headers) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           (status == 204 ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

struct HttpDoor::Line : net::ConnectionHandler, Visitor, std::enable_shared_from_this<HttpDoor::Line> {
    explicit Line(HttpDoor& theDoor) : door(theDoor) {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
        http_parser_settings_init(&handlers);
        handlers.on_message_begin = [](http_parser* p) {
            of(p).request = Request{};
            return 0;
        };
        handlers.on_url = [](http_parser* p, const char* at, std::size_t n) {
            return keep(of(p).request.path, at, n);
        };
        handlers.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            Line& line = of(p);
            if (std::exchange(line.inValue, false)) line.request.headers += '\n';
            std::string lower(at, n);
            for (char& byte : lower) byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
            return keep(line.request.headers, lower.data(), n);
        };
        handlers.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            Line& line = of(p);
            if (!std::exchange(line.inValue, true)) line.request.headers += ':';
            return keep(line.request.headers, at, n);
        };
        handlers.on_body = [](http_parser* p, const char* at, std::size_t n) {
            return keep(of(p).request.body, at, n);
        };
        handlers.on_message_complete = [](http_parser* p) {
            Line& line = of(p);
            line.inValue = false;
            line.request.method = http_method_str(static_cast<http_method>(p->method));
            line.door.asked_(line.shared_from_this(), std::move(line.request));
            return line.connection ? 0 : 1;
        };
    }
    static Line& of(http_parser* p) { return *static_cast<Line*>(p->data); }
    static int keep(std::string& to, const char* at, std::size_t count) {
        if (to.size() + count > 65536) return 1;
        to.append(at, count);
        return 0;
    }
    void arrived(net::Connection& from) override {
        const auto self = shared_from_this();
        while (connection && !from.input().empty()) {
            const std::string bytes(from.input().front());
            from.input().drop(bytes.size());
            if (http_parser_execute(&parser, &handlers, bytes.data(), bytes.size()) != bytes.size())
                return hangUp();
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override { hangUp(); }
    void reply(const std::string& bytes) override {
        if (connection) connection->send(bytes);
    }
    void hangUp() override {
        if (!connection) return;
        const auto self = shared_from_this();
        connection->tryFlush();
        connection.reset();
        door.left_(*this);
        door.lines_.remove(self);
    }

    HttpDoor& door;
    std::unique_ptr<net::Connection> connection;
    http_parser parser;
    http_parser_settings handlers;
    Request request;
    bool inValue = false;
};

HttpDoor::HttpDoor(net::Loop& loop, const net::Address& at, Asked asked, Left left)
    : loop_(loop), asked_(std::move(asked)), left_(std::move(left)) {
    listener_ = std::make_unique<net::Listener>(
        loop, at,
        [this](net::PendingConnection socket) {
            auto line = std::make_shared<Line>(*this);
            line->connection.reset(new net::Connection(loop_, socket, *line, {65536, 1 << 20}));
            lines_.push_back(std::move(line));
        },
        [] { return false; });
}

HttpDoor::~HttpDoor() = default;

}  // namespace cottonwing::loadtest
