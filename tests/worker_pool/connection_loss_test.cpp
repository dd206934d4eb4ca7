/// @file
/// Replies to dependency calls when the connection to the worker pool is lost. The worker pool cannot tell to
/// which call a reply belongs: a run takes it for the reply to the call that it waits for. Each test forces
/// one order of events.
#include "helpers.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using telemetry::Count;
using testing::FakeHttpServer;
using testing::FakeWorkerPool;
using testing::Json;
using testing::ServerFixture;
using testing::ThriftTestClient;

const std::string kJob = ThriftTestClient::requestId(1);
const std::string kOnceOnlyRoute = "look";

Json configWithOnceOnlyClass() {
    Json configFile = testing::plainConfigFile();
    configFile["settings"]["classes"][1]["repeat"] = "single_shot";
    configFile["settings"]["family_info"]["class_calls"][1] = true;
    return configFile;
}

// A server whose dependency carries out a call only while the run waits for it, as its protocol says.
struct ConnectionLossTest : ::testing::Test, ServerFixture {
    ConnectionLossTest() : ServerFixture(configWithOnceOnlyClass()) {
        waitUntilHealthy();
        client = std::make_unique<ThriftTestClient>(loop, port());
        dependency.handler = [this](net::Connection&, const std::string&, const std::string& body) {
            if (onCall) onCall(body);
            return isWaitingFor(body) ? reply(body) : FakeHttpServer::reply(409, "", "Op-Not-Begun: 1\r\n");
        };
    }
    // The same call has another reply each time it is made.
    std::string reply(const std::string& body) {
        return FakeHttpServer::reply(200, "re:" + body + std::to_string(++replyCount));
    }
    bool isWaitingFor(const std::string& body) const {
        const auto waiting = currentPool->waitingCalls.find(kJob);
        return waiting != currentPool->waitingCalls.end() && waiting->second == body;
    }
    std::int32_t startRun(const std::string& route, int patience = 4000) {
        const std::int32_t sequence = client->sendRequest(1, "body", route, patience);
        waitUntil([&] { return pool.running.contains(kJob); });
        return sequence;
    }
    std::int32_t startRunAndSupplyFirstCall(const std::string& route) {
        const std::int32_t sequence = startRun(route);
        pool.block(kJob, "first");
        waitUntil([&] { return pool.suppliedReplies.size() == 1; });
        return sequence;
    }
    void finishAndExpectAnswer(std::int32_t sequence) {
        currentPool->finish(kJob, "ok", "result");
        waitUntil([&] { return client->answers.contains(sequence); });
        EXPECT_EQ(client->answers[sequence].body, "result");
        EXPECT_EQ(client->duplicateAnswers, 0);
        expectCountersBalanced();
    }
    void expectEachReplyBelongsToItsCall(const FakeWorkerPool& ofPool) {
        for (const FakeWorkerPool::SuppliedReply& supplied : ofPool.suppliedReplies)
            EXPECT_EQ(supplied.reply.substr(0, supplied.reply.size() - 1), "re:" + supplied.waitingCall);
    }
    long callsOf(const std::string& body) const {
        return std::count(dependency.requestBodies.begin(), dependency.requestBodies.end(), body);
    }

    FakeWorkerPool* currentPool = &pool;
    std::function<void(const std::string& body)> onCall;
    std::unique_ptr<ThriftTestClient> client;
    int replyCount = 0;
};

// For both an idempotent class and one whose requests may run only once.
struct ConnectionLossOfAnyClassTest : ConnectionLossTest, ::testing::WithParamInterface<std::string> {};
INSTANTIATE_TEST_SUITE_P(Classes, ConnectionLossOfAnyClassTest, ::testing::Values("read", kOnceOnlyRoute));

// Guards against wrong results: the reply to the first call arrived before the connection broke, and the run
// came to its second call just after the new connection had caught up. The first reply, sent again, was taken
// for the second.
TEST_P(ConnectionLossOfAnyClassTest, TheReplyToACallIsNotSuppliedToTheNextCall) {
    const std::int32_t sequence = startRunAndSupplyFirstCall(GetParam());
    pool.afterPollAnswer = [&](const std::string&) {
        pool.afterPollAnswer = nullptr;
        pool.block(kJob, "second");
    };
    pool.server.closeConnections();
    waitUntil([&] { return isWaitingFor("second"); });
    waitUntil([&] { return pool.suppliedReplies.size() >= 2 && pool.waitingCalls.empty(); });
    expectEachReplyBelongsToItsCall(pool);
    EXPECT_EQ(pool.suppliedReplies.size(), 2U);
    finishAndExpectAnswer(sequence);
}

// Guards against the same fault when a configuration reload moves the connection to a new address.
TEST_P(ConnectionLossOfAnyClassTest, TheReplyToACallIsNotSuppliedToTheNextCallAfterAnAddressChange) {
    const std::int32_t sequence = startRunAndSupplyFirstCall(GetParam());
    FakeWorkerPool newPool(loop);
    newPool.lastNumber = pool.lastNumber;
    currentPool = &newPool;
    newPool.afterPollAnswer = [&](const std::string&) {
        newPool.afterPollAnswer = nullptr;
        newPool.block(kJob, "second");
    };
    Json configFile = configWithOnceOnlyClass();
    const auto text = [](const net::Address& at) { return at.host + ":" + std::to_string(at.port); };
    configFile["pool"] = text(newPool.server.address());
    configFile["records"] = text(dependency.server.address());
    configFile["registry"] = text(registry.server.address());
    reloadWith(configFile);
    waitUntil([&] { return isWaitingFor("second"); });
    waitUntil([&] { return !newPool.suppliedReplies.empty() && newPool.waitingCalls.empty(); });
    expectEachReplyBelongsToItsCall(newPool);
    EXPECT_EQ(newPool.suppliedReplies.size(), 1U);
    finishAndExpectAnswer(sequence);
}

// Guards against requests that wait for nothing: a start that fell into the time without a connection was
// certainly not received, so it is sent on the new connection, and only once.
TEST_P(ConnectionLossOfAnyClassTest, ARunThatCouldNotBeStartedIsStartedOnTheNewConnection) {
    pool.available = false;
    pool.server.closeConnections();
    waitUntil([&] { return pool.bindMessages.size() == 2; });
    const std::int32_t sequence = client->sendRequest(1, "body", GetParam());
    waitUntil([&] { return count(Count::RunsStarted) == 1; });
    EXPECT_EQ(pool.startCount, 0);
    pool.available = true;
    pool.server.closeConnections();
    waitUntil([&] { return pool.running.contains(kJob); });
    EXPECT_EQ(pool.startCount, 1);
    finishAndExpectAnswer(sequence);
}

// Guards against runs that wait for nothing: a reply that came while there was no connection was certainly
// not received, so it is sent on the new connection, and only once.
TEST_P(ConnectionLossOfAnyClassTest, AReplyThatCameWithoutAConnectionIsSuppliedOnce) {
    const std::int32_t sequence = startRun(GetParam());
    onCall = [&](const std::string&) { pool.server.closeConnections(); };
    pool.available = false;
    pool.block(kJob, "first");
    waitUntil([&] { return count(Count::CallsOk) == 1; });
    EXPECT_TRUE(pool.suppliedReplies.empty());
    pool.available = true;
    pool.server.closeConnections();
    waitUntil([&] { return pool.suppliedReplies.size() == 1; });
    const int polls = pool.pollCount;
    waitUntil([&] { return pool.pollCount > polls + 3; });
    EXPECT_EQ(pool.suppliedReplies.size(), 1U);
    EXPECT_EQ(callsOf("first"), 1);
    expectEachReplyBelongsToItsCall(pool);
    finishAndExpectAnswer(sequence);
}

// Guards against runs that wait for nothing: the reply to the call of an idempotent request was lost with the
// connection. The call is made once more, which proves that the run waits for it.
TEST_F(ConnectionLossTest, ALostReplyToAnIdempotentRequestIsReplaced) {
    const std::int32_t sequence = startRun("read");
    pool.losesCommands = true;
    pool.block(kJob, "first");
    waitUntil([&] { return count(Count::CallsOk) == 1; });
    pool.server.closeConnections();
    pool.losesCommands = false;
    waitUntil([&] { return pool.suppliedReplies.size() == 1; });
    expectEachReplyBelongsToItsCall(pool);
    EXPECT_EQ(pool.suppliedReplies[0].reply, "re:first2");  // the reply to the call as it was made last
    EXPECT_EQ(count(Count::ContinuationsUnconfirmed), 1U);
    EXPECT_EQ(count(Count::ContinuationsResent), 1U);
    finishAndExpectAnswer(sequence);
}

// Guards against wrong results: the dependency carries out the repeated call, as the run waits for a call,
// but that is already the next one, and its report is still on its way.
TEST_F(ConnectionLossTest, ARepeatedReplyIsNotSuppliedBeforeEarlierReportsAreRead) {
    const std::int32_t sequence = startRunAndSupplyFirstCall("read");
    dependency.handler = [&](net::Connection&, const std::string&, const std::string& body) {
        if (body == "first" && callsOf("first") == 2) {
            pool.waitingCalls[kJob] = "second";
            pool.beforePollAnswer = [&](const std::string&) {
                pool.beforePollAnswer = nullptr;
                pool.block(kJob, "second");
            };
        }
        return reply(body);
    };
    pool.server.closeConnections();
    waitUntil([&] { return pool.suppliedReplies.size() >= 2 && pool.waitingCalls.empty(); });
    expectEachReplyBelongsToItsCall(pool);
    EXPECT_EQ(pool.suppliedReplies.size(), 2U);
    finishAndExpectAnswer(sequence);
}

// Guards against a second effect and against a request without an answer: the call of a request that may run
// only once is not made again. If the reply to it was lost, the request fails.
TEST_F(ConnectionLossTest, ALostReplyToAOnceOnlyRequestFailsIt) {
    const std::int32_t sequence = startRun(kOnceOnlyRoute, 4000);
    pool.losesCommands = true;
    pool.block(kJob, "first");
    waitUntil([&] { return count(Count::CallsOk) == 1; });
    pool.server.closeConnections();
    pool.losesCommands = false;
    const Timestamp deadline = net::unixNow() + 4s;
    waitUntil([&] { return client->answers.contains(sequence); });
    EXPECT_LT(net::unixNow(), deadline);
    EXPECT_EQ(client->answers[sequence].kind, "failed");
    waitUntil([&] { return !pool.suspendedRuns.empty(); });
    EXPECT_TRUE(pool.suppliedReplies.empty());
    EXPECT_EQ(callsOf("first"), 1);
    waitUntil([&] { return server->requestManager().trackedCount() == 0; });
    EXPECT_EQ(client->duplicateAnswers, 0);
    expectCountersBalanced();
}

// Guards against runs that are given up although they go on: the repeated call cannot be made, but the run
// had received the reply.
TEST_F(ConnectionLossTest, ARunThatReceivedItsReplyGoesOnAlthoughItsCallCannotBeRepeated) {
    const std::int32_t sequence = startRunAndSupplyFirstCall("read");
    dependency.handler = [&](net::Connection&, const std::string&, const std::string&) {
        return FakeHttpServer::reply(500);
    };
    pool.server.closeConnections();
    waitUntil([&] { return count(Count::CallsError) >= 1; });
    const int polls = pool.pollCount;
    waitUntil([&] { return pool.pollCount > polls + 2; });
    EXPECT_FALSE(client->answers.contains(sequence));
    finishAndExpectAnswer(sequence);
}

// Guards against needless calls: a reply that the worker pool has received, by its answer to a later poll, is
// not in doubt when the connection breaks.
TEST_F(ConnectionLossTest, AReplyConfirmedByALaterPollIsNotInDoubt) {
    const std::int32_t sequence = startRunAndSupplyFirstCall("read");
    const Duration from = net::unixNow();
    waitUntil([&] { return net::unixNow() > from + 100ms; });  // more than the 50 ms of the protocol
    const int polls = pool.pollCount;
    waitUntil([&] { return pool.pollCount > polls + 3; });
    pool.server.closeConnections();
    waitUntil([&] { return pool.bindMessages.size() == 2; });
    const int pollsAfter = pool.pollCount;
    waitUntil([&] { return pool.pollCount > pollsAfter + 3; });
    EXPECT_EQ(count(Count::ContinuationsUnconfirmed), 0U);
    EXPECT_EQ(callsOf("first"), 1);
    finishAndExpectAnswer(sequence);
}

}  // namespace
}  // namespace cottonwing
