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
    return frames::serve(sequence, ThriftTestClient::fields(number), "body");
}

// One connection accepted, without a protocol on it.
struct Accepted : private net::ConnectionHandler {
    explicit Accepted(net::Loop& theLoop)
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
    Accepted server(loop);
    RawClient client(server.listener.port());
    runUntil(loop, [&] { return server.connection != nullptr; });
    const std::string answer(300000, 'a');  // more than the system takes at once
    server.connection->send(answer);
    client.send("crosses");
    EXPECT_TRUE(server.connection->hasUnreadBytes());
    bool done = false;
    server.connection->closeGracefully([&] { done = true; });
    server.connection.reset();
    runUntil(loop, [&] { return client.over(); });
    EXPECT_TRUE(client.ended);
    EXPECT_FALSE(client.reset);
    EXPECT_EQ(client.text, answer);
    EXPECT_FALSE(done);
    client.send("too late to be answered");
    client.hangUp();
    runUntil(loop, [&] { return done; });
}

TEST(ConnectionEnding, AnOrderlyEndDoesNotWaitForEverForTheOtherSide) {
    net::Loop loop;
    Accepted server(loop);
    RawClient client(server.listener.port());
    runUntil(loop, [&] { return server.connection != nullptr; });
    bool done = false;
    server.connection->closeGracefully([&] { done = true; });
    server.connection.reset();
    runUntil(loop, [&] { return done; });  // the client neither reads nor ends
    EXPECT_TRUE(client.over());
}

TEST(ConnectionEnding, DestroyingTheLoopClosesConnectionsThatAreEnding) {
    auto loop = std::make_unique<net::Loop>();
    auto server = std::make_unique<Accepted>(*loop);
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
    ServerFixture on;
    on.bound();
    ThriftTestClient sidecar(on.loop, on.port());
    testing::FieldMap bad = ThriftTestClient::fields(999);
    bad["size"] = "0";
    for (int i = 1; i <= 12; ++i) {
        sidecar.say(frames::serve(++sidecar.sequence, bad, "body"));
        sidecar.ask(i);
        on.wait([&] { return on.pool.running.contains(ThriftTestClient::trace(i)); });
        on.pool.finish(ThriftTestClient::trace(i), "ok", "done");
        on.wait([&] { return sidecar.answers.contains(2 * i); });
        EXPECT_EQ(sidecar.answers[2 * i].body, "done");
    }
    EXPECT_EQ(on.count(Count::MalformedRequests), 12U);
    EXPECT_FALSE(sidecar.gone);
}

TEST(Crossings, TooManyMalformedRequestsEndAConnectionAfterItsOpenRequests) {
    ServerFixture on;
    on.bound();
    ThriftTestClient sidecar(on.loop, on.port());
    const std::int32_t open = sidecar.ask(1);
    on.wait([&] { return on.pool.running.contains(ThriftTestClient::trace(1)); });
    testing::FieldMap bad = ThriftTestClient::fields(999);
    bad["size"] = "0";
    for (int i = 0; i < 20; ++i) sidecar.say(frames::serve(++sidecar.sequence, bad, "body"));
    on.wait([&] { return on.count(Count::MalformedRequests) == 8; });
    on.pool.finish(ThriftTestClient::trace(1), "ok", "done");
    on.wait([&] { return sidecar.gone; });
    EXPECT_EQ(sidecar.answers[open].body, "done");
    EXPECT_EQ(on.count(Count::MalformedRequests), 8U);  // the rest was not read any more
    EXPECT_EQ(on.count(ConnectionEnd::Malformed), 1U);
    on.expectBooksClosed();
}

TEST(Crossings, AnIncompleteMessageEndsAConnectionAfterItsOpenRequests) {
    ServerFixture on;
    on.bound();
    ThriftTestClient sidecar(on.loop, on.port());
    const std::int32_t open = sidecar.ask(1);
    on.wait([&] { return on.pool.running.contains(ThriftTestClient::trace(1)); });
    sidecar.say(serveRequest(2, 2).substr(0, 20));
    const Duration from = net::unixNow();
    on.wait([&] { return net::unixNow() - from > 1800ms; });
    EXPECT_FALSE(sidecar.gone);
    on.pool.finish(ThriftTestClient::trace(1), "ok", "done");
    on.wait([&] { return sidecar.gone; });
    EXPECT_EQ(sidecar.answers[open].body, "done");
    EXPECT_EQ(on.count(ConnectionEnd::TimedOut), 1U);
}

// The end of a run and the next request under its id, read in one turn, were one request to the controller;
// the second was never answered. Where the request is read first, it is refused as it always was.
TEST(Crossings, AnIdStaysInUseUntilTheControllerHasProcessedItsEnd) {
    ServerFixture on;
    on.bound();
    ThriftTestClient sidecar(on.loop, on.port());
    const std::int32_t first = sidecar.ask(1);
    on.wait([&] { return on.pool.running.contains(ThriftTestClient::trace(1)); });
    const std::int32_t second = sidecar.ask(1);
    on.pool.finish(ThriftTestClient::trace(1), "ok", "done");  // the worker pool's message is read first
    on.wait([&] { return sidecar.answers.contains(first) && sidecar.answers.contains(second); });
    EXPECT_EQ(sidecar.answers[first].body, "done");
    EXPECT_EQ(sidecar.answers[second].kind, "refusal");
    on.expectBooksClosed();
}

// There is no bound for the expected work: rough hints beyond the class's timeout were refused.
TEST(Crossings, ExpectedWorkBeyondTheTimeoutIsAccepted) {
    ServerFixture on;
    on.bound();
    ThriftTestClient sidecar(on.loop, on.port());
    testing::FieldMap fields = ThriftTestClient::fields(1);
    fields["weight"] = "8000.1";
    sidecar.say(frames::serve(1, fields, "body"));
    on.wait([&] { return on.pool.running.contains(ThriftTestClient::trace(1)); });
    fields["trace"] = ThriftTestClient::trace(2);
    fields["weight"] = "1e300";
    sidecar.say(frames::serve(2, fields, "body"));
    on.wait([&] { return on.count(Count::RequestsRead) == 2; });
    EXPECT_EQ(on.count(Count::MalformedRequests), 0U);
}

// A client connects while the connection limit is reached, and the connection unused for longest has just
// sent.
TEST(Crossings, AConnectionWithUnreadInputIsNotEvicted) {
    Json start = testing::plainConfigFile();
    start["limits"]["sockets"] = 64;
    ServerFixture on(start);
    on.bound();
    const std::size_t places = 64 * 11 / 16;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t i = 0; i < places; ++i) {
        clients.push_back(std::make_unique<RawClient>(on.port()));
        clients.back()->send(frames::isWell(1, false));
        on.wait([&] { return clients.back()->receive() > 0; });
    }
    const Duration from = net::unixNow();
    on.wait([&] { return net::unixNow() - from > 150ms; });
    RawClient late(on.port());                  // noticed first
    clients.front()->send(serveRequest(2, 7));  // already there when a connection to evict is searched
    late.send(serveRequest(1, 8));
    on.wait([&] {
        return on.pool.running.contains(ThriftTestClient::trace(7)) &&
               on.pool.running.contains(ThriftTestClient::trace(8));
    });
    EXPECT_EQ(on.count(Count::ConnectionsEvicted), 1U);
    EXPECT_FALSE(clients.front()->over());
}

// The address changes while messages are unread on the old connection: messages sent last were lost with its
// reset.
TEST(Crossings, AWorkerPoolAddressChangeEndsTheOldConnectionInOrder) {
    net::Loop loop;
    std::ostringstream lines;
    telemetry::Log log(lines, telemetry::Level::Debug);
    telemetry::Counters counters;
    const config::ProcessConfig start = testing::processConfigFrom(testing::plainConfigFile());
    request::RequestManager requests(loop, start.controller, 1 << 20, 1 << 20, log, counters);
    testing::RawServer before;
    testing::RawServer after;
    worker_pool::WorkerPoolClient client(loop, {"127.0.0.1", before.port}, start.limits, {"read", "look"},
                                         start.gaugeNames, 7, requests, log, counters);
    RawClient old(RawClient::Accepted{before.accept()});
    runUntil(loop, [&] { return old.receive() > 0; });  // bind
    old.send("{\"type\":\"bound\",\"state\":\"warm\",\"took\":1}\n");
    runUntil(loop, [&] { return counters.of(Count::WorkerPoolConnections) == 1; });
    client.requestGauges();
    old.send("{\"type\":\"chatter\",\"n\":1,\"state\":\"unread\"}\n");
    client.changeAddress({"127.0.0.1", after.port});
    runUntil(loop, [&] { return old.over(); });
    EXPECT_TRUE(old.ended);
    EXPECT_NE(old.text.find("poll"), std::string::npos);
}

// Two configurations in a row, the first to where nobody listens: the connection is down, or being opened, as
// the address changes.
TEST(Crossings, AWorkerPoolAddressChangesWhileThereIsNoConnection) {
    net::Loop loop;
    std::ostringstream lines;
    telemetry::Log log(lines, telemetry::Level::Debug);
    telemetry::Counters counters;
    const config::ProcessConfig start = testing::processConfigFrom(testing::plainConfigFile());
    request::RequestManager requests(loop, start.controller, 1 << 20, 1 << 20, log, counters);
    testing::Pool pool(loop);
    worker_pool::WorkerPoolClient client(loop, {"127.0.0.1", 1}, start.limits, {"read", "look"},
                                         start.gaugeNames, 7, requests, log, counters);
    client.changeAddress({"127.0.0.1", 1});  // while it is being opened
    runUntil(loop, [&] { return counters.of(ConnectionEnd::ConnectRefused) > 0; });
    client.changeAddress(pool.server.address());  // while it waits to reconnect
    runUntil(loop, [&] { return counters.of(Count::WorkerPoolConnections) == 1; });
    EXPECT_EQ(pool.binds.size(), 1U);
}

// SIGTERM before the worker pool is ready: the server stays reported as draining when the pool comes up.
TEST(Crossings, ShutdownBeforeTheExecutorIsReadyKeepsReportingDraining) {
    ServerFixture on;
    on.pool.up = false;
    on.wait([&] { return on.pool.binds.size() == 1; });
    ThriftTestClient sidecar(on.loop, on.port());
    on.program->beginShutdown();
    const std::int32_t early = sidecar.ask(1);
    on.wait([&] { return sidecar.answers.contains(early); });
    EXPECT_EQ(sidecar.answers[early].kind, "busy");
    on.pool.send({{"type", "bound"}, {"state", "cold"}, {"took", 0}});
    on.wait([&] { return on.count(Count::WorkerPoolConnections) == 1; });
    sidecar.say(frames::isWell(++sidecar.sequence, false));
    on.wait([&] { return sidecar.answers.contains(sidecar.sequence); });
    EXPECT_FALSE(sidecar.answers[sidecar.sequence].good);
    on.wait(
        [&] { return !on.registry.bodies.empty() && on.registry.bodies.back() != R"({"state":"ready"})"; });
    const std::size_t reported = on.registry.bodies.size();
    on.wait([&] { return on.registry.bodies.size() > reported; });
    EXPECT_EQ(on.registry.bodies.back(), R"({"state":"draining"})");
    on.expectBooksClosed();
}

// SIGTERM and SIGHUP together: the registry of the new file learns that the server is draining, and nothing
// else.
TEST(Crossings, ANewRegistryAddressLearnsThatTheServerIsDraining) {
    ServerFixture on;
    on.bound();
    testing::FakeHttpServer other(on.loop, [](net::Connection&, const std::string&, const std::string&) {
        return testing::FakeHttpServer::reply(204);
    });
    const auto text = [](const net::Address& at) { return at.host + ":" + std::to_string(at.port); };
    Json next = testing::plainConfigFile();
    next["pool"] = text(on.pool.server.address());
    next["records"] = text(on.records.server.address());
    next["registry"] = text(other.server.address());
    on.program->beginShutdown();
    on.readAgain(next);
    on.readAgain(next);  // and once more: nothing moves
    on.wait([&] { return !other.bodies.empty(); });
    for (const std::string& body : other.bodies) EXPECT_EQ(body, R"({"state":"draining"})");
    EXPECT_EQ(on.count(Count::Reloads), 2U);
}

Json startWithoutDrainGrace() {
    Json start = testing::plainConfigFile();
    start["stop_ms"] = 6000;
    start["settings"]["obligations"]["drain_grace_us"] = 0;
    return start;
}

// Accepted by the operating system, and not by the server when the listener closed.
TEST(Crossings, ConnectionsThatWaitAtTheListenerAreAcceptedBeforeItCloses) {
    ServerFixture on(startWithoutDrainGrace());
    on.bound();
    on.program->beginShutdown();
    RawClient early(on.port());
    early.send(serveRequest(1, 1));  // the loop has not turned since
    on.wait([&] {
        return on.count(Count::Rejected) == 1 || on.pool.running.contains(ThriftTestClient::trace(1));
    });
    // It runs where it came in the very moment of the notice.
    if (on.count(Count::Rejected) == 0) on.pool.finish(ThriftTestClient::trace(1));
    on.wait([&] { return early.receive(), early.text.find("serve") != early.text.npos; });
    on.expectBooksClosed();
}

// Guards against a request that is run although it was whole only after the drain grace, as its client names
// the moment at which it began to write.
TEST(Crossings, ARequestCompletedAfterTheDrainGraceIsNotRun) {
    ServerFixture on;
    on.bound();
    RawClient client(on.port());
    client.send(frames::isWell(1, false));
    on.wait([&] { return client.receive() > 0; });
    const std::string begunInTime = serveRequest(2, 1);
    client.send(begunInTime.substr(0, 20));
    on.program->beginShutdown();
    on.wait([&] { return client.receive(), client.text.find("goaway") != client.text.npos; });
    client.send(begunInTime.substr(20));
    on.wait([&] { return on.count(Count::RequestsRead) == 1; });
    on.wait([&] { return client.receive(), client.text.find("serve") != client.text.npos; });
    EXPECT_EQ(on.count(Count::Rejected), 1U);
    EXPECT_EQ(on.pool.starts, 0);
    on.expectBooksClosed();
}

std::size_t occurrences(const std::string& text, const std::string& word) {
    std::size_t count = 0;
    for (std::size_t at = text.find(word); at != text.npos; at = text.find(word, at + 1)) ++count;
    return count;
}

// Guards against a request that is read in the turn in which the process stops, and never answered: one comes
// in every turn around that time.
TEST(Crossings, ARequestReadInTheLastTurnIsAnswered) {
    Json start = testing::plainConfigFile();
    start["stop_ms"] = 800;  // an idle connection is not closed before that
    ServerFixture on(start);
    on.bound();
    RawClient client(on.port());
    client.send(frames::isWell(1, false));
    on.wait([&] { return client.receive() > 0; });
    client.text.clear();
    const Duration from = net::unixNow();
    on.program->beginShutdown();
    int number = 1;
    const testing::BeforeEachPoll sender(on.loop, [&] {
        if (net::unixNow() < from + on.server.shutdownTimeout - 100ms) return;
        ++number;
        client.send(serveRequest(number, number));
    });
    on.loop.run();
    EXPECT_GT(number, 2);
    EXPECT_GT(on.count(Count::RequestsRead), 0U);
    on.expectBooksClosed();
    client.over();
    EXPECT_EQ(occurrences(client.text, "serve"), on.count(Count::RequestsRead));
}

// A turn that begins past the time to close a draining connection, with a request on it unread.
TEST(Crossings, ADrainingConnectionIsNotClosedWithAnUnreadRequest) {
    ServerFixture on(startWithoutDrainGrace());
    on.bound();
    RawClient client(on.port());
    client.send(frames::isWell(1, false));
    on.wait([&] { return client.receive() > 0; });
    client.text.clear();
    on.program->beginShutdown();
    on.wait([&] { return client.text.find("goaway") != client.text.npos || client.receive() > 0; });
    std::this_thread::sleep_for(1100ms);
    client.send(serveRequest(2, 1));
    on.wait([&] { return client.over(); });
    EXPECT_TRUE(client.ended);
    EXPECT_EQ(on.count(Count::Rejected), 1U);
    EXPECT_NE(client.text.find("serve"), std::string::npos);
}

}  // namespace
}  // namespace cottonwing
