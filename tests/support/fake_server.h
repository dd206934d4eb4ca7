/// @file
/// A TCP server on loopback, driven by the event loop of the program under test; base of the other fakes.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "net/connection.h"
#include "net/loop.h"

namespace cottonwing::testing {

/// Accepts connections on loopback and hands what arrives on each of them to a callback.
class FakeServer : private net::ConnectionHandler {
public:
    /// Gets all unread text of a connection and removes what it has used.
    using OnText = std::function<void(net::Connection&, std::string&)>;
    FakeServer(net::Loop& loop, OnText onText, int port = 0)
        : onText_(std::move(onText)),
          listener_(std::make_unique<net::Listener>(
              loop, net::Address{"127.0.0.1", port},
              [this, &loop](net::PendingConnection socket) {
                  ++accepted;
                  Line line;
                  line.number = accepted;
                  line.connection = newConnection(loop, socket);
                  lines.push_back(std::move(line));
              },
              [] { return false; })) {}
    net::Address address() const { return {"127.0.0.1", listener_->port()}; }
    void stopListening() { listener_.reset(); }
    /// Closes all connections.
    void hangUp() { lines.clear(); }
    void hangUp(net::Connection& on) {
        std::erase_if(lines, [&](const Line& line) { return line.connection.get() == &on; });
    }

    /// @return the number of a connection, in the order of acceptance; 0 where it has ended.
    int numberOf(const net::Connection& connection) const {
        for (const Line& line : lines)
            if (line.connection.get() == &connection) return line.number;
        return 0;
    }
    /// @return the connection of this number, while it is open.
    net::Connection* find(int number) const {
        for (const Line& line : lines)
            if (line.number == number) return line.connection.get();
        return nullptr;
    }

    /// A connection and what was read from it but not used.
    struct Line {
        int number = 0;
        std::unique_ptr<net::Connection> connection;
        std::string text;
    };
    std::list<Line> lines;
    int accepted = 0;

private:
    std::unique_ptr<net::Connection> newConnection(net::Loop& loop, net::PendingConnection socket) {
        return std::unique_ptr<net::Connection>(new net::Connection(loop, socket, *this, {1 << 20, 1 << 20}));
    }
    void arrived(net::Connection& from) override {
        const auto line = std::find_if(lines.begin(), lines.end(),
                                       [&](const Line& l) { return l.connection.get() == &from; });
        std::string scratch;
        line->text += from.input().peek(from.input().size(), scratch);
        from.input().drop(from.input().size());
        onText_(from, line->text);
    }
    void ended(net::Connection& of, net::ConnectionEnd) override { hangUp(of); }

    OnText onText_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::testing
