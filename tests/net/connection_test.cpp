/// @file
/// Connections and listeners on loopback. Graceful closes are also covered by event_ordering_test.cpp.
#include "net/connection.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "support/event_loop_helpers.h"

namespace cottonwing::net {
namespace {

constexpr std::size_t kLargeBufferBytes = 1 << 20;

// Records the events of a connection.
struct Recorder : ConnectionHandler {
    void arrived(Connection& connection) override {
        ++arrivals;
        std::string scratch;
        text += connection.input().peek(connection.input().size(), scratch);
        connection.input().drop(connection.input().size());
    }
    void ended(Connection& connection, ConnectionEnd reason) override {
        end = reason;
        if (owned.get() == &connection) owned.reset();
    }

    std::unique_ptr<Connection> owned;
    int arrivals = 0;
    std::string text;
    std::optional<ConnectionEnd> end;
};

// Accepts one connection, on a port that the system chooses.
struct Server : Recorder {
    explicit Server(Loop& loop)
        : listener(
              loop, {"127.0.0.1", 0},
              [this, &loop](PendingConnection socket) {
                  owned = std::make_unique<Connection>(loop, socket, *this,
                                                       BufferLimits{kLargeBufferBytes, kLargeBufferBytes});
              },
              [this] { return full; }) {}
    Address address() const { return {"127.0.0.1", listener.port()}; }

    bool full = false;
    Listener listener;
};

// Connects to the server.
struct Client : Recorder {
    Client(Loop& loop, const Server& server, std::size_t outputBytes = kLargeBufferBytes) {
        owned = std::make_unique<Connection>(loop, server.address(), *this,
                                             BufferLimits{kLargeBufferBytes, outputBytes});
    }
};

TEST(Connection, WritesBytesThatWereSentBeforeItWasOpen) {
    Loop loop;
    Server server(loop);
    Client client(loop, server);
    EXPECT_FALSE(client.owned->isOpen());
    client.owned->send("early");
    testing::runUntil(loop, [&] { return server.text == "early"; });
    EXPECT_EQ(server.text, "early");
    EXPECT_TRUE(client.owned->isOpen());
    server.owned->send("answer");
    testing::runUntil(loop, [&] { return client.text == "answer"; });
    EXPECT_EQ(client.text, "answer");
}

// Guards against local ports that stay in use for a minute after each connection.
TEST(Connection, ACloseWithResetIsSeenAsAResetByThePeer) {
    Loop loop;
    Server server(loop);
    Client client(loop, server);
    client.owned->send("all of it");
    testing::runUntil(loop, [&] { return server.text == "all of it"; });
    client.owned->closeWithReset();
    client.owned.reset();
    testing::runUntil(loop, [&] { return server.end.has_value(); });
    EXPECT_EQ(server.end, ConnectionEnd::Reset);
    EXPECT_FALSE(client.end.has_value());
}

TEST(Connection, ReportsACloseByThePeer) {
    Loop loop;
    Server server(loop);
    Client client(loop, server);
    testing::runUntil(loop, [&] { return server.owned != nullptr; });
    client.owned.reset();
    testing::runUntil(loop, [&] { return server.end.has_value(); });
    EXPECT_EQ(server.end, ConnectionEnd::PeerClosed);
    EXPECT_FALSE(client.end.has_value())
        << "the handler must not be called when the owner closes the connection";
}

TEST(Connection, ReportsARefusedConnectionFromTheLoop) {
    Loop loop;
    Address unusedAddress;
    {
        const Server gone(loop);
        unusedAddress = gone.address();
    }
    loop.runWithoutWaiting();  // closes the listener
    Recorder client;
    client.owned = std::make_unique<Connection>(loop, unusedAddress, client,
                                                BufferLimits{kLargeBufferBytes, kLargeBufferBytes});
    EXPECT_FALSE(client.end.has_value());
    testing::runUntil(loop, [&] { return client.end.has_value(); });
    EXPECT_EQ(client.end, ConnectionEnd::ConnectRefused);
}

TEST(Connection, EndsWhenItsOutputDoesNotFit) {
    Loop loop;
    Server server(loop);
    Client client(loop, server, 100);
    client.owned->send(std::string(101, 'x'));
    EXPECT_FALSE(client.end.has_value()) << "must be reported from the loop";
    testing::runUntil(loop, [&] { return client.end.has_value(); });
    EXPECT_EQ(client.end, ConnectionEnd::TooLong);
    EXPECT_EQ(server.text, "");
}

TEST(Connection, DeferReadCallsTheHandlerInTheNextTurnWithoutNewBytes) {
    Loop loop;
    Server server(loop);
    Client client(loop, server);
    client.owned->send("once");
    testing::runUntil(loop, [&] { return server.text == "once"; });
    const int arrivals = server.arrivals;
    server.owned->deferRead();
    testing::runUntil(loop, [&] { return server.arrivals > arrivals; });
    EXPECT_EQ(server.arrivals, arrivals + 1);
    EXPECT_EQ(server.text, "once");
}

TEST(Connection, ReadsNothingAfterStopReadingButStillWrites) {
    Loop loop;
    Server server(loop);
    Client client(loop, server);
    testing::runUntil(loop, [&] { return server.owned != nullptr; });
    server.owned->stopReading();
    client.owned->send("unheard");
    server.owned->send("still written");
    testing::runUntil(loop, [&] { return client.text == "still written" && server.owned->hasUnreadBytes(); });
    EXPECT_EQ(client.text, "still written");
    EXPECT_TRUE(server.owned->hasUnreadBytes());
    EXPECT_EQ(server.text, "");
}

TEST(Connection, GracefulCloseWritesTheRemainingOutputFirst) {
    Loop loop;
    Server server(loop);
    Client client(loop, server);
    testing::runUntil(loop, [&] { return server.owned != nullptr; });
    const std::string rest(500000, 'r');
    bool closed = false;
    server.owned->send(rest);
    server.owned->closeGracefully([&] { closed = true; });
    server.owned.reset();
    testing::runUntil(loop, [&] { return client.end.has_value(); });
    EXPECT_EQ(client.end, ConnectionEnd::PeerClosed);
    EXPECT_EQ(client.text, rest);
    testing::runUntil(loop, [&] { return closed; });
    EXPECT_TRUE(closed);
}

TEST(Listener, LeavesAConnectionPendingWhileItIsFull) {
    Loop loop;
    Server server(loop);
    server.full = true;
    Client client(loop, server);
    testing::runUntil(loop, [&] { return client.owned->isOpen(); });  // the system completes the handshake
    for (int turn = 0; turn < 3; ++turn) loop.runWithoutWaiting();
    EXPECT_EQ(server.owned, nullptr);
    server.full = false;
    server.listener.resume();
    testing::runUntil(loop, [&] { return server.owned != nullptr; });
    EXPECT_NE(server.owned, nullptr);
}

TEST(Listener, ThrowsWhenItsAddressCannotBeBound) {
    Loop loop;
    const Server server(loop);
    EXPECT_THROW(Listener(
                     loop, server.address(), [](PendingConnection) {}, [] { return false; }),
                 std::runtime_error);
}

}  // namespace
}  // namespace cottonwing::net
