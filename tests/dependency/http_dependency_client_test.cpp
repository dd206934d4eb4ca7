/// @file
/// The connections of the dependency client, in the complete server with fake peers on loopback.
#include "dependency/http_dependency_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/event_loop_helpers.h"
#include "support/fake_http_server.h"
#include "support/server_with_client.h"

namespace cottonwing::dependency {
namespace {

using namespace std::chrono_literals;
using net::ConnectionEnd;
using telemetry::Count;
using testing::FakeHttpServer;
using testing::Json;
using testing::kAnyBytes;
using testing::ServerWithClient;
using testing::ThriftTestClient;
namespace frames = testing::frames;

// So long a time after a response that a client might take its connection to be free of further bytes.
constexpr Duration kPauseBetweenCalls = 20ms;

TEST(DependencyClient, MakesCallsAndPassesTheirResponsesOn) {
    ServerWithClient fixture;
    const std::int32_t sequence = fixture.sendRequestWithCall(1, kAnyBytes);
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(1)); });
    EXPECT_EQ(fixture.pool.dependencyResponses.at(ThriftTestClient::requestId(1)), "re:" + kAnyBytes);
    EXPECT_EQ(fixture.dependency.requestBodies.at(0), kAnyBytes);
    EXPECT_EQ(FakeHttpServer::header(fixture.dependency.requestHeads.at(0), "Op-Of"),
              ThriftTestClient::requestId(1));
    EXPECT_GT(std::stoi(FakeHttpServer::header(fixture.dependency.requestHeads.at(0), "Op-Wait-Ms")), 100);
    fixture.pool.block(ThriftTestClient::requestId(1), "second");
    fixture.waitUntil([&] { return fixture.dependency.requestBodies.size() == 2; });
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.at(ThriftTestClient::requestId(1)) == "re:second"; });
    EXPECT_EQ(fixture.dependency.server.acceptedCount, 2);  // each call on a connection of its own
    fixture.finish(1);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "answer");
    fixture.expectCountersBalanced();
}

// Each kind of response and each way in which the connection can end has its own outcome.
TEST(DependencyClient, EachResponseHasItsOutcome) {
    const std::string notBegun = "Op-Not-Begun: 1\r\n";
    const std::vector<std::pair<std::string, Count>> cases = {
        {FakeHttpServer::reply(503, "", notBegun), Count::CallsResourceExhausted},
        {FakeHttpServer::reply(503), Count::CallsError},
        {FakeHttpServer::reply(500), Count::CallsError},
        {FakeHttpServer::reply(504), Count::CallsTimedOut},
        {FakeHttpServer::reply(409, "", notBegun), Count::CallsSuperseded},
        {FakeHttpServer::reply(200, "good") + FakeHttpServer::reply(200, "copy"), Count::CallsOk},
        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", Count::CallsMalformedResponse},
        {"no reply\r\n\r\n", Count::CallsMalformedResponse},
        {"hang up", Count::CallsConnectionLost}};
    for (const auto& [reply, kind] : cases) {
        ServerWithClient fixture;
        fixture.dependency.handler = [&](net::Connection& from, const std::string&, const std::string&) {
            if (reply != "hang up") return reply;
            fixture.closeAfterHandler(from);
            return std::string();
        };
        fixture.sendRequestWithCall(1);
        fixture.waitUntil([&] { return fixture.count(kind) > 0; });
    }
}

TEST(DependencyClient, ACallTimesOutWithoutAnswerAndIsUnreachableWithoutConnection) {
    Json configFile = testing::plainConfigFile();
    configFile["settings"]["classes"][0]["aim_us"] = 300000;
    ServerWithClient fixture(configFile);
    fixture.dependency.handler = [](net::Connection&, const std::string&, const std::string&) {
        return std::string();
    };
    fixture.sendRequestWithCall(1);
    fixture.waitUntil([&] { return fixture.count(Count::CallsTimedOut) > 0; });
    EXPECT_GT(fixture.count(ConnectionEnd::TimedOut), 0U);
    fixture.dependency.server.stopListening();
    fixture.sendRequestWithCall(2);
    fixture.waitUntil([&] { return fixture.count(Count::CallsUnreachable) > 0; });
    EXPECT_GT(fixture.count(ConnectionEnd::ConnectRefused), 0U);
}

TEST(DependencyClient, ACancelledRequestAbandonsItsCall) {
    ServerWithClient fixture;
    fixture.dependency.handler = [](net::Connection&, const std::string&, const std::string&) {
        return std::string();
    };
    const std::int32_t sequence = fixture.sendRequestWithCall(1);
    fixture.waitUntil([&] { return !fixture.dependency.requestHeads.empty(); });
    fixture.client->send(frames::forget(2, sequence));
    fixture.waitUntil(
        [&] { return fixture.dependency.server.connections.empty(); });  // its connection was closed
    EXPECT_EQ(fixture.count(Count::CallsAbandoned), 1U);
    fixture.finish(1, "halted");
    fixture.waitUntil([&] { return fixture.server->requestManager().trackedCount() == 0; });
    fixture.expectCountersBalanced();
}

// A healthy server with a request whose run makes calls.
class DependencyConnections : public ::testing::Test {
protected:
    DependencyConnections() {
        for (int number = 1; number <= 2; ++number) {
            fixture.client->sendRequest(number);
            fixture.awaitRun(number);
        }
    }

    void startCall(int request, const std::string& body) {
        fixture.pool.dependencyResponses.erase(ThriftTestClient::requestId(request));
        fixture.pool.block(ThriftTestClient::requestId(request), body);
    }
    std::string awaitResponse(int request) {
        const std::string id = ThriftTestClient::requestId(request);
        fixture.waitUntil([&] { return fixture.pool.dependencyResponses.contains(id); });
        return fixture.pool.dependencyResponses[id];
    }
    void pause() {
        const Duration from = net::unixNow();
        fixture.waitUntil([&] { return net::unixNow() > from + kPauseBetweenCalls; });
    }
    testing::FakeServer& dependencyServer() { return fixture.dependency.server; }
    const HttpDependencyClient& dependencyClient() { return fixture.server->dependencyClient(); }

    ServerWithClient fixture;
};

// Guards against foreign data: a second copy of a response that arrives late was taken for the response to
// the call of another request on the same connection. The copy is written once that call has arrived, before
// the response to it.
TEST_F(DependencyConnections, ALateSecondCopyOfAResponseIsNotTheResponseToAnotherRequestsCall) {
    int firstConnection = 0;
    fixture.dependency.handler = [&](net::Connection& from, const std::string&, const std::string&) {
        firstConnection = dependencyServer().numberOf(from);
        return FakeHttpServer::reply(200, "first response");
    };
    startCall(1, "first call");
    EXPECT_EQ(awaitResponse(1), "first response");
    pause();
    fixture.dependency.handler = [&](net::Connection&, const std::string&, const std::string&) {
        net::Connection* const used = dependencyServer().find(firstConnection);
        if (used != nullptr) used->send(FakeHttpServer::reply(200, "first response"));
        return FakeHttpServer::reply(200, "second response");
    };
    startCall(2, "second call");
    EXPECT_EQ(awaitResponse(2), "second response");
}

// The same with a copy in pieces: the part that comes in the moment of the response ends no call.
TEST_F(DependencyConnections, WhatFollowsAResponseIsIgnored) {
    const std::string copy = FakeHttpServer::reply(200, "first response");
    fixture.dependency.handler = [&](net::Connection&, const std::string&, const std::string&) {
        return FakeHttpServer::reply(200, "first response") + copy.substr(0, copy.size() / 2);
    };
    startCall(1, "first call");
    EXPECT_EQ(awaitResponse(1), "first response");
    startCall(1, "second call");
    EXPECT_EQ(awaitResponse(1), "first response");
    EXPECT_EQ(fixture.count(Count::CallsOk), 2U);
    EXPECT_EQ(fixture.count(Count::CallsMalformedResponse), 0U);
}

TEST_F(DependencyConnections, AreReleasedWithTheResponse) {
    for (int call = 1; call <= 5; ++call) {
        startCall(1, "call");
        awaitResponse(1);
        EXPECT_EQ(dependencyClient().callsInFlight(), 0U);
        fixture.waitUntil([&] { return dependencyServer().connections.empty(); });
    }
    EXPECT_EQ(dependencyServer().acceptedCount, 5);
}

// Some dependencies close each connection after its response, in whatever form.
TEST_F(DependencyConnections, ACloseRightAfterTheResponseFailsNoCall) {
    fixture.dependency.handler = [&](net::Connection& from, const std::string&, const std::string& body) {
        const std::string response = FakeHttpServer::reply(200, "re:" + body, "Connection: close\r\n");
        from.send(response);
        from.closeGracefully([] {});
        dependencyServer().closeConnection(from);
        return std::string();
    };
    for (const std::string body : {"first", "second", "third"}) {
        startCall(1, body);
        EXPECT_EQ(awaitResponse(1), "re:" + body);
    }
    EXPECT_EQ(fixture.count(Count::CallsOk), 3U);
    EXPECT_EQ(fixture.count(Count::CallsConnectionLost), 0U);
}

// The client alone, with a dependency that answers when the test says so.
class DependencyClientAlone : public ::testing::Test {
protected:
    DependencyClientAlone()
        : log(lines, telemetry::Level::Debug),
          requests(loop, ControllerConfig(), 1 << 20, 1 << 20, log, counters),
          dependency(loop, [this](net::Connection& from, const std::string&, const std::string&) {
              waiting.push_back(dependency.server.numberOf(from));
              return std::string();
          }) {
        config::ResourceLimits limits;
        limits.dependencyConnections = kConnections;
        limits.dependencyBytes = 1 << 20;
        client = std::make_unique<HttpDependencyClient>(loop, dependency.server.address(), limits, requests,
                                                        counters);
    }

    void startCall(int number, Duration timeout = 5s) {
        client->startCall(static_cast<RequestId>(number), ThriftTestClient::requestId(number), timeout,
                          "call");
    }
    void awaitCalls(std::size_t count) {
        testing::runUntil(loop, [&] { return waiting.size() == count; });
    }
    void answer(std::size_t call) {
        dependency.server.find(waiting.at(call))->send(FakeHttpServer::reply(200, "good"));
    }

    static constexpr std::size_t kConnections = 2;
    std::ostringstream lines;
    telemetry::Log log;
    telemetry::Counters counters;
    net::Loop loop;
    request::RequestManager requests;
    std::vector<int> waiting;  // numbers of the connections on which calls have arrived
    FakeHttpServer dependency;
    std::unique_ptr<HttpDependencyClient> client;
};

TEST_F(DependencyClientAlone, ACallBeyondTheConnectionLimitIsNotSent) {
    startCall(1);
    startCall(2);
    startCall(3);
    EXPECT_EQ(counters.of(Count::CallsLocalLimit), 1U);
    awaitCalls(2);
    answer(0);
    testing::runUntil(loop, [&] { return client->callsInFlight() == 1; });
    startCall(4);
    EXPECT_EQ(counters.of(Count::CallsLocalLimit), 1U);
    awaitCalls(3);
}

TEST_F(DependencyClientAlone, ASecondCallForARequestAbandonsTheFirst) {
    startCall(1);
    startCall(1);
    EXPECT_EQ(client->callsInFlight(), 1U);
    EXPECT_EQ(counters.of(Count::CallsAbandoned), 1U);
}

// Guards against a call that counts as timed out although its response had arrived before the process
// stalled.
TEST_F(DependencyClientAlone, AResponseInTimeIsReadAfterAStall) {
    startCall(1, 100ms);
    awaitCalls(1);
    answer(0);
    // The response is in the socket's receive buffer once the loop has turned for the dependency.
    dependency.server.find(waiting.at(0))->tryFlush();
    std::this_thread::sleep_for(200ms);
    testing::runUntil(loop, [&] { return client->callsInFlight() == 0; });
    EXPECT_EQ(counters.of(Count::CallsOk), 1U);
    EXPECT_EQ(counters.of(Count::CallsTimedOut), 0U);
}

}  // namespace
}  // namespace cottonwing::dependency
