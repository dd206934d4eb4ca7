/// @file
/// A TCP server on loopback that runs on the event loop of the server under test; the other fakes use it.
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

/// Accepts connections on loopback and passes the input of each connection to a callback.
class FakeServer : private net::ConnectionHandler {
public:
    /// Receives all input of a connection that is not processed yet and erases what it has processed.
    using OnInput = std::function<void(net::Connection&, std::string&)>;
    FakeServer(net::Loop& loop, OnInput onInput, int port = 0)
        : onInput_(std::move(onInput)),
          listener_(std::make_unique<net::Listener>(
              loop, net::Address{"127.0.0.1", port},
              [this, &loop](net::PendingConnection socket) {
                  ++acceptedCount;
                  AcceptedConnection entry;
                  entry.number = acceptedCount;
                  entry.connection = newConnection(loop, socket);
                  connections.push_back(std::move(entry));
              },
              [] { return false; })) {}
    net::Address address() const { return {"127.0.0.1", listener_->port()}; }
    void stopListening() { listener_.reset(); }
    void closeConnections() { connections.clear(); }
    void closeConnection(net::Connection& connection) {
        std::erase_if(connections,
                      [&](const AcceptedConnection& entry) { return entry.connection.get() == &connection; });
    }

    /// @return the number of a connection, in the order of acceptance; 0 if it has ended.
    int numberOf(const net::Connection& connection) const {
        for (const AcceptedConnection& entry : connections)
            if (entry.connection.get() == &connection) return entry.number;
        return 0;
    }
    /// @return the connection with this number; null if it has ended.
    net::Connection* find(int number) const {
        for (const AcceptedConnection& entry : connections)
            if (entry.number == number) return entry.connection.get();
        return nullptr;
    }

    /// A connection and its input that is not processed yet.
    struct AcceptedConnection {
        int number = 0;
        std::unique_ptr<net::Connection> connection;
        std::string text;
    };
    std::list<AcceptedConnection> connections;
    int acceptedCount = 0;

private:
    std::unique_ptr<net::Connection> newConnection(net::Loop& loop, net::PendingConnection socket) {
        return std::unique_ptr<net::Connection>(new net::Connection(loop, socket, *this, {1 << 20, 1 << 20}));
    }
    void arrived(net::Connection& from) override {
        const auto entry = std::find_if(
            connections.begin(), connections.end(),
            [&](const AcceptedConnection& candidate) { return candidate.connection.get() == &from; });
        std::string scratch;
        entry->text += from.input().peek(from.input().size(), scratch);
        from.input().drop(from.input().size());
        onInput_(from, entry->text);
    }
    void ended(net::Connection& of, net::ConnectionEnd) override { closeConnection(of); }

    OnInput onInput_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::testing
