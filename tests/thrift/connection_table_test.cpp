// The connections of the Thrift server and their eviction. Times are arguments, so no test has to wait.
#include "thrift/connection_table.h"

#include <gtest/gtest.h>

#include "helpers.h"
#include "thrift/codec.h"

namespace cottonwing::thrift {
namespace {

using namespace std::chrono_literals;
using Action = AcceptDecision::Action;

constexpr std::size_t kCapacity = 8;

struct IgnoringConnectionHandler : net::ConnectionHandler {
    void arrived(net::Connection& /*connection*/) override {}
    void ended(net::Connection& /*connection*/, net::ConnectionEnd /*end*/) override {}
};

struct IgnoringHandler : ThriftConnection::Handler {
    void inputArrived(ThriftConnection& /*connection*/) override {}
    void connectionEnded(ThriftConnection& /*connection*/, net::ConnectionEnd /*end*/) override {}
    void inputStarved(ThriftConnection& /*connection*/) override {}
};

// Clients connect to a listener that adds the accepted connections to the table.
class ConnectionTableTest : public ::testing::Test {
protected:
    // Connects a client and returns the accepted connection.
    ThriftConnection& connect() {
        const std::size_t before = table.size();
        const net::Address address{"127.0.0.1", listener.port()};
        clients.push_back(
            std::make_unique<net::Connection>(loop, address, clientHandler, net::BufferLimits{1024, 16384}));
        testing::runUntil(loop, [&] { return table.size() > before; });
        return *table.newConnections().back();
    }
    ThriftConnection& connectIdentified() {
        ThriftConnection& connection = connect();
        table.identify(connection);
        return connection;
    }
    // A time at which no connection counts as recently accepted or used.
    static Timestamp later() { return net::unixNow() + 1s; }
    // A time at which all connections count as recently accepted or used.
    static Timestamp justNow() { return net::unixNow() - 1s; }

    net::Loop loop;
    IgnoringConnectionHandler clientHandler;
    IgnoringHandler handler;
    std::shared_ptr<net::MemoryBudget> bufferBudget =
        std::make_shared<net::MemoryBudget>(net::MemoryBudget{1 << 20});
    ConnectionTable table{kCapacity};
    net::Listener listener{
        loop, net::Address{"127.0.0.1", 0},
        [this](net::PendingConnection socket) {
            table.add(std::make_shared<ThriftConnection>(loop, socket, handler, bufferBudget));
        },
        [] { return false; }};
    std::vector<std::unique_ptr<net::Connection>> clients;
};

TEST_F(ConnectionTableTest, AcceptsWhileFewConnectionsAreNew) {
    EXPECT_EQ(table.decideAccept(0, later()).action, Action::Accept);
    connect();
    EXPECT_EQ(table.decideAccept(0, later()).action, Action::Accept);
}

TEST_F(ConnectionTableTest, EvictsTheOldestNewConnectionOnceManyAreNew) {
    const ThriftConnection& oldest = connect();
    connect();
    const AcceptDecision decision = table.decideAccept(0, later());
    EXPECT_EQ(decision.action, Action::EvictAndAccept);
    EXPECT_EQ(decision.connection, &oldest);
}

TEST_F(ConnectionTableTest, DoesNotEvictRecentlyAcceptedConnections) {
    connect();
    connect();
    EXPECT_EQ(table.decideAccept(0, justNow()).action, Action::Accept);
    EXPECT_EQ(table.decideAccept(kCapacity, justNow()).action, Action::Wait);
}

TEST_F(ConnectionTableTest, EvictsTheLeastRecentlyUsedIdleConnectionWhenFull) {
    ThriftConnection& first = connectIdentified();
    const ThriftConnection& second = connectIdentified();
    table.touch(first, net::unixNow());
    const AcceptDecision decision = table.decideAccept(kCapacity - 2, later());
    EXPECT_EQ(decision.action, Action::EvictAndAccept);
    EXPECT_EQ(decision.connection, &second);
}

TEST_F(ConnectionTableTest, NeverEvictsConnectionsWithOpenRequests) {
    ThriftConnection& busy = connectIdentified();
    busy.openRequest(1, 55);
    EXPECT_EQ(table.decideAccept(kCapacity - 1, later()).action, Action::Wait);
    const ThriftConnection& idle = connectIdentified();
    EXPECT_EQ(table.decideAccept(kCapacity - 2, later()).connection, &idle);
}

TEST_F(ConnectionTableTest, ClosesRecentlyUsedIdleConnectionsGracefullyOneAtATime) {
    const ThriftConnection& first = connectIdentified();
    while (table.size() < kCapacity) connectIdentified();
    const AcceptDecision decision = table.decideAccept(0, justNow());
    EXPECT_EQ(decision.action, Action::CloseIdleThenWait);
    EXPECT_EQ(decision.connection, &first);
    EXPECT_EQ(table.decideAccept(1, justNow()).action, Action::Wait);
    EXPECT_EQ(table.decideAccept(0, later()).action, Action::EvictAndAccept);
}

// Guards against clients that are locked out by connections with an incomplete message.
TEST_F(ConnectionTableTest, WhenFullUnfinishedMessagesOfTheNeverServedGiveWayFirst) {
    const auto connectUnfinished = [&](Timestamp messageStartedAt) -> ThriftConnection& {
        ThriftConnection& connection = connectIdentified();
        clients.back()->send("x");
        testing::runUntil(loop, [&] { return !connection.input().empty(); });
        connection.noteIncompleteMessage(true, messageStartedAt);
        return connection;
    };
    ThriftConnection& served = connectUnfinished(justNow());
    served.noteServed();
    ThriftConnection& idle = connectIdentified();
    idle.noteServed();
    connectUnfinished(justNow()).openRequest(1, 55);
    ThriftConnection& young = connectUnfinished(later());
    ThriftConnection& old = connectUnfinished(justNow());
    AcceptDecision decision = table.decideAccept(kCapacity, later());
    EXPECT_EQ(decision.action, Action::EvictAndAccept);
    EXPECT_EQ(decision.connection, &old);
    table.remove(old);
    EXPECT_EQ(table.decideAccept(kCapacity, later()).action, Action::Wait) << "its rest may be on the way";
    table.remove(young);
    EXPECT_EQ(table.decideAccept(kCapacity, later()).connection, &idle);
    table.remove(idle);
    decision = table.decideAccept(kCapacity, later());
    EXPECT_EQ(decision.action, Action::EvictAndAccept);
    EXPECT_EQ(decision.connection, &served);
}

TEST_F(ConnectionTableTest, MemoryIsGivenUpByThoseWithNothingOpen) {
    const auto connectWithInput = [&](const std::string& bytes,
                                      Timestamp messageStartedAt) -> ThriftConnection& {
        ThriftConnection& connection = connect();
        clients.back()->send(bytes);
        testing::runUntil(loop, [&] { return connection.input().size() == bytes.size(); });
        connection.noteIncompleteMessage(true, messageStartedAt);
        return connection;
    };
    const std::string header("\0\0\x20\0", 4);  // of a frame of 8,192 bytes
    const std::string incomplete = header + std::string(8000, 'x');
    connectWithInput(header, 1s);                           // within what is guaranteed
    connectWithInput(header + std::string(8192, 'x'), 1s);  // a complete message
    connectWithInput(incomplete, 1s).openRequest(1, 55);
    ThriftConnection& served = connectWithInput(incomplete, 1s);
    served.noteServed();
    ThriftConnection& young = connectWithInput(incomplete, 3s);
    ThriftConnection& old = connectWithInput(incomplete, 2s);
    EXPECT_EQ(table.findMemoryHolder(nullptr), &old);
    EXPECT_EQ(table.findMemoryHolder(&old), &young);
    table.remove(old);
    table.remove(young);
    EXPECT_EQ(table.findMemoryHolder(nullptr), &served);
    table.remove(served);
    EXPECT_EQ(table.findMemoryHolder(nullptr), nullptr);
}

TEST_F(ConnectionTableTest, RemovesNewAndIdentifiedConnections) {
    ThriftConnection& identified = connectIdentified();
    ThriftConnection& fresh = connect();
    table.remove(identified);
    EXPECT_EQ(table.size(), 1U);
    table.remove(fresh);
    EXPECT_EQ(table.size(), 0U);
}

TEST_F(ConnectionTableTest, AConnectionOpensEachSequenceOnce) {
    ThriftConnection& connection = connect();
    connection.openRequest(1, 55);
    EXPECT_FALSE(connection.canOpenRequest(1));
    EXPECT_EQ(connection.closeRequest(1), 55U);
    EXPECT_FALSE(connection.closeRequest(1));
    EXPECT_TRUE(connection.canOpenRequest(1));
}

TEST_F(ConnectionTableTest, AConnectionOpensABoundedNumberOfRequests) {
    ThriftConnection& connection = connect();
    for (std::int32_t sequence = 1; sequence <= 32; ++sequence)
        connection.openRequest(sequence, static_cast<RequestId>(sequence));
    EXPECT_FALSE(connection.canOpenRequest(33));
    EXPECT_EQ(connection.closeAllRequests().size(), 32U);
    EXPECT_FALSE(connection.hasOpenRequests());
}

TEST_F(ConnectionTableTest, TheMessageTimeoutCountsFromTheFirstByte) {
    ThriftConnection& connection = connect();
    connection.noteIncompleteMessage(true, 10s);
    EXPECT_FALSE(connection.isMessageOverdue(20s));  // no input
    ASSERT_TRUE(connection.input().write("part"));
    connection.noteIncompleteMessage(false, 10s);
    connection.noteIncompleteMessage(false, 11s);  // more bytes don't extend the timeout
    EXPECT_FALSE(connection.isMessageOverdue(11499ms));
    EXPECT_TRUE(connection.isMessageOverdue(11500ms));
    connection.noteIncompleteMessage(true, 11s);  // another message was started
    EXPECT_FALSE(connection.isMessageOverdue(12499ms));
    connection.stopReading(net::ConnectionEnd::TimedOut);
    EXPECT_FALSE(connection.isMessageOverdue(99s));
    EXPECT_EQ(connection.readingStopped(), net::ConnectionEnd::TimedOut);
}

TEST_F(ConnectionTableTest, EightProtocolErrorsWithoutACompletedRequestAreTooMany) {
    ThriftConnection& connection = connect();
    for (int errors = 0; errors < 7; ++errors) connection.addProtocolError();
    EXPECT_FALSE(connection.hasTooManyProtocolErrors());
    connection.noteServed();
    connection.addProtocolError();
    EXPECT_FALSE(connection.hasTooManyProtocolErrors());
    for (int errors = 0; errors < 7; ++errors) connection.addProtocolError();
    EXPECT_TRUE(connection.hasTooManyProtocolErrors());
}

TEST_F(ConnectionTableTest, OutputIsStalledUntilItIsWritten) {
    ThriftConnection& connection = connectIdentified();
    table.touch(connection, 10s);
    connection.send(writeGoaway());
    connection.observeOutput(11s);
    EXPECT_FALSE(connection.isOutputStalled(11999ms));
    EXPECT_TRUE(connection.isOutputStalled(12s));
    testing::runUntil(loop, [&] { return !connection.hasOutput(); });
    connection.observeOutput(13s);
    EXPECT_FALSE(connection.isOutputStalled(99s));
}

TEST_F(ConnectionTableTest, ADrainIsOverdueOnceTheConnectionIsIdle) {
    ThriftConnection& connection = connect();
    connection.openRequest(1, 55);
    connection.drain(10s);
    connection.drain(20s);  // the goaway was already sent
    EXPECT_TRUE(connection.isDraining());
    EXPECT_FALSE(connection.isDrainOverdue(11s));
    connection.closeRequest(1);
    EXPECT_FALSE(connection.isDrainOverdue(10999ms));
    EXPECT_TRUE(connection.isDrainOverdue(11s));
}

}  // namespace
}  // namespace cottonwing::thrift
