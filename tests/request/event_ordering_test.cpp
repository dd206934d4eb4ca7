/// @file
/// Pairs of events that may meet in an unexpected order: each test makes that order happen every time.
/// docs/design/crossings.md lists them.
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

// One connection accepted, without a protocol on it.
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

// Closed with unread input, the connection was reset, and an answer on its way was lost with it.
TEST(ConnectionEnding, AnOrderlyEndFollowsTheOutputAndDropsUnreadInput) {
    net::Loop loop;
    AcceptingServer server(loop);
    RawClient client(server.listener.port());
    runUntil(loop, [&] { return server.connection != nullptr; });
    const std::string answer(300000, 'a');  // more than the system takes at once
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
    runUntil(loop, [&] { return done; });  // the client neither reads nor ends
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

// Found in a long run: a client's connection lives for most of an hour, and the eighth malformed request
// closed it with all that was open on it.
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
    EXPECT_EQ(fixture.count(Count::MalformedRequests), 8U);  // the rest was not read any more
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

// The end of a run and the next request under its id, read in one turn, were one request to the controller;
// the second was never answered. Where the request is read first, it is refused as it always was.
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

// There is no bound for the expected work: rough hints beyond the class's timeout were refused.
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

// A client connects while the connection limit is reached, and the connection unused for longest has just
// sent.
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
    RawClient late(fixture.port());             // noticed first
    clients.front()->send(serveRequest(2, 7));  // already there when a connection to evict is searched
    late.send(serveRequest(1, 8));
    fixture.waitUntil([&] {
        return fixture.pool.running.contains(ThriftTestClient::requestId(7)) &&
               fixture.pool.running.contains(ThriftTestClient::requestId(8));
    });
    EXPECT_EQ(fixture.count(Count::ConnectionsEvicted), 1U);
    EXPECT_FALSE(clients.front()->hasEnded());
}

// The address changes while messages are unread on the old connection: messages sent last were lost with its
// reset.
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

// Two configurations in a row, the first to where nobody listens: the connection is down, or being opened, as
// the address changes.
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
    client.changeAddress({"127.0.0.1", 1});  // while it is being opened
    runUntil(loop, [&] { return counters.of(ConnectionEnd::ConnectRefused) > 0; });
    client.changeAddress(pool.server.address());  // while it waits to reconnect
    runUntil(loop, [&] { return counters.of(Count::WorkerPoolConnections) == 1; });
    EXPECT_EQ(pool.bindMessages.size(), 1U);
}

// SIGTERM before the worker pool is ready: the server stays reported as draining when the pool comes up.
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

// SIGTERM and SIGHUP together: the registry of the new file learns that the server is draining, and nothing
// else.
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
    fixture.reloadWith(next);  // and once more: nothing moves
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

// AcceptingServer by the operating system, and not by the server when the listener closed.
TEST(Crossings, ConnectionsThatWaitAtTheListenerAreAcceptedBeforeItCloses) {
    ServerFixture fixture(configWithoutDrainGrace());
    fixture.waitUntilHealthy();
    fixture.server->beginShutdown();
    RawClient early(fixture.port());
    early.send(serveRequest(1, 1));  // the loop has not turned since
    fixture.waitUntil([&] {
        return fixture.count(Count::Rejected) == 1 ||
               fixture.pool.running.contains(ThriftTestClient::requestId(1));
    });
    // It runs where it came in the very moment of the notice.
    if (fixture.count(Count::Rejected) == 0) fixture.pool.finish(ThriftTestClient::requestId(1));
    fixture.waitUntil([&] { return early.receive(), early.received.find("serve") != early.received.npos; });
    fixture.expectCountersBalanced();
}

// Guards against a request that is run although it was whole only after the drain grace, as its client names
// the moment at which it began to write.
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

// Guards against a request that is read in the turn in which the process stops, and never answered: one comes
// in every turn around that time.
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

// A turn that begins past the time to close a draining connection, with a request on it unread.
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
