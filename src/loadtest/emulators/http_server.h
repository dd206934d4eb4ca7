/// @file
/// HTTP/1.1 server of the emulated services: one listener, one request at a time on each connection.
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
        std::string method, path;
        std::string headers;  ///< name:value lines, names in lower case
        std::string body;
        std::string header(const std::string& name) const;
    };
    /// An open connection of a client.
    class Connection {
    public:
        virtual ~Connection() = default;
        virtual void respond(const std::string& bytes) = 0;
        virtual void close() = 0;
        /// Set by the user of the server: its number for the request that has no response yet.
        std::uint64_t pendingRequest = 0;
    };
    using RequestHandler = std::function<void(const std::shared_ptr<Connection>&, Request&&)>;
    /// Called when a connection has closed, before or after its response.
    using CloseHandler = std::function<void(Connection&)>;

    HttpServer(net::Loop& loop, const net::Address& address, RequestHandler onRequest, CloseHandler onClosed);
    ~HttpServer();
    static std::string formatResponse(int status, const std::string& body, const std::string& headers = "");

private:
    struct ClientConnection;
    net::Loop& loop_;
    RequestHandler onRequest_;
    CloseHandler onClosed_;
    std::list<std::shared_ptr<ClientConnection>> connections_;  // removed when they close
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
