/// @file
/// The worker pool client in the complete server with fake peers on loopback.
#include "worker_pool/worker_pool_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "support/server_with_client.h"

namespace cottonwing::worker_pool {
namespace {

using namespace std::chrono_literals;
using net::ConnectionEnd;
using telemetry::Count;
using testing::Json;
using testing::ServerWithClient;
using testing::ThriftTestClient;

TEST(WorkerPoolClient, AfterReconnectMissedNoticesAreReadAndStartsRepeated) {
    ServerWithClient fixture;
    const std::int32_t first = fixture.client->sendRequest(1), second = fixture.client->sendRequest(2),
                       third = fixture.client->sendRequest(3);
    fixture.awaitRun(3);
    fixture.pool.block(ThriftTestClient::requestId(3), "call");
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(3)); });
    fixture.pool.server.closeConnections();
    // While disconnected, the end of one run is not delivered, and another run and a dependency response are
    // lost.
    fixture.finish(1, "ok", "while away");
    fixture.pool.running.erase(ThriftTestClient::requestId(2));
    fixture.pool.dependencyResponses.clear();
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(3)); });
    EXPECT_EQ(fixture.awaitAnswer(first).body, "while away");
    EXPECT_EQ(fixture.pool.bindMessages.back()["n"], 1);
    EXPECT_TRUE(fixture.pool.running.contains(ThriftTestClient::requestId(2)));
    EXPECT_EQ(fixture.pool.startCount, 5);  // three, and the two unfinished ones again
    fixture.finish(2);
    fixture.finish(3);
    fixture.awaitAnswer(second);
    fixture.awaitAnswer(third);
    EXPECT_EQ(fixture.client->duplicateAnswers, 0);
    fixture.expectCountersBalanced();
}

TEST(WorkerPoolClient, AfterReconnectNonIdempotentRequestsAreNotStartedAgain) {
    Json configFile = testing::plainConfigFile();
    configFile["settings"]["classes"][1]["repeat"] = "single_shot";
    ServerWithClient fixture(configFile);
    const std::int32_t once = fixture.client->sendRequest(1, "", "look");
    const std::int32_t often = fixture.client->sendRequest(2);
    fixture.awaitRun(1);
    fixture.awaitRun(2);
    fixture.pool.server.closeConnections();
    fixture.waitUntil([&] { return fixture.pool.startCount == 3; });
    fixture.finish(1);
    fixture.finish(2);
    fixture.awaitAnswer(once);
    fixture.awaitAnswer(often);
    EXPECT_EQ(fixture.pool.startCount, 3);  // only the idempotent one was started again
}

TEST(WorkerPoolClient, DropsNoticesThatWereSeen) {
    ServerWithClient fixture;
    const std::int32_t sequence = fixture.sendRequestWithCall(1);
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(1)); });
    fixture.pool.send(fixture.pool.notices.back());
    fixture.pool.send({{"type", "chatter"}, {"n", ++fixture.pool.lastNumber}, {"state", "as it goes"}});
    fixture.pool.server.connections.back().connection->send("{not a line}\n");
    fixture.finish(1);
    fixture.awaitAnswer(sequence);
    EXPECT_EQ(fixture.count(Count::CallsStarted), 1U);
    EXPECT_EQ(fixture.count(Count::WorkerPoolMalformedMessages), 1U);
}

TEST(WorkerPoolClient, AStartOfAnUnknownRequestFailsIt) {
    ServerWithClient fixture;
    fixture.pool.unknownRequests.push_back(ThriftTestClient::requestId(1));
    EXPECT_EQ(fixture.awaitAnswer(fixture.client->sendRequest(1)).kind, "failed");
    EXPECT_EQ(fixture.count(Count::WorkerPoolUnknownRequests), 1U);
    // Requests that the worker pool does not know do not make the server unhealthy for other clients.
    for (int i = 2; i < 30; ++i) {
        if (i % 6 == 0) fixture.client = std::make_unique<ThriftTestClient>(fixture.loop, fixture.port());
        fixture.pool.unknownRequests.push_back(ThriftTestClient::requestId(i));
        EXPECT_EQ(fixture.awaitAnswer(fixture.client->sendRequest(i)).kind, "failed");
    }
    EXPECT_TRUE(fixture.server->requestManager().healthy());
    fixture.expectCountersBalanced();
}

TEST(WorkerPoolClient, ReconnectsWhenPollsGetNoAnswer) {
    ServerWithClient fixture;
    fixture.pool.answersPolls = false;  // and sends nothing else
    fixture.waitUntil([&] { return fixture.pool.bindMessages.size() == 2; });
    EXPECT_EQ(fixture.count(ConnectionEnd::TimedOut), 1U);
}

// A worker pool can miss only messages that were sent shortly before the connection broke.
TEST(WorkerPoolClient, AfterReconnectOnlyRecentDependencyResponsesAreSentAgain) {
    ServerWithClient fixture;
    fixture.sendRequestWithCall(1);
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(1)); });
    const Duration from = net::unixNow();
    fixture.waitUntil([&] { return net::unixNow() > from + 1100ms; });
    fixture.sendRequestWithCall(2);
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(2)); });
    fixture.pool.dependencyResponses.clear();
    fixture.pool.server.closeConnections();
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(2)); });
    EXPECT_FALSE(fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(1)));
}

TEST(WorkerPoolClient, EventBatchesGoOnWithoutGauges) {
    ServerWithClient fixture;
    fixture.pool.answersPolls = false;
    const int polls = fixture.pool.pollCount;
    fixture.waitUntil([&] { return fixture.pool.pollCount > polls + 10; });
    const std::int32_t sequence = fixture.client->sendRequest(1);
    fixture.awaitRun(1);
    fixture.finish(1);
    EXPECT_EQ(fixture.awaitAnswer(sequence).kind, "answer");
}

}  // namespace
}  // namespace cottonwing::worker_pool
