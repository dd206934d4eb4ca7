/// @file
/// A fake HTTP/1.1 server that stands for the dependency or the registry.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fake_server.h"
#include "net/connection.h"
#include "net/loop.h"

namespace cottonwing::testing {

/// Answers each request with the result of a handler; an empty result sends no response.
class FakeHttpServer {
public:
    using Handler =
        std::function<std::string(net::Connection&, const std::string& head, const std::string& body)>;
    FakeHttpServer(net::Loop& loop, Handler requestHandler, int port = 0)
        : handler(std::move(requestHandler)),
          server(
              loop,
              [this](net::Connection& connection, std::string& text) {
                  const std::size_t end = text.find("\r\n\r\n");
                  if (end == text.npos) return;
                  const std::size_t length = std::stoul(text.substr(text.find("Content-Length: ") + 16));
                  if (text.size() < end + 4 + length) return;
                  const std::string head = text.substr(0, end + 2), body = text.substr(end + 4, length);
                  text.clear();
                  requestHeads.push_back(head);
                  requestBodies.push_back(body);
                  const std::string reply = handler(connection, head, body);
                  if (!reply.empty()) connection.send(reply);
              },
              port) {}
    /// @return a response with this status, body and additional header lines.
    static std::string reply(int status, const std::string& body = "", const std::string& headers = "") {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
               (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
               body;
    }
    /// @return the value of a header; empty if it is absent.
    static std::string header(const std::string& head, const std::string& name) {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == head.npos) return "";
        const std::size_t from = at + name.size() + 4;
        return head.substr(from, head.find("\r\n", from) - from);
    }

    Handler handler;
    std::vector<std::string> requestHeads, requestBodies;
    FakeServer server;
};

}  // namespace cottonwing::testing
