/// @file
/// Requests with an idempotency key through the whole server on loopback.
#include <gtest/gtest.h>

#include "helpers.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using telemetry::Count;
using testing::Json;
using testing::ServerFixture;
using testing::ThriftTestClient;
namespace frames = testing::frames;

Json configWithKeyedClass() {
    Json config = testing::plainConfigFile();
    Json& settings = config["settings"];
    settings["classes"][0]["repeat"] = "guarded";
    settings["classes"][0]["window_us"] = 30000000;
    settings["classes"].push_back({{"name", "pay"},
                                   {"repeat", "single_shot"},
                                   {"aim_us", 2000000},
                                   {"deadline_us", 5000000},
                                   {"worth", 5}});
    settings["family_info"]["class_calls"] = {true, false, true};
    settings["family_info"]["degraded_worth"] = {0, 0, 0.5};
    return config;
}

struct IdempotentRequests : ServerFixture {
    explicit IdempotentRequests(Json config = configWithKeyedClass()) : ServerFixture(std::move(config)) {
        waitUntilHealthy();
        client = std::make_unique<ThriftTestClient>(loop, port());
    }
    // Sends an attempt with the key and with its own request id.
    std::int32_t sendAttempt(int number, const std::string& key, const std::string& body = "body") {
        testing::FieldMap fields = ThriftTestClient::requestFields(number);
        if (!key.empty()) fields["nonce"] = key;
        client->send(frames::serve(++client->sequence, fields, body));
        return client->sequence;
    }
    const frames::Message& awaitAnswer(std::int32_t sequence) {
        waitUntil([&] { return client->answers.contains(sequence); });
        return client->answers[sequence];
    }
    void awaitRun(int number) {
        waitUntil([&] { return pool.running.contains(ThriftTestClient::requestId(number)); });
    }
    std::unique_ptr<ThriftTestClient> client;
};

TEST(IdempotentRequestsTest, DuplicatesShareOneRun) {
    IdempotentRequests fixture;
    const auto first = fixture.sendAttempt(1, "k1");
    fixture.awaitRun(1);
    const auto second = fixture.sendAttempt(2, "k1");
    fixture.waitUntil([&] { return fixture.count(Count::DuplicateRequests) == 1; });
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "result");
    EXPECT_EQ(fixture.awaitAnswer(first).body, "result");
    EXPECT_EQ(fixture.awaitAnswer(second).kind, "answer");
    EXPECT_EQ(fixture.awaitAnswer(second).body, "result");
    const auto third = fixture.sendAttempt(3, "k1");  // after the run ended
    EXPECT_EQ(fixture.awaitAnswer(third).body, "result");
    EXPECT_EQ(fixture.pool.startCount, 1);
    fixture.expectCountersBalanced();
}

// Guards against a second run: the id 0 of the attempt that holds the key was taken for "no attempt holds
// it".
TEST(IdempotentRequestsTest, DuplicatesOfAnAttemptWithTheIdZeroShareItsRun) {
    IdempotentRequests fixture;
    const auto first = fixture.sendAttempt(0, "k1");
    fixture.awaitRun(0);
    const auto second = fixture.sendAttempt(2, "k1");
    fixture.waitUntil([&] { return fixture.count(Count::DuplicateRequests) == 1; });
    fixture.pool.finish(ThriftTestClient::requestId(0), "ok", "result");
    EXPECT_EQ(fixture.awaitAnswer(first).body, "result");
    EXPECT_EQ(fixture.awaitAnswer(second).body, "result");
    const auto third = fixture.sendAttempt(3, "k1");  // after the run ended
    EXPECT_EQ(fixture.awaitAnswer(third).body, "result");
    EXPECT_EQ(fixture.pool.startCount, 1);
    fixture.expectCountersBalanced();
}

TEST(IdempotentRequestsTest, ADuplicateReadInTheSameTurnWaitsForTheFirstAttempt) {
    IdempotentRequests fixture;
    testing::FieldMap one = ThriftTestClient::requestFields(1);
    testing::FieldMap two = ThriftTestClient::requestFields(2);
    one["nonce"] = "k1";
    two["nonce"] = "k1";
    fixture.client->send(frames::serve(1, one, "body") + frames::serve(2, two, "body"));
    fixture.awaitRun(1);
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "result");
    EXPECT_EQ(fixture.awaitAnswer(1).body, "result");
    EXPECT_EQ(fixture.awaitAnswer(2).body, "result");
    EXPECT_EQ(fixture.pool.startCount, 1);
}

TEST(IdempotentRequestsTest, ADuplicateOfAFailedRequestFails) {
    IdempotentRequests fixture;
    const auto first = fixture.sendAttempt(1, "k1");
    fixture.awaitRun(1);
    fixture.pool.finish(ThriftTestClient::requestId(1), "failed");
    EXPECT_EQ(fixture.awaitAnswer(first).kind, "failed");
    // A rejection would mean that it never ran.
    EXPECT_EQ(fixture.awaitAnswer(fixture.sendAttempt(2, "k1")).kind, "failed");
    EXPECT_EQ(fixture.pool.startCount, 1);
}

TEST(IdempotentRequestsTest, ARequestThatNeverRanMayBeRetried) {
    IdempotentRequests fixture;
    fixture.pool.unknownRequests.push_back(ThriftTestClient::requestId(1));
    EXPECT_EQ(fixture.awaitAnswer(fixture.sendAttempt(1, "k1")).kind, "failed");
    const auto again = fixture.sendAttempt(2, "k1");
    fixture.awaitRun(2);
    fixture.pool.finish(ThriftTestClient::requestId(2), "ok", "result");
    EXPECT_EQ(fixture.awaitAnswer(again).body, "result");
}

// Regression: a client that sent another client's key with a different body received the other client's
// result.
TEST(IdempotentRequestsTest, AKeyWithAnotherBodyFails) {
    IdempotentRequests fixture;
    const auto first = fixture.sendAttempt(1, "k1", "mine");
    fixture.awaitRun(1);
    EXPECT_EQ(fixture.awaitAnswer(fixture.sendAttempt(2, "k1", "theirs")).kind, "failed");
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "result");
    EXPECT_EQ(fixture.awaitAnswer(first).body, "result");
    EXPECT_EQ(fixture.awaitAnswer(fixture.sendAttempt(3, "k1", "theirs")).kind, "failed");
    EXPECT_EQ(fixture.count(Count::KeyConflicts), 2U);
    EXPECT_EQ(fixture.pool.startCount, 1);
    fixture.expectCountersBalanced();
}

TEST(IdempotentRequestsTest, AKeyIsRequiredAndLimitedInLength) {
    IdempotentRequests fixture;
    EXPECT_EQ(fixture.awaitAnswer(fixture.sendAttempt(1, "")).kind, "refusal");
    EXPECT_EQ(fixture.awaitAnswer(fixture.sendAttempt(2, std::string(65, 'k'))).kind, "refusal");
    EXPECT_EQ(fixture.count(Count::RequestsRead), 0U);
}

TEST(IdempotentRequestsTest, ACancelledDuplicateIsNotAnswered) {
    IdempotentRequests fixture;
    const auto first = fixture.sendAttempt(1, "k1");
    fixture.awaitRun(1);
    const auto second = fixture.sendAttempt(2, "k1");
    fixture.waitUntil([&] { return fixture.count(Count::DuplicateRequests) == 1; });
    fixture.client->send(frames::forget(99, second));
    fixture.waitUntil([&] { return fixture.count(Count::ClientCancellations) == 1; });
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "result");
    EXPECT_EQ(fixture.awaitAnswer(first).body, "result");
    EXPECT_FALSE(fixture.client->answers.contains(second));
    fixture.expectCountersBalanced();
}

// After the drain grace no run may start, but a duplicate of a request that ran must not be rejected either:
// it gets the stored result.
TEST(IdempotentRequestsTest, ADuplicateAfterTheDrainGraceGetsTheStoredResult) {
    Json config = configWithKeyedClass();
    config["settings"]["obligations"]["drain_grace_us"] = 0;
    config["stop_ms"] = 4000;
    IdempotentRequests fixture(config);
    const auto inUse = fixture.sendAttempt(5, "other");  // keeps the connection in use
    fixture.awaitRun(5);
    fixture.sendAttempt(1, "k1");
    fixture.awaitRun(1);
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "result");
    fixture.server->beginShutdown();
    fixture.waitUntil([&] { return fixture.client->goawayCount > 0; });
    // Arrival times are sent in whole milliseconds, so a request of this millisecond may appear to predate
    // the shutdown notice.
    const auto noticedIn = net::unixNow() / 1ms;
    fixture.waitUntil([&] { return net::unixNow() / 1ms > noticedIn; });
    const auto duplicate = fixture.sendAttempt(2, "k1");
    const auto newRequest = fixture.sendAttempt(3, "k2");
    EXPECT_EQ(fixture.awaitAnswer(duplicate).body, "result");
    EXPECT_EQ(fixture.awaitAnswer(newRequest).kind, "busy");
    fixture.pool.finish(ThriftTestClient::requestId(5), "ok", "done");
    EXPECT_EQ(fixture.awaitAnswer(inUse).body, "done");
}

TEST(IdempotentRequestsTest, AFailedCallIsSkippedWhereTheClassAllowsADegradedResponse) {
    IdempotentRequests fixture;
    fixture.dependency.handler = [](net::Connection&, const std::string&, const std::string&) {
        return testing::FakeHttpServer::reply(500);
    };
    const auto sequence = fixture.client->sendRequest(1, "body", "pay");
    fixture.awaitRun(1);
    fixture.pool.block(ThriftTestClient::requestId(1), "call");
    fixture.waitUntil([&] { return !fixture.pool.skippedCalls.empty(); });
    EXPECT_EQ(fixture.pool.skippedCalls.front(), ThriftTestClient::requestId(1));
    fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "poorer");
    EXPECT_EQ(fixture.awaitAnswer(sequence).body, "poorer");
}

// A start is lost with the connection. It is unknown whether the request ran, so it is not started again
// while its client waits. It is started again after its client was answered: the executor then reports that
// nothing ran, and the request is removed from the table.
TEST(IdempotentRequestsTest, AnUnconfirmedStartIsCheckedOnceItsClientHasBeenAnswered) {
    IdempotentRequests fixture;
    testing::FieldMap fields = ThriftTestClient::requestFields(1, "pay", 1500);
    fixture.client->send(frames::serve(++fixture.client->sequence, fields, "body"));
    fixture.awaitRun(1);
    fixture.pool.running.clear();  // lost
    fixture.pool.server.closeConnections();
    fixture.waitUntil([&] { return fixture.count(Count::WorkerPoolConnections) == 2; });
    EXPECT_EQ(fixture.awaitAnswer(1).kind, "failed");
    EXPECT_EQ(fixture.pool.startCount, 1);
    EXPECT_EQ(fixture.server->requestManager().trackedCount(), 1U);
    fixture.waitUntil([&] { return fixture.pool.startCount == 2; });
    fixture.pool.finish(ThriftTestClient::requestId(1), "void");
    fixture.waitUntil([&] { return fixture.server->requestManager().trackedCount() == 0; });
    fixture.expectCountersBalanced();
}

}  // namespace
}  // namespace cottonwing
