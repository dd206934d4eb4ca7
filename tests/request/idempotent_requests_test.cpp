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

Json startWithKeyedClass() {
    Json all = testing::plainConfigFile();
    Json& settings = all["settings"];
    settings["classes"][0]["repeat"] = "guarded";
    settings["classes"][0]["window_us"] = 30000000;
    settings["classes"].push_back({{"name", "pay"},
                                   {"repeat", "single_shot"},
                                   {"aim_us", 2000000},
                                   {"deadline_us", 5000000},
                                   {"worth", 5}});
    settings["family_info"]["class_calls"] = {true, false, true};
    settings["family_info"]["degraded_worth"] = {0, 0, 0.5};
    return all;
}

struct IdempotentRequests : ServerFixture {
    explicit IdempotentRequests(Json start = startWithKeyedClass()) : ServerFixture(std::move(start)) {
        bound();
        sidecar = std::make_unique<ThriftTestClient>(loop, port());
    }
    // An attempt with the key, under a request id of its own.
    std::int32_t ask(int number, const std::string& key, const std::string& body = "body") {
        testing::FieldMap fields = ThriftTestClient::fields(number);
        if (!key.empty()) fields["nonce"] = key;
        sidecar->say(frames::serve(++sidecar->sequence, fields, body));
        return sidecar->sequence;
    }
    const frames::Read& answer(std::int32_t sequence) {
        wait([&] { return sidecar->answers.contains(sequence); });
        return sidecar->answers[sequence];
    }
    void running(int number) {
        wait([&] { return pool.running.contains(ThriftTestClient::trace(number)); });
    }
    std::unique_ptr<ThriftTestClient> sidecar;
};

TEST(IdempotentRequestsTest, DuplicatesShareOneRun) {
    IdempotentRequests on;
    const auto first = on.ask(1, "k1");
    on.running(1);
    const auto second = on.ask(2, "k1");
    on.wait([&] { return on.count(Count::DuplicateRequests) == 1; });
    on.pool.finish(ThriftTestClient::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(first).body, "result");
    EXPECT_EQ(on.answer(second).kind, "answer");
    EXPECT_EQ(on.answer(second).body, "result");
    const auto third = on.ask(3, "k1");  // after the end
    EXPECT_EQ(on.answer(third).body, "result");
    EXPECT_EQ(on.pool.starts, 1);
    on.expectBooksClosed();
}

TEST(IdempotentRequestsTest, ADuplicateReadInTheSameTurnWaitsForTheFirstAttempt) {
    IdempotentRequests on;
    testing::FieldMap one = ThriftTestClient::fields(1);
    testing::FieldMap two = ThriftTestClient::fields(2);
    one["nonce"] = "k1";
    two["nonce"] = "k1";
    on.sidecar->say(frames::serve(1, one, "body") + frames::serve(2, two, "body"));
    on.running(1);
    on.pool.finish(ThriftTestClient::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(1).body, "result");
    EXPECT_EQ(on.answer(2).body, "result");
    EXPECT_EQ(on.pool.starts, 1);
}

TEST(IdempotentRequestsTest, ADuplicateOfAFailedRequestFails) {
    IdempotentRequests on;
    const auto first = on.ask(1, "k1");
    on.running(1);
    on.pool.finish(ThriftTestClient::trace(1), "failed");
    EXPECT_EQ(on.answer(first).kind, "failed");
    EXPECT_EQ(on.answer(on.ask(2, "k1")).kind, "failed");  // a rejection would mean that it never ran
    EXPECT_EQ(on.pool.starts, 1);
}

TEST(IdempotentRequestsTest, ARequestThatNeverRanMayBeRetried) {
    IdempotentRequests on;
    on.pool.refused.push_back(ThriftTestClient::trace(1));
    EXPECT_EQ(on.answer(on.ask(1, "k1")).kind, "failed");
    const auto again = on.ask(2, "k1");
    on.running(2);
    on.pool.finish(ThriftTestClient::trace(2), "ok", "result");
    EXPECT_EQ(on.answer(again).body, "result");
}

// A client that used another's key with a body of its own was once answered with the other's result.
TEST(IdempotentRequestsTest, AKeyWithAnotherBodyFails) {
    IdempotentRequests on;
    const auto first = on.ask(1, "k1", "mine");
    on.running(1);
    EXPECT_EQ(on.answer(on.ask(2, "k1", "theirs")).kind, "failed");
    on.pool.finish(ThriftTestClient::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(first).body, "result");
    EXPECT_EQ(on.answer(on.ask(3, "k1", "theirs")).kind, "failed");
    EXPECT_EQ(on.count(Count::KeyConflicts), 2U);
    EXPECT_EQ(on.pool.starts, 1);
    on.expectBooksClosed();
}

TEST(IdempotentRequestsTest, AKeyIsRequiredAndLimitedInLength) {
    IdempotentRequests on;
    EXPECT_EQ(on.answer(on.ask(1, "")).kind, "refusal");
    EXPECT_EQ(on.answer(on.ask(2, std::string(65, 'k'))).kind, "refusal");
    EXPECT_EQ(on.count(Count::RequestsRead), 0U);
}

TEST(IdempotentRequestsTest, ACancelledDuplicateIsNotAnswered) {
    IdempotentRequests on;
    const auto first = on.ask(1, "k1");
    on.running(1);
    const auto second = on.ask(2, "k1");
    on.wait([&] { return on.count(Count::DuplicateRequests) == 1; });
    on.sidecar->say(frames::forget(99, second));
    on.wait([&] { return on.count(Count::ClientCancellations) == 1; });
    on.pool.finish(ThriftTestClient::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(first).body, "result");
    EXPECT_FALSE(on.sidecar->answers.contains(second));
    on.expectBooksClosed();
}

// After the grace nothing may start, and a duplicate of a request that ran may not be rejected either.
TEST(IdempotentRequestsTest, ADuplicateAfterTheGraceIsAnsweredFromTheResult) {
    Json start = startWithKeyedClass();
    start["settings"]["obligations"]["drain_grace_us"] = 0;
    start["stop_ms"] = 4000;
    IdempotentRequests on(start);
    const auto kept = on.ask(5, "other");  // keeps the connection in use
    on.running(5);
    on.ask(1, "k1");
    on.running(1);
    on.pool.finish(ThriftTestClient::trace(1), "ok", "result");
    on.program->beginShutdown();
    on.wait([&] { return on.sidecar->goaways > 0; });
    // Requests tell their arrival in whole milliseconds: one of this millisecond may predate the notice.
    const auto noticedIn = net::unixNow() / 1ms;
    on.wait([&] { return net::unixNow() / 1ms > noticedIn; });
    const auto duplicate = on.ask(2, "k1");
    const auto newRequest = on.ask(3, "k2");
    EXPECT_EQ(on.answer(duplicate).body, "result");
    EXPECT_EQ(on.answer(newRequest).kind, "busy");
    on.pool.finish(ThriftTestClient::trace(5), "ok", "done");
    EXPECT_EQ(on.answer(kept).body, "done");
}

TEST(IdempotentRequestsTest, AFailedCallIsSkippedWhereTheClassAllowsADegradedResponse) {
    IdempotentRequests on;
    on.records.answer = [](net::Connection&, const std::string&, const std::string&) {
        return testing::FakeHttpServer::reply(500);
    };
    const auto sequence = on.sidecar->ask(1, "body", "pay");
    on.running(1);
    on.pool.block(ThriftTestClient::trace(1), "call");
    on.wait([&] { return !on.pool.passed.empty(); });
    EXPECT_EQ(on.pool.passed.front(), ThriftTestClient::trace(1));
    on.pool.finish(ThriftTestClient::trace(1), "ok", "poorer");
    EXPECT_EQ(on.answer(sequence).body, "poorer");
}

// A start that was lost with the connection: nothing tells whether the request ran, so it is not started
// again while its client waits. Once it is over it is: the executor then reports that nothing ran, and the
// request leaves the table.
TEST(IdempotentRequestsTest, AnUnconfirmedStartIsInquiredAfterOnceTheRequestIsOver) {
    IdempotentRequests on;
    testing::FieldMap fields = ThriftTestClient::fields(1, "pay", 1500);
    on.sidecar->say(frames::serve(++on.sidecar->sequence, fields, "body"));
    on.running(1);
    on.pool.running.clear();  // lost
    on.pool.server.hangUp();
    on.wait([&] { return on.count(Count::WorkerPoolConnections) == 2; });
    EXPECT_EQ(on.answer(1).kind, "failed");
    EXPECT_EQ(on.pool.starts, 1);
    EXPECT_EQ(on.program->requestManager().trackedCount(), 1U);
    on.wait([&] { return on.pool.starts == 2; });
    on.pool.finish(ThriftTestClient::trace(1), "void");
    on.wait([&] { return on.program->requestManager().trackedCount() == 0; });
    on.expectBooksClosed();
}

}  // namespace
}  // namespace cottonwing
