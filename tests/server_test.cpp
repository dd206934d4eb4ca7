/// @file
/// The complete server with fake peers on loopback. All run on one event loop, and tests wait for conditions.
#include <sys/resource.h>
#include <uv.h>

#include <filesystem>
#include <random>
#include <thread>

#include "support/event_loop_helpers.h"
#include "support/fake_http_server.h"
#include "support/plain_config.h"
#include "support/server_with_client.h"
#include "support/thrift_frames.h"
#include "support/thrift_test_client.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using net::ConnectionEnd;
using telemetry::Count;
using testing::FakeHttpServer;
using testing::Json;
using testing::kAnyBytes;
using testing::ServerFixture;
using testing::ServerWithClient;
using testing::ThriftTestClient;
namespace frames = testing::frames;

TEST(ThriftServer, PassesBodiesUnchanged) {
    ServerWithClient fixture;
    const std::int32_t sequence = fixture.client->sendRequest(1, kAnyBytes);
    fixture.awaitRun(1);
    EXPECT_EQ(fixture.pool.running.at(ThriftTestClient::requestId(1)), kAnyBytes);
    EXPECT_EQ(fixture.pool.requestClasses.at(ThriftTestClient::requestId(1)), "read");
    fixture.finish(1, "ok", "result" + kAnyBytes);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "answer");
    EXPECT_TRUE(fixture.awaitAnswer(sequence).good);
    EXPECT_EQ(fixture.awaitAnswer(sequence).body, "result" + kAnyBytes);
    fixture.expectCountersBalanced();
}

TEST(ThriftServer, ReadsFramesHoweverTheyAreSplit) {
    ServerWithClient fixture;
    std::string bytes = frames::serve(1, ThriftTestClient::requestFields(1), "one") +
                        frames::serve(2, ThriftTestClient::requestFields(2), "two");
    for (const char byte : bytes) {
        fixture.client->send({&byte, 1});
        fixture.loop.runOnce();
    }
    fixture.awaitRun(1);
    fixture.awaitRun(2);
    EXPECT_EQ(fixture.pool.running.at(ThriftTestClient::requestId(2)), "two");
}

TEST(ThriftServer, AnswersThirtyTwoConcurrentRequestsInAnyOrder) {
    ServerWithClient fixture;
    for (int i = 1; i <= 32; ++i) fixture.client->sendRequest(i, "b" + std::to_string(i));
    std::mt19937 random(7);
    fixture.waitUntil([&] {
        if (!fixture.pool.running.empty()) {
            auto job = fixture.pool.running.begin();
            std::advance(job, static_cast<long>(random() % fixture.pool.running.size()));
            const std::string name = job->first, body = job->second;
            fixture.pool.finish(name, "ok", "r" + body);
        }
        return fixture.client->answers.size() == 32;
    });
    for (const auto& [sequence, answer] : fixture.client->answers)
        EXPECT_EQ(answer.body, "rb" + std::to_string(sequence));
    EXPECT_EQ(fixture.client->duplicateAnswers, 0);
    fixture.expectCountersBalanced();
}

TEST(ThriftServer, AFailedRunFailsItsRequest) {
    ServerWithClient fixture;
    const std::int32_t sequence = fixture.client->sendRequest(1);
    fixture.awaitRun(1);
    fixture.finish(1, "failed");
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "failed");
}

TEST(ThriftServer, MalformedFramesCloseOnlyTheirConnection) {
    ServerWithClient fixture;
    const std::int32_t openRequest = fixture.client->sendRequest(1);
    fixture.awaitRun(1);
    const std::string twice = frames::serve(5, ThriftTestClient::requestFields(5), "") +
                              frames::serve(5, ThriftTestClient::requestFields(6), "");
    std::string many;
    for (int i = 100; i < 133; ++i) many += frames::serve(i, ThriftTestClient::requestFields(i), "");
    const std::vector<std::string> bad = {std::string("\x7f\0\0\0", 4), std::string("\0\0\0\x02xx", 6),
                                          "GET / HTTP/1.1\r\n\r\n", twice, many};
    for (const std::string& bytes : bad) {
        ThriftTestClient other(fixture.loop, fixture.port());
        other.send(bytes);
        fixture.waitUntil([&] { return other.closed; });
        EXPECT_TRUE(other.answers.empty());
    }
    EXPECT_EQ(fixture.count(Count::MalformedFrames), bad.size());
    EXPECT_EQ(fixture.count(ConnectionEnd::TooLong) + fixture.count(ConnectionEnd::Malformed), bad.size());
    EXPECT_NE(fixture.logOutput.str().find("warn thrift: malformed frame; closing the connection"),
              std::string::npos);
    fixture.finish(1);
    EXPECT_EQ(fixture.awaitAnswer(openRequest).kind, "answer");
}

TEST(ThriftServer, MalformedRequestsGetAnApplicationException) {
    ServerWithClient fixture;
    const auto with = [](const std::string& key, const std::string& value) {
        testing::FieldMap fields = ThriftTestClient::requestFields(9);
        value.empty() ? (void)fields.erase(key) : (void)(fields[key] = value);
        return fields;
    };
    const std::vector<testing::FieldMap> bad = {
        with("route", "write"),     with("route", ""),
        with("customer", "nobody"), with("trace", "12"),
        with("born", ""),           with("born", "1e3"),
        with("patience", "-4"),     with("size", ""),
        with("size", "0"),          with("size", "2000.5"),
        with("weight", "nan"),      with("order", "x"),
        with("order", "1"),         with("order", "-0.1"),
        with("weight", "1e400"),    with("weight", "-1"),
        with("born", "1000"),       with("client", "-1"),
        with("client", "1e3"),      with("redo", "2"),
        with("patience", "8001"),   with("born", std::to_string(net::unixNow() / 1ms + 5000))};
    std::int32_t sequence = 0;
    for (const testing::FieldMap& fields : bad) {
        // A connection with too many malformed requests is closed, so each carries six at most.
        if (sequence % 6 == 0)
            fixture.client = std::make_unique<ThriftTestClient>(fixture.loop, fixture.port());
        fixture.client->send(frames::serve(++sequence, fields, "body"));
        EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "refusal") << sequence;
    }
    fixture.client = std::make_unique<ThriftTestClient>(fixture.loop, fixture.port());
    fixture.client->send(
        frames::serve(++sequence, ThriftTestClient::requestFields(9), std::string(2049, 'x')));
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "refusal");
    fixture.client->send(
        frames::frame("other", frames::protocol::T_CALL, ++sequence, [](frames::TBinaryProtocol&) {}));
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "refusal");
    fixture.client->send(frames::serve(++sequence, ThriftTestClient::requestFields(9), ""));
    fixture.client->send(frames::serve(++sequence, ThriftTestClient::requestFields(9), ""));
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "refusal");  // its request id is in use
    EXPECT_EQ(fixture.count(Count::MalformedRequests), static_cast<std::uint64_t>(sequence - 1));
    EXPECT_EQ(fixture.count(Count::RequestsRead), 1U);
    EXPECT_FALSE(fixture.client->closed);
}

TEST(ThriftServer, CancelMessageBeforeDuringAndAfterARun) {
    ServerWithClient fixture;
    // Before the run: request and cancellation are read in one loop iteration, so no run starts.
    fixture.client->send(frames::serve(1, ThriftTestClient::requestFields(1), "") + frames::forget(2, 1));
    fixture.waitUntil([&] { return fixture.count(Count::ClientCancellations) == 1; });
    // During the run: it is cancelled, and the request is tracked until the worker pool reports its end.
    fixture.client->sequence = 2;
    const std::int32_t second = fixture.client->sendRequest(2);
    fixture.awaitRun(2);
    fixture.client->send(frames::forget(4, second));
    fixture.waitUntil([&] { return fixture.server->requestManager().trackedCount() == 0; });
    EXPECT_EQ(fixture.pool.suspendedRuns, std::vector<std::string>{ThriftTestClient::requestId(2)});
    // After the run.
    fixture.client->sequence = 4;
    const std::int32_t third = fixture.client->sendRequest(3);
    fixture.awaitRun(3);
    fixture.finish(3);
    fixture.awaitAnswer(third);
    fixture.client->send(frames::forget(6, third));
    fixture.waitUntil([&] { return fixture.count(Count::CancelMessages) == 3; });
    EXPECT_EQ(fixture.client->answers.size(), 1U);
    EXPECT_EQ(fixture.pool.startCount, 2);
    fixture.expectCountersBalanced();
}

TEST(ThriftServer, TheEndOfAConnectionCancelsItsRequests) {
    ServerWithClient fixture;
    fixture.client->sendRequest(1);
    fixture.client->sendRequest(2);
    fixture.awaitRun(2);
    fixture.client->close();
    fixture.waitUntil([&] { return fixture.server->requestManager().trackedCount() == 0; });
    EXPECT_EQ(fixture.count(Count::ClientCancellations), 2U);
    EXPECT_EQ(fixture.count(ConnectionEnd::PeerClosed) + fixture.count(ConnectionEnd::Reset), 1U);
    fixture.expectCountersBalanced();
}

TEST(ThriftServer, FailsARequestBeforeItsDeadline) {
    ServerWithClient fixture;
    const Duration from = net::unixNow();
    const std::int32_t sequence = fixture.client->sendRequest(1, "", "read", 900);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "failed");
    EXPECT_LT(net::unixNow() - from, 950ms);
    fixture.waitUntil([&] { return fixture.server->requestManager().trackedCount() == 0; });
    EXPECT_EQ(fixture.pool.suspendedRuns.size(), 1U);  // the run is cancelled, as its client no longer waits
    EXPECT_EQ(fixture.client->duplicateAnswers, 0);
    fixture.expectCountersBalanced();
}

TEST(ThriftServer, AClientThatReadsNoAnswersIsNotReadFrom) {
    ServerWithClient fixture;
    // A blocking socket with a small receive buffer that is never read.
    const int peer = socket(AF_INET, SOCK_STREAM, 0), small = 4096;
    setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    sockaddr_in to{};
    uv_ip4_addr("127.0.0.1", fixture.port(), &to);
    ASSERT_EQ(connect(peer, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    std::string healthCheckFrames;
    for (int i = 1; i <= 500; ++i) healthCheckFrames += frames::isWell(i, false);
    std::size_t written = 0;
    // The server stops reading from the connection once its output buffer is full, so the writes stall.
    for (int iterations = 0, failedWrites = 0; failedWrites < 200 && iterations < 100000; ++iterations) {
        const ssize_t now =
            send(peer, healthCheckFrames.data() + written % healthCheckFrames.size(),
                 healthCheckFrames.size() - written % healthCheckFrames.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (now > 0) written += static_cast<std::size_t>(now);
        failedWrites = now > 0 ? 0 : failedWrites + 1;
        fixture.loop.runWithoutWaiting();
    }
    const std::int32_t sequence = fixture.client->sendRequest(1);
    fixture.awaitRun(1);
    fixture.finish(1);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "answer");
    const std::uint64_t healthChecks = fixture.count(Count::HealthChecks);
    EXPECT_LT(healthChecks * 40, 64U << 20);  // a bounded backlog, far less than was requested
    close(peer);
    fixture.waitUntil([&] { return fixture.server->thriftServer().connections() == 1; });
}

// Guards against clients that occupy all connections without using them: those that send nothing, part of a
// message, or a single health check.
TEST(ConnectionLimit, SilentConnectionsGiveWayToOthers) {
    ServerWithClient fixture;
    std::vector<std::unique_ptr<ThriftTestClient>> silent, once;
    const auto open = [&](std::vector<std::unique_ptr<ThriftTestClient>>& list, std::size_t count,
                          const std::string& bytes) {
        for (std::size_t i = 0; i < count; ++i) {
            list.push_back(std::make_unique<ThriftTestClient>(fixture.loop, fixture.port()));
            list.back()->send(bytes);
        }
    };
    // The first connection has an open request and is not evicted while more connections than the limit open.
    const std::int32_t sequence = fixture.client->sendRequest(1);
    fixture.awaitRun(1);
    const Duration from = net::unixNow();
    open(silent, 100, "");
    open(silent, 100, frames::isWell(1, false).substr(0, 9));
    open(once, fixture.processConfig.limits.thriftConnections + 20, frames::isWell(1, false));
    fixture.waitUntil([&] {
        return std::all_of(once.begin(), once.end(),
                           [](const auto& one) { return one->answers.contains(1); });
    });
    fixture.waitUntil([&] {
        return std::all_of(silent.begin(), silent.end(), [](const auto& one) { return one->closed; });
    });
    EXPECT_LT(net::unixNow() - from, 3s);
    EXPECT_GT(fixture.count(Count::ConnectionsEvicted), 20U);
    EXPECT_LE(fixture.server->thriftServer().connections(), fixture.processConfig.limits.thriftConnections);
    // An incomplete message on a connection that was used before: it is closed although bytes keep arriving.
    ThriftTestClient& half = *once.back();
    half.send(std::string("\0\0\1\0", 4));
    fixture.waitUntil([&] {
        if (!half.closed) half.send("x");
        return half.closed;
    });
    fixture.finish(1);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "answer");
}

TEST(ConnectionLimit, RepeatedUselessRequestsEndTheirConnection) {
    ServerWithClient fixture;
    const auto expectClosedAfterEight = [&](ThriftTestClient& from, const std::function<void()>& sendOne) {
        for (int i = 0; i < 8; ++i) {
            sendOne();
            fixture.waitUntil([&] { return from.answers.contains(from.sequence); });
        }
        fixture.waitUntil([&] { return from.closed; });
    };
    expectClosedAfterEight(*fixture.client, [&] { fixture.client->sendRequest(1, "", "nothing"); });
    ThriftTestClient other(fixture.loop, fixture.port());
    int number = 100;
    expectClosedAfterEight(other, [&] {  // well-formed, but unknown to the worker pool
        fixture.pool.unknownRequests.push_back(ThriftTestClient::requestId(++number));
        other.sendRequest(number);
    });
    fixture.expectCountersBalanced();
}

TEST(ThriftServer, AFloodOnOneConnectionIsReadInTurns) {
    ServerWithClient fixture;
    std::string flood;
    for (int i = 1; i <= 600; ++i) flood += frames::forget(i, 7);
    fixture.client->send(flood);
    std::uint64_t maxPerIteration = 0;
    fixture.waitUntil([&] {
        const std::uint64_t before = fixture.count(Count::CancelMessages);
        fixture.loop.runWithoutWaiting();
        maxPerIteration = std::max(maxPerIteration, fixture.count(Count::CancelMessages) - before);
        return fixture.count(Count::CancelMessages) == 600;
    });
    EXPECT_LE(maxPerIteration, 130U);  // at most two loop iterations between two samples
}

TEST(MemoryLimit, BodiesOfOpenRequestsStayWithinTheirShare) {
    Json configFile = testing::plainConfigFile();
    configFile["limits"]["memory_mb"] = 16;
    ServerWithClient fixture(configFile);
    const std::string body(2048, 'x');
    std::vector<std::unique_ptr<ThriftTestClient>> clients;
    int sentCount = 0;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(std::make_unique<ThriftTestClient>(fixture.loop, fixture.port()));
        for (int n = 0; n < 32; ++n) {
            testing::FieldMap fields = ThriftTestClient::requestFields(++sentCount);
            fields["size"] = "0.001";  // reserves almost none of the worker pool's memory
            clients.back()->send(frames::serve(++clients.back()->sequence, fields, body));
        }
    }
    fixture.waitUntil(
        [&] { return fixture.count(Count::RequestsRead) == static_cast<std::uint64_t>(sentCount); });
    EXPECT_GT(fixture.count(Count::RejectedForMemory), 20U);
    EXPECT_LT(fixture.server->requestManager().trackedCount() * 3 * body.size(),
              fixture.processConfig.limits.requestBytes);
    fixture.waitUntil([&] {
        for (const auto& [job, data] : std::map<std::string, std::string>(fixture.pool.running))
            fixture.pool.finish(job);
        return fixture.server->requestManager().trackedCount() == 0;
    });
    fixture.expectCountersBalanced();
    const std::int32_t sequence =
        fixture.client->sendRequest(1000, body);  // all reserved bytes have been released
    fixture.awaitRun(1000);
    fixture.finish(1000);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "answer");
}

TEST(HealthCheck, AnswersFromControllerAndCompletedWork) {
    ServerWithClient fixture;
    fixture.client->send(frames::isWell(1, false));
    EXPECT_TRUE(fixture.awaitAnswer(1).good);
    EXPECT_EQ(fixture.pool.verificationCount, 0);
    fixture.client->send(frames::isWell(2, true));
    EXPECT_TRUE(fixture.awaitAnswer(2).good);
    EXPECT_EQ(fixture.pool.verificationCount, 1);
    fixture.pool.verificationState = "failed";
    fixture.client->send(frames::isWell(3, true));
    EXPECT_FALSE(fixture.awaitAnswer(3).good);
    fixture.pool.verificationState = "";  // no answer: after a timeout the overload controller's state counts
    fixture.client->send(frames::isWell(4, true));
    EXPECT_TRUE(fixture.awaitAnswer(4).good);
    EXPECT_EQ(fixture.pool.verificationCount, 3);
    fixture.client->sendRequest(9);
    fixture.awaitRun(9);
    fixture.finish(9);
    fixture.waitUntil([&] { return fixture.count(Count::Completed) == 1; });
    fixture.client->send(frames::isWell(5 + 9, true));
    EXPECT_TRUE(fixture.awaitAnswer(5 + 9).good);
    EXPECT_EQ(fixture.pool.verificationCount, 3);  // a run has just succeeded, so no verification is needed
}

TEST(HealthCheck, IsUnhealthyUntilTheWorkerPoolIsBound) {
    ServerFixture fixture;
    fixture.pool.available = false;
    ThriftTestClient client(fixture.loop, fixture.port());
    client.send(frames::isWell(1, false));
    client.sequence = 1;
    client.sendRequest(1);
    fixture.waitUntil([&] { return client.answers.size() == 2; });
    EXPECT_FALSE(client.answers[1].good);
    EXPECT_EQ(client.answers[2].kind, "busy");
    fixture.waitUntil([&] { return !fixture.pool.bindMessages.empty(); });
    fixture.pool.send({{"type", "bound"}, {"state", "cold"}, {"took", 3}});
    fixture.waitUntilHealthy();
    fixture.expectCountersBalanced();
}

// SIGHUP: the three peers change their addresses while requests run, and a malformed file changes nothing.
TEST(Reload, MovesClientsToNewAddressesAndRejectsABadFile) {
    ServerWithClient fixture;
    testing::FakeWorkerPool pool(fixture.loop);
    const auto good = [](net::Connection&, const std::string&, const std::string& body) {
        return body.find("state") != body.npos ? FakeHttpServer::reply(204)
                                               : FakeHttpServer::reply(200, "new:" + body);
    };
    FakeHttpServer dependency(fixture.loop, good), registry(fixture.loop, good);
    const std::int32_t first = fixture.client->sendRequest(1),
                       second = fixture.sendRequestWithCall(2, "out already");
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(2)); });
    Json configFile = testing::plainConfigFile();
    const auto text = [](const net::Address& at) { return at.host + ":" + std::to_string(at.port); };
    configFile["pool"] = text(pool.server.address());
    configFile["records"] = text(dependency.server.address());
    configFile["registry"] = text(registry.server.address());
    configFile["limits"]["sockets"] = "many";
    fixture.reloadWith(configFile);
    EXPECT_EQ(fixture.count(Count::ReloadsRejected), 1U);
    EXPECT_NE(fixture.logOutput.str().find("configuration rejected: error=limits.sockets: "),
              std::string::npos);
    configFile["limits"]["sockets"] = 300;
    fixture.reloadWith(configFile);
    fixture.reloadWith(configFile);  // unchanged
    EXPECT_EQ(fixture.count(Count::Reloads), 2U);
    EXPECT_NE(fixture.logOutput.str().find("change ignored until restart: key=limits"), std::string::npos);
    fixture.waitUntil([&] {
        return pool.running.contains(ThriftTestClient::requestId(1)) && !registry.requestBodies.empty();
    });
    EXPECT_EQ(pool.bindMessages.size(), 1U);
    EXPECT_EQ(pool.bindMessages[0]["n"], fixture.pool.lastNumber);  // the numbering of notices continues
    pool.lastNumber = fixture.pool.lastNumber;
    pool.block(ThriftTestClient::requestId(2), "now");
    fixture.waitUntil([&] { return pool.dependencyResponses[ThriftTestClient::requestId(2)] == "new:now"; });
    pool.finish(ThriftTestClient::requestId(1), "ok", "one");
    pool.finish(ThriftTestClient::requestId(2), "ok", "two");
    EXPECT_EQ(fixture.awaitAnswer(first).body, "one");
    EXPECT_EQ(fixture.awaitAnswer(second).body, "two");
    fixture.server->beginShutdown();
    fixture.reloadWith(testing::plainConfigFile());  // also during shutdown
    fixture.expectCountersBalanced();
}

TEST(GracefulShutdown, ReportsDrainingAnswersOpenRequestsAndStops) {
    ServerWithClient fixture;
    ThriftTestClient idle(fixture.loop, fixture.port());
    const std::int32_t sequence = fixture.client->sendRequest(1);
    fixture.awaitRun(1);
    const int port = fixture.port();
    const Duration from = net::unixNow();
    fixture.server->beginShutdown();
    fixture.waitUntil([&] { return fixture.registry.requestBodies.back() == R"({"state":"draining"})"; });
    fixture.client->send(frames::isWell(50, false));
    EXPECT_FALSE(fixture.awaitAnswer(50).good);
    fixture.waitUntil([&] { return idle.goawayCount == 1 && fixture.client->goawayCount == 1; });
    // After the drain grace new requests are rejected.
    fixture.waitUntil([&] { return net::unixNow() > from + 210ms; });
    fixture.client->sequence = 60;
    EXPECT_EQ(fixture.awaitAnswer(fixture.client->sendRequest(2)).kind, "busy");
    ThriftTestClient late(fixture.loop, port);
    fixture.waitUntil([&] { return late.closed; });  // refused without a run
    fixture.finish(1, "ok", "in time");
    EXPECT_EQ(fixture.awaitAnswer(sequence).body, "in time");
    idle.close();
    fixture.client->close();
    fixture.waitUntil([&] { return fixture.server->thriftServer().connections() == 0; });
    EXPECT_EQ(fixture.pool.startCount, 1);
    fixture.expectCountersBalanced();
}

TEST(GracefulShutdown, FailsUnfinishedRequestsAndStopsInTime) {
    ServerWithClient fixture;
    const std::int32_t sequence = fixture.client->sendRequest(1, "", "read", 8000);
    fixture.awaitRun(1);
    const Duration from = net::unixNow();
    fixture.server->beginShutdown();
    fixture.loop.run();  // returns once the shutdown is complete
    EXPECT_LT(net::unixNow() - from, 1500ms);
    EXPECT_EQ(fixture.client->answers[sequence].kind, "failed");
}

TEST(Stall, IsHandledInOneEventBatch) {
    ServerWithClient fixture;
    const int polls = fixture.pool.pollCount;
    fixture.waitUntil([&] { return fixture.pool.pollCount > polls; });
    std::this_thread::sleep_for(400ms);  // simulates a stalled machine
    const std::uint64_t before = fixture.count(Count::EventBatches);
    fixture.loop.runOnce();
    fixture.waitUntil(
        [&] { return fixture.logOutput.str().find("process stalled: tick_delay_ms=") != std::string::npos; });
    EXPECT_LE(fixture.count(Count::EventBatches) - before, 2U);
    EXPECT_LE(fixture.pool.pollCount, polls + 2);  // instead of the twenty ticks due in that time
}

TEST(IdleConnections, AreToldToDrainAndStillServed) {
    Json configFile = testing::plainConfigFile();
    configFile["settings"]["family_info"]["senders"] =
        1000;  // clients rarely return, so idle connections close early
    configFile["settings"]["family_info"]["idle_us"] = 1200000;
    ServerWithClient fixture(configFile);
    fixture.client->send(frames::isWell(++fixture.client->sequence, false));
    fixture.waitUntil([&] { return fixture.client->goawayCount == 1; });
    const std::int32_t sequence = fixture.client->sendRequest(1);  // crosses the goaway message
    fixture.awaitRun(1);
    fixture.finish(1);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "answer");
    EXPECT_EQ(fixture.client->goawayCount, 1);
}

TEST(DescriptorLimit, RunningOutNeitherSpinsNorStopsTheProgram) {
    ServerWithClient fixture;
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const int next = dup(0);
    close(next);
    const rlimit tight = {static_cast<rlim_t>(next), before.rlim_max};
    const std::int32_t sequence = fixture.sendRequestWithCall(1);
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(1)); });
    fixture.dependency.server.closeConnections();
    EXPECT_EQ(fixture.server->dependencyClient().callsInFlight(), 0U);
    setrlimit(RLIMIT_NOFILE, &tight);
    fixture.pool.block(ThriftTestClient::requestId(1), "no descriptor for this call");
    // The connection that the fake dependency closed has freed a descriptor or two, so it takes several calls
    // until one fails for lack of a descriptor.
    fixture.pool.server.connections.back().connection->send("");
    fixture.waitUntil(
        [&] { return fixture.count(Count::CallsUnreachable) + fixture.count(Count::CallsOk) > 1; });
    setrlimit(RLIMIT_NOFILE, &before);
    fixture.finish(1);
    fixture.awaitAnswer(sequence);
    ThriftTestClient other(fixture.loop, fixture.port());
    other.send(frames::isWell(1, false));
    fixture.waitUntil([&] { return other.answers.contains(1); });
}

// Random events: each request gets one answer, bodies are unchanged, the counters balance, and all
// descriptors are closed.
TEST(Server, KeepsItsInvariantsThroughRandomEvents) {
    Json configFile = testing::plainConfigFile();
    configFile["settings"]["classes"][0]["aim_us"] = 400000;
    ServerWithClient fixture(configFile);
    const auto descriptors = [] {
        return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
    };
    fixture.waitUntil([&] {
        return !fixture.registry.requestHeads.empty() && fixture.server->thriftServer().connections() == 1;
    });
    const auto before = descriptors();
    std::mt19937 random(20261201);
    const auto draw = [&](int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); };
    fixture.dependency.handler = [&](net::Connection&, const std::string&, const std::string& body) {
        switch (draw(12)) {
            case 0:
                return FakeHttpServer::reply(503, "", "Op-Not-Begun: 1\r\n");
            case 1:
                return FakeHttpServer::reply(500);
            case 2:
                return FakeHttpServer::reply(504);
            case 3:
                return std::string();
            case 4:
                return std::string("HTTP/1.1 2x0\r\n\r\n");
            default:
                return FakeHttpServer::reply(200, "re:" + body, draw(4) == 0 ? "Connection: close\r\n" : "");
        }
    };
    std::vector<std::unique_ptr<ThriftTestClient>> clients;
    std::map<std::string, std::string> results;  // by job
    struct SentRequest {
        ThriftTestClient* client;
        std::int32_t sequence;
        bool cancelled = false;
    };
    std::map<int, SentRequest> sentRequests;
    std::map<std::string, int> remainingCalls;  // dependency calls that a run still makes
    int number = 0;
    const auto advanceRuns = [&] {
        for (std::string& job : std::vector<std::string>(fixture.pool.suspendedRuns))
            remainingCalls.erase(job);
        for (const auto& [job, body] : std::map<std::string, std::string>(fixture.pool.running)) {
            EXPECT_EQ(body, "body of " + job);
            if (!remainingCalls.contains(job)) remainingCalls[job] = draw(3);
            if (draw(8) != 0) continue;
            if (remainingCalls[job] > 0 &&
                (!fixture.pool.dependencyResponses.contains(job) || draw(2) == 0)) {
                --remainingCalls[job];
                fixture.pool.block(job, "call of " + job);
            } else {
                // A run that is started again after a reconnect may end again; the first end counts.
                const std::string result = "result " + std::to_string(draw(1000000));
                results.emplace(job, result);
                fixture.pool.finish(job, draw(15) == 0 ? "failed" : "ok", result);
            }
        }
        for (const auto& [job, reply] : fixture.pool.dependencyResponses)
            EXPECT_EQ(reply, "re:call of " + job);
    };
    std::array<ThriftTestClient*, 8> open{};
    for (int iteration = 0; number < 1500 && iteration < 50000; ++iteration) {
        auto& slot = open[static_cast<std::size_t>(draw(8))];
        if (slot == nullptr || !slot->connection) {
            clients.push_back(std::make_unique<ThriftTestClient>(fixture.loop, fixture.port()));
            slot = clients.back().get();
        }
        ThriftTestClient& from = *slot;
        if (from.sequence - static_cast<int>(from.answers.size()) < 20) {
            const int id = ++number;
            const std::int32_t sequence = from.sendRequest(id, "body of " + ThriftTestClient::requestId(id),
                                                           draw(3) == 0 ? "look" : "read", 200 + draw(600));
            sentRequests[id] = {&from, sequence};
            if (draw(20) == 0) {
                from.send(frames::forget(++from.sequence, sequence));
                from.answers[from.sequence];  // a cancellation gets no answer
                sentRequests[id].cancelled = true;
            }
        }
        if (iteration % 500 == 499) fixture.pool.server.closeConnections();
        if (draw(300) == 0) fixture.dependency.server.closeConnections();
        if (draw(200) == 0) from.close();
        if (draw(400) == 0 && from.connection) from.send("no frame at all");
        advanceRuns();
        fixture.loop.runWithoutWaiting();
    }
    ASSERT_EQ(number, 1500);
    fixture.waitUntil([&] {
        advanceRuns();
        return fixture.server->requestManager().trackedCount() == 0;
    });
    int answered = 0;
    for (const auto& [id, request] : sentRequests) {
        ThriftTestClient& from = *request.client;
        if (request.cancelled) continue;
        fixture.waitUntil([&] { return !from.connection || from.answers.contains(request.sequence); });
        if (!from.answers.contains(request.sequence)) continue;  // its connection ended before the answer
        const frames::Message& answer = from.answers[request.sequence];
        ++answered;
        if (answer.kind != "answer") continue;
        EXPECT_EQ(answer.body, results.at(ThriftTestClient::requestId(id)));
    }
    EXPECT_GT(answered, 100);
    for (const auto& client : clients) EXPECT_EQ(client->duplicateAnswers, 0);
    EXPECT_GT(fixture.count(Count::Completed), 50U);
    EXPECT_GT(fixture.count(Count::CallsOk), 10U);
    EXPECT_GT(fixture.count(Count::WorkerPoolConnections), 1U);
    clients.clear();
    fixture.client->close();
    fixture.waitUntil([&] { return fixture.server->thriftServer().connections() == 0; });
    fixture.expectCountersBalanced();
    // All descriptors are closed, as are the two ends of the first client's connection.
    fixture.waitUntil([&] { return descriptors() == before - 2; });
}

}  // namespace
}  // namespace cottonwing
