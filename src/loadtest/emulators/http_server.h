// Where emulated HTTP/1.1 services hear their requests: one listener,
// connections with one request at a time.
#pragma once

#include <http_parser.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/connection.h"

namespace cottonwing::loadtest {

class HttpServer {
public:
    struct Request {
        std::string method, path, headers,
            body;  // headers: name:value lines, names in lower case
        std::string header(const std::string& name) const;
    };
    // One connection, while it lasts: what is asked on it, and whether its asker
    // is still there.
    class Connection {
    public:
        virtual ~Connection() = default;
        virtual void respond(const std::string& bytes) = 0;
        virtual void close() = 0;
        std::uint64_t pendingRequest = 0;  // the owner's own number of the request that has no reply yet
    };
    using RequestHandler = std::function<void(const std::shared_ptr<Connection>&, Request&&)>;
    using CloseHandler = std::function<void(Connection&)>;  // before a reply was given, or after

    HttpServer(net::Loop& loop, const net::Address& at, RequestHandler onRequest, CloseHandler onClosed);
    ~HttpServer();
    static std::string formatResponse(int status, const std::string& body, const std::string& headers = "");

private:
    struct ClientConnection;
    net::Loop& loop_;
    RequestHandler onRequest_;
    CloseHandler onClosed_;
    std::list<std::shared_ptr<ClientConnection>> connections_;  // emptied by the ends of connections
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
