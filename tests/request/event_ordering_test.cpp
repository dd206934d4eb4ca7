/// @file
/// Pairs of events that may occur in an unexpected order; each test forces that order.
/// docs/design/crossings.md lists the pairs.
#include <string>
#include <thread>

#include "helpers.h"
#include "raw_client.h"
#include "support/before_each_poll.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using net::ConnectionEnd;
using telemetry::Count;
using testing::Json;
using testing::RawClient;
using testing::runUntil;
using testing::ServerFixture;
using testing::ThriftTestClient;
namespace frames = testing::frames;

std::string serveRequest(std::int32_t sequence, int number) {
    return frames::serve(sequence, ThriftTestClient::requestFields(number), "body");
}

// Accepts one connection and discards its input.
struct AcceptingServer : private net::ConnectionHandler {
    explicit AcceptingServer(net::Loop& theLoop)
        : loop(theLoop),
          listener(
              loop, {"127.0.0.1", 0},
              [this](net::PendingConnection waiting) {
                  connection.reset(new net::Connection(loop, waiting, *this, {1 << 20, 1 << 20}));
              },
              [] { return false; }) {}
    void arrived(net::Connection& from) override { from.input().drop(from.input().size()); }
    void ended(net::Connection&, ConnectionEnd) override { connection.reset(); }

    net::Loop& loop;
    std::unique_ptr<net::Connection> connection;
    net::Listener listener;
};

// Guards against a lost answer: closing a socket with unread input resets the connection, which discards
// output that the client has not read yet.
TEST(ConnectionEnding, AnOrderlyEndFollowsTheOutputAndDropsUnreadInput) {
    net::Loop loop;
    AcceptingServer server(loop);
    RawClient client(server.listener.port());
    runUntil(loop, [&] { return server.connection != nullptr; });
    const std::string answer(300000, 'a');  // more than the kernel buffers at once
    server.connection->send(answer);
    client.send("crosses");
    EXPECT_TRUE(server.connection->hasUnreadBytes());
    bool done = false;
    server.connection->closeGracefully([&] { done = true; });
    server.connection.reset();
    runUntil(loop, [&] { return client.hasEnded(); });
    EXPECT_TRUE(client.peerClosed);
    EXPECT_FALSE(client.wasReset);
    EXPECT_EQ(client.received, answer);
    EXPECT_FALSE(done);
    client.send("too late to be answered");
    client.close();
    runUntil(loop, [&] { return done; });
}

TEST(ConnectionEnding, AnOrderlyEndDoesNotWaitForEverForTheOtherSide) {
    net::Loop loop;
    AcceptingServer server(loop);
    RawClient client(server.listener.port());
    runUntil(loop, [&] { return server.connection != nullptr; });
    bool done = false;
    server.connection->closeGracefully([&] { done = true; });
    server.connection.reset();
    runUntil(loop, [&] { return done; });  // the client neither reads nor closes
    EXPECT_TRUE(client.hasEnded());
}

TEST(ConnectionEnding, DestroyingTheLoopClosesConnectionsThatAreEnding) {
    auto loop = std::make_unique<net::Loop>();
    auto server = std::make_unique<AcceptingServer>(*loop);
    RawClient client(server->listener.port());
    runUntil(*loop, [&] { return server->connection != nullptr; });
    server->connection->send(std::string(1 << 19, 'a'));
    server->connection->closeGracefully([] {});
    server.reset();
    loop.reset();
}

// Guards against open requests lost to occasional malformed ones: the eighth malformed request in the
// lifetime of a connection, which can be most of an hour, used to close it with all its open requests.
TEST(Crossings, MalformedRequestsBetweenGoodOnesDoNotEndAConnection) {
    ServerFixture fixture;
    fixture.waitUntilHealthy();
    ThriftTestClient client(fixture.loop, fixture.port());
    testing::FieldMap bad = ThriftTestClient::requestFields(999);
    bad["size"] = "0";
    for (int i = 1; i <= 12; ++i) {
        client.send(frames::serve(++client.sequence, bad, "body"));
        client.sendRequest(i);
        fixture.waitUntil([&] { return fixture.pool.running.contains(ThriftTestClient::requestId(i)); });
        fixture.pool.finish(ThriftTestClient::requestId(i), "ok", "done");
        fixture.waitUntil([&] { return client.answers.contains(2 * i); });
        EXPECT_EQ(client.answers[2 * i].body, "done");
    }
    EXPECT_EQ(fixture.count(Count::MalformedRequests), 12U);
    EXPECT_FALSE(client.closed);
}

TEST(Crossings, TooManyMalformedRequestsEndAConnectionAfterItsOpenRequests) {
    ServerFixture fixture;
    fixture.waitUntilHealthy();
    ThriftTestClient client(fixture.loop, fixture.port());
    const std::int32_t open = client.sendRequest(1);
    fixture.waitUntil([&] { return fixture.pool.running.contains(ThriftTestClient::requestId(1)); });
    testing::FieldMap bad = ThriftTestClient::requestFields(999);
    bad["size"] = "0";
    for (int i = 0; i < 20; ++i) client.send(frames::serve(++client.sequence, bad, "body"));
    fixture.waitUntil([&] { return fixture.count(Count::MalformedRequests) == 8; });
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "done");
    fixture.waitUntil([&] { return client.closed; });
    EXPECT_EQ(client.answers[open].body, "done");
    EXPECT_EQ(fixture.count(Count::MalformedRequests), 8U);  // the rest was not read
    EXPECT_EQ(fixture.count(ConnectionEnd::Malformed), 1U);
    fixture.expectCountersBalanced();
}

TEST(Crossings, AnIncompleteMessageEndsAConnectionAfterItsOpenRequests) {
    ServerFixture fixture;
    fixture.waitUntilHealthy();
    ThriftTestClient client(fixture.loop, fixture.port());
    const std::int32_t open = client.sendRequest(1);
    fixture.waitUntil([&] { return fixture.pool.running.contains(ThriftTestClient::requestId(1)); });
    client.send(serveRequest(2, 2).substr(0, 20));
    const Duration from = net::unixNow();
    fixture.waitUntil([&] { return net::unixNow() - from > 1800ms; });
    EXPECT_FALSE(client.closed);
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "done");
    fixture.waitUntil([&] { return client.closed; });
    EXPECT_EQ(client.answers[open].body, "done");
    EXPECT_EQ(fixture.count(ConnectionEnd::TimedOut), 1U);
}

// Guards against an unanswered request: when the end of a run and a new request with the same id were read in
// one loop iteration, the controller took them for one request and the second was never answered. A request
// that is read before the end of the run is refused.
TEST(Crossings, AnIdStaysInUseUntilTheControllerHasProcessedItsEnd) {
    ServerFixture fixture;
    fixture.waitUntilHealthy();
    ThriftTestClient client(fixture.loop, fixture.port());
    const std::int32_t first = client.sendRequest(1);
    fixture.waitUntil([&] { return fixture.pool.running.contains(ThriftTestClient::requestId(1)); });
    const std::int32_t second = client.sendRequest(1);
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok",
                        "done");  // the worker pool's message is read first
    fixture.waitUntil([&] { return client.answers.contains(first) && client.answers.contains(second); });
    EXPECT_EQ(client.answers[first].body, "done");
    EXPECT_EQ(client.answers[second].kind, "refusal");
    fixture.expectCountersBalanced();
}

// Guards against the refusal of requests with a rough hint: expected work above the timeout of the request
// class is valid, as it has no upper limit.
TEST(Crossings, ExpectedWorkBeyondTheTimeoutIsAccepted) {
    ServerFixture fixture;
    fixture.waitUntilHealthy();
    ThriftTestClient client(fixture.loop, fixture.port());
    testing::FieldMap fields = ThriftTestClient::requestFields(1);
    fields["weight"] = "8000.1";
    client.send(frames::serve(1, fields, "body"));
    fixture.waitUntil([&] { return fixture.pool.running.contains(ThriftTestClient::requestId(1)); });
    fields["trace"] = ThriftTestClient::requestId(2);
    fields["weight"] = "1e300";
    client.send(frames::serve(2, fields, "body"));
    fixture.waitUntil([&] { return fixture.count(Count::RequestsRead) == 2; });
    EXPECT_EQ(fixture.count(Count::MalformedRequests), 0U);
}

// Guards against the eviction of a connection with an unread request: a client connects at the connection
// limit just after the least recently used connection has sent a request.
TEST(Crossings, AConnectionWithUnreadInputIsNotEvicted) {
    Json configFile = testing::plainConfigFile();
    configFile["limits"]["sockets"] = 64;
    ServerFixture fixture(configFile);
    fixture.waitUntilHealthy();
    const std::size_t connectionLimit = 64 * 11 / 16;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t i = 0; i < connectionLimit; ++i) {
        clients.push_back(std::make_unique<RawClient>(fixture.port()));
        clients.back()->send(frames::isWell(1, false));
        fixture.waitUntil([&] { return clients.back()->receive() > 0; });
    }
    const Duration from = net::unixNow();
    fixture.waitUntil([&] { return net::unixNow() - from > 150ms; });
    RawClient late(fixture.port());             // accepted first
    clients.front()->send(serveRequest(2, 7));  // unread when the connection to evict is chosen
    late.send(serveRequest(1, 8));
    fixture.waitUntil([&] {
        return fixture.pool.running.contains(ThriftTestClient::requestId(7)) &&
               fixture.pool.running.contains(ThriftTestClient::requestId(8));
    });
    EXPECT_EQ(fixture.count(Count::ConnectionsEvicted), 1U);
    EXPECT_FALSE(clients.front()->hasEnded());
}

// Guards against lost messages to the worker pool: when the address changed while input was unread on the old
// connection, closing it caused a reset that discarded the last output.
TEST(Crossings, AWorkerPoolAddressChangeEndsTheOldConnectionInOrder) {
    net::Loop loop;
    std::ostringstream lines;
    telemetry::Log log(lines, telemetry::Level::Debug);
    telemetry::Counters counters;
    const config::ProcessConfig processConfig = testing::processConfigFrom(testing::plainConfigFile());
    request::RequestManager requestManager(loop, processConfig.controller, 1 << 20, 1 << 20, log, counters);
    testing::RawServer oldPool;
    testing::RawServer newPool;
    worker_pool::WorkerPoolClient client(loop, {"127.0.0.1", oldPool.port}, processConfig.limits,
                                         {"read", "look"}, processConfig.gaugeNames, 7, requestManager, log,
                                         counters);
    RawClient oldConnection(RawClient::Accepted{oldPool.accept()});
    runUntil(loop, [&] { return oldConnection.receive() > 0; });  // bind
    oldConnection.send("{\"type\":\"bound\",\"state\":\"warm\",\"took\":1}\n");
    runUntil(loop, [&] { return counters.of(Count::WorkerPoolConnections) == 1; });
    client.requestGauges();
    oldConnection.send("{\"type\":\"chatter\",\"n\":1,\"state\":\"unread\"}\n");
    client.changeAddress({"127.0.0.1", newPool.port});
    runUntil(loop, [&] { return oldConnection.hasEnded(); });
    EXPECT_TRUE(oldConnection.peerClosed);
    EXPECT_NE(oldConnection.received.find("poll"), std::string::npos);
}

// Two address changes in a row, the first to a port without a listener: the address changes while the client
// is connecting and while it waits to reconnect.
TEST(Crossings, AWorkerPoolAddressChangesWhileThereIsNoConnection) {
    net::Loop loop;
    std::ostringstream lines;
    telemetry::Log log(lines, telemetry::Level::Debug);
    telemetry::Counters counters;
    const config::ProcessConfig processConfig = testing::processConfigFrom(testing::plainConfigFile());
    request::RequestManager requestManager(loop, processConfig.controller, 1 << 20, 1 << 20, log, counters);
    testing::FakeWorkerPool pool(loop);
    worker_pool::WorkerPoolClient client(loop, {"127.0.0.1", 1}, processConfig.limits, {"read", "look"},
                                         processConfig.gaugeNames, 7, requestManager, log, counters);
    client.changeAddress({"127.0.0.1", 1});  // while connecting
    runUntil(loop, [&] { return counters.of(ConnectionEnd::ConnectRefused) > 0; });
    client.changeAddress(pool.server.address());  // while waiting to reconnect
    runUntil(loop, [&] { return counters.of(Count::WorkerPoolConnections) == 1; });
    EXPECT_EQ(pool.bindMessages.size(), 1U);
}

// SIGTERM before the worker pool is ready: the server keeps reporting that it drains when the pool is ready.
TEST(Crossings, ShutdownBeforeTheExecutorIsReadyKeepsReportingDraining) {
    ServerFixture fixture;
    fixture.pool.available = false;
    fixture.waitUntil([&] { return fixture.pool.bindMessages.size() == 1; });
    ThriftTestClient client(fixture.loop, fixture.port());
    fixture.server->beginShutdown();
    const std::int32_t early = client.sendRequest(1);
    fixture.waitUntil([&] { return client.answers.contains(early); });
    EXPECT_EQ(client.answers[early].kind, "busy");
    fixture.pool.send({{"type", "bound"}, {"state", "cold"}, {"took", 0}});
    fixture.waitUntil([&] { return fixture.count(Count::WorkerPoolConnections) == 1; });
    client.send(frames::isWell(++client.sequence, false));
    fixture.waitUntil([&] { return client.answers.contains(client.sequence); });
    EXPECT_FALSE(client.answers[client.sequence].good);
    fixture.waitUntil([&] {
        return !fixture.registry.requestBodies.empty() &&
               fixture.registry.requestBodies.back() != R"({"state":"ready"})";
    });
    const std::size_t reportCount = fixture.registry.requestBodies.size();
    fixture.waitUntil([&] { return fixture.registry.requestBodies.size() > reportCount; });
    EXPECT_EQ(fixture.registry.requestBodies.back(), R"({"state":"draining"})");
    fixture.expectCountersBalanced();
}

// SIGTERM together with SIGHUP: the registry of the new configuration receives only reports that the server
// drains.
TEST(Crossings, ANewRegistryAddressLearnsThatTheServerIsDraining) {
    ServerFixture fixture;
    fixture.waitUntilHealthy();
    testing::FakeHttpServer other(fixture.loop, [](net::Connection&, const std::string&, const std::string&) {
        return testing::FakeHttpServer::reply(204);
    });
    const auto text = [](const net::Address& at) { return at.host + ":" + std::to_string(at.port); };
    Json next = testing::plainConfigFile();
    next["pool"] = text(fixture.pool.server.address());
    next["records"] = text(fixture.dependency.server.address());
    next["registry"] = text(other.server.address());
    fixture.server->beginShutdown();
    fixture.reloadWith(next);
    fixture.reloadWith(next);  // again, without a change
    fixture.waitUntil([&] { return !other.requestBodies.empty(); });
    for (const std::string& body : other.requestBodies) EXPECT_EQ(body, R"({"state":"draining"})");
    EXPECT_EQ(fixture.count(Count::Reloads), 2U);
}

Json configWithoutDrainGrace() {
    Json configFile = testing::plainConfigFile();
    configFile["stop_ms"] = 6000;
    configFile["settings"]["obligations"]["drain_grace_us"] = 0;
    return configFile;
}

// Guards against a reset of connections that the operating system has established and the server has not
// accepted when the listener closes.
TEST(Crossings, ConnectionsThatWaitAtTheListenerAreAcceptedBeforeItCloses) {
    ServerFixture fixture(configWithoutDrainGrace());
    fixture.waitUntilHealthy();
    fixture.server->beginShutdown();
    RawClient early(fixture.port());
    early.send(serveRequest(1, 1));  // no loop iteration since the shutdown began
    fixture.waitUntil([&] {
        return fixture.count(Count::Rejected) == 1 ||
               fixture.pool.running.contains(ThriftTestClient::requestId(1));
    });
    // It runs if its arrival time, in whole milliseconds, equals that of the shutdown notice.
    if (fixture.count(Count::Rejected) == 0) fixture.pool.finish(ThriftTestClient::requestId(1));
    fixture.waitUntil([&] { return early.receive(), early.received.find("serve") != early.received.npos; });
    fixture.expectCountersBalanced();
}

// Guards against a run of a request that was complete only after the drain grace: the time that its client
// sends is when it began to write.
TEST(Crossings, ARequestCompletedAfterTheDrainGraceIsNotRun) {
    ServerFixture fixture;
    fixture.waitUntilHealthy();
    RawClient client(fixture.port());
    client.send(frames::isWell(1, false));
    fixture.waitUntil([&] { return client.receive() > 0; });
    const std::string request = serveRequest(2, 1);
    client.send(request.substr(0, 20));
    fixture.server->beginShutdown();
    fixture.waitUntil(
        [&] { return client.receive(), client.received.find("goaway") != client.received.npos; });
    client.send(request.substr(20));
    fixture.waitUntil([&] { return fixture.count(Count::RequestsRead) == 1; });
    fixture.waitUntil(
        [&] { return client.receive(), client.received.find("serve") != client.received.npos; });
    EXPECT_EQ(fixture.count(Count::Rejected), 1U);
    EXPECT_EQ(fixture.pool.startCount, 0);
    fixture.expectCountersBalanced();
}

std::size_t occurrences(const std::string& text, const std::string& word) {
    std::size_t count = 0;
    for (std::size_t at = text.find(word); at != text.npos; at = text.find(word, at + 1)) ++count;
    return count;
}

// Guards against a request that is read in the last loop iteration and never answered. A request is sent in
// every iteration around the end of the process.
TEST(Crossings, ARequestReadInTheLastTurnIsAnswered) {
    Json configFile = testing::plainConfigFile();
    configFile["stop_ms"] = 800;  // an idle connection is not closed before that
    ServerFixture fixture(configFile);
    fixture.waitUntilHealthy();
    RawClient client(fixture.port());
    client.send(frames::isWell(1, false));
    fixture.waitUntil([&] { return client.receive() > 0; });
    client.received.clear();
    const Duration from = net::unixNow();
    fixture.server->beginShutdown();
    int number = 1;
    const testing::BeforeEachPoll sender(fixture.loop, [&] {
        if (net::unixNow() < from + fixture.processConfig.shutdownTimeout - 100ms) return;
        ++number;
        client.send(serveRequest(number, number));
    });
    fixture.loop.run();
    EXPECT_GT(number, 2);
    EXPECT_GT(fixture.count(Count::RequestsRead), 0U);
    fixture.expectCountersBalanced();
    client.hasEnded();
    EXPECT_EQ(occurrences(client.received, "serve"), fixture.count(Count::RequestsRead));
}

// Guards against a lost request when a loop iteration begins after a draining connection is due to be closed,
// with a request unread on it.
TEST(Crossings, ADrainingConnectionIsNotClosedWithAnUnreadRequest) {
    ServerFixture fixture(configWithoutDrainGrace());
    fixture.waitUntilHealthy();
    RawClient client(fixture.port());
    client.send(frames::isWell(1, false));
    fixture.waitUntil([&] { return client.receive() > 0; });
    client.received.clear();
    fixture.server->beginShutdown();
    fixture.waitUntil(
        [&] { return client.received.find("goaway") != client.received.npos || client.receive() > 0; });
    std::this_thread::sleep_for(1100ms);
    client.send(serveRequest(2, 1));
    fixture.waitUntil([&] { return client.hasEnded(); });
    EXPECT_TRUE(client.peerClosed);
    EXPECT_EQ(fixture.count(Count::Rejected), 1U);
    EXPECT_NE(client.received.find("serve"), std::string::npos);
}

}  // namespace
}  // namespace cottonwing
