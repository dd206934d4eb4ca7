#include "loadtest/emulators/http_server.h"

#include <utility>

namespace cottonwing::loadtest {

std::string HttpServer::Request::header(const std::string& name) const {
    const std::size_t at = ("\n" + headers).find("\n" + name + ":");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 1;
    return headers.substr(from, headers.find('\n', from) - from);
}

std::string HttpServer::formatResponse(int status, const std::string& body, const std::string& headers) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           (status == 204 ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

struct HttpServer::ClientConnection : net::ConnectionHandler,
                                      HttpServer::Connection,
                                      std::enable_shared_from_this<HttpServer::ClientConnection> {
    explicit ClientConnection(HttpServer& theServer) : server(theServer) {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
        http_parser_settings_init(&handlers);
        handlers.on_message_begin = [](http_parser* p) {
            fromParser(p).request = Request{};
            return 0;
        };
        handlers.on_url = [](http_parser* p, const char* at, std::size_t n) {
            return appendLimited(fromParser(p).request.path, at, n);
        };
        handlers.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            ClientConnection& client = fromParser(p);
            if (std::exchange(client.readingHeaderValue, false)) client.request.headers += '\n';
            std::string lower(at, n);
            for (char& byte : lower) byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
            return appendLimited(client.request.headers, lower.data(), n);
        };
        handlers.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            ClientConnection& client = fromParser(p);
            if (!std::exchange(client.readingHeaderValue, true)) client.request.headers += ':';
            return appendLimited(client.request.headers, at, n);
        };
        handlers.on_body = [](http_parser* p, const char* at, std::size_t n) {
            return appendLimited(fromParser(p).request.body, at, n);
        };
        handlers.on_message_complete = [](http_parser* p) {
            ClientConnection& client = fromParser(p);
            client.readingHeaderValue = false;
            client.request.method = http_method_str(static_cast<http_method>(p->method));
            client.server.onRequest_(client.shared_from_this(), std::move(client.request));
            return client.connection ? 0 : 1;
        };
    }
    static ClientConnection& fromParser(http_parser* p) { return *static_cast<ClientConnection*>(p->data); }
    static int appendLimited(std::string& to, const char* at, std::size_t count) {
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
                return close();
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override { close(); }
    void respond(const std::string& bytes) override {
        if (connection) connection->send(bytes);
    }
    void close() override {
        if (!connection) return;
        const auto self = shared_from_this();
        connection->tryFlush();
        connection.reset();
        server.onClosed_(*this);
        server.connections_.remove(self);
    }

    HttpServer& server;
    std::unique_ptr<net::Connection> connection;
    http_parser parser;
    http_parser_settings handlers;
    Request request;
    bool readingHeaderValue = false;
};

HttpServer::HttpServer(net::Loop& loop, const net::Address& address, RequestHandler onRequest,
                       CloseHandler onClosed)
    : loop_(loop), onRequest_(std::move(onRequest)), onClosed_(std::move(onClosed)) {
    listener_ = std::make_unique<net::Listener>(
        loop, address,
        [this](net::PendingConnection socket) {
            auto client = std::make_shared<ClientConnection>(*this);
            client->connection.reset(new net::Connection(loop_, socket, *client, {65536, 1 << 20}));
            connections_.push_back(std::move(client));
        },
        [] { return false; });
}

HttpServer::~HttpServer() = default;

}  // namespace cottonwing::loadtest
