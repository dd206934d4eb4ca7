/// @file
/// The request manager with a protocol server, an executor and a dependency client that only record calls.
/// The overload controller is the real one and has spare capacity.
#include "request/request_manager.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>

namespace cottonwing::request {
namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr int kIdempotentClass = 0;
constexpr int kKeyedClass = 1;
constexpr int kNonIdempotentClass = 2;

ControllerConfig configWithSpareCapacity() {
    RequestClass idempotent;
    idempotent.latencyObjective = 2s;
    idempotent.timeout = 60s;
    idempotent.callsDependency = true;
    RequestClass keyed = idempotent;
    keyed.idempotency = Idempotency::WithKey;
    keyed.idempotencyWindow = 60s;
    RequestClass nonIdempotent = idempotent;
    nonIdempotent.idempotency = Idempotency::None;
    ControllerConfig config;
    config.seed = 7;
    config.requestClasses = {idempotent, keyed, nonIdempotent};
    config.cores = 8;
    config.memoryLimitKb = 1e6;
    config.runCancellation = RunCancellation::Suspend;
    config.dependency = DependencyKind::Tier;
    config.drainGrace = 1s;
    config.overloadFactor = 4;
    config.overloadWindow = 1500ms;
    config.maxConnectionIdle = 30s;
    return config;
}

struct RecordingSink : ResponseSink {
    bool isClientConnected(RequestId /*id*/) override { return true; }
    void completed(RequestId id, std::string_view result) override {
        answers[id] = "completed " + std::string(result);
        ++answerCount;
    }
    void rejected(RequestId id, const Pushback& /*pushback*/) override {
        answers[id] = "rejected";
        ++answerCount;
    }
    void failed(RequestId id) override {
        answers[id] = "failed";
        ++answerCount;
    }
    void failedByClient(RequestId id) override {
        answers[id] = "failed by client";
        ++answerCount;
    }
    void setIdleTimeout(Duration /*idleTimeout*/) override {}

    std::map<RequestId, std::string> answers;
    int answerCount = 0;
};

struct RecordingExecutor : Executor {
    bool start(const RunSpec& run) override {
        if (connected) sent.push_back("start " + run.externalId);
        return connected;
    }
    void cancel(const std::string& externalId) override { sent.push_back("cancel " + externalId); }
    bool supplyReply(const std::string& externalId, std::string_view reply) override {
        if (connected) sent.push_back("supply " + externalId + " " + std::string(reply));
        return connected;
    }
    bool skipDependencyCall(const std::string& externalId) override {
        if (connected) sent.push_back("skip " + externalId);
        return connected;
    }
    void confirmReports(RequestId id) override { sent.push_back("confirm reports " + std::to_string(id)); }
    void requestGauges() override {}
    void verifyWork(std::function<void(std::optional<bool>)> onVerified) override {
        ++verifications;
        onVerified(verificationResult);
    }

    std::vector<std::string> sent;
    bool connected = true;
    int verifications = 0;
    std::optional<bool> verificationResult;
};

struct RecordingDependencyClient : DependencyClient {
    void startCall(RequestId id, const std::string& /*externalId*/, Duration /*timeout*/,
                   std::string_view body) override {
        started[id] = std::string(body);
    }
    void abandonCall(RequestId id) override { abandoned.push_back(id); }

    std::map<RequestId, std::string> started;
    std::vector<RequestId> abandoned;
};

struct RequestManagerTest : ::testing::Test {
    RequestManagerTest() { manager.attach(sink, executor, dependencyClient); }

    void becomeReady() {
        manager.executorReady(false, 60s);
        manager.processEvents();
    }
    void accept(RequestId id, int requestClass = kIdempotentClass, const std::string& key = "") {
        IncomingRequest incoming;
        incoming.request.id = id;
        incoming.request.requestClass = requestClass;
        incoming.externalId = std::to_string(id);
        incoming.body = "body";
        incoming.idempotencyKey = key;
        manager.accept(std::move(incoming));
    }
    void acceptAndStart(RequestId id, int requestClass = kIdempotentClass, const std::string& key = "") {
        accept(id, requestClass, key);
        manager.processEvents();
        ASSERT_EQ(executor.sent.back(), "start " + std::to_string(id));
    }
    void complete(RequestId id, Outcome outcome = Outcome::Ok, std::string_view result = "result") {
        manager.runCompleted(id, outcome, 5ms, result);
    }
    // Starts a run and supplies it with the reply to its dependency call.
    void supplyReply(RequestId id, int requestClass, const std::string& callBody,
                     const std::string& key = "") {
        acceptAndStart(id, requestClass, key);
        manager.runWaitsForDependency(id, callBody);
        manager.processEvents();
        manager.dependencyCallCompleted(id, Outcome::Ok, 5ms, "reply");
        manager.processEvents();
    }
    void loseAndRestoreConnection() {
        manager.executorConnectionLost();
        manager.resumeRuns();
    }
    void expectNothingTracked() {
        manager.processEvents();
        EXPECT_EQ(manager.trackedCount(), 0U);
        EXPECT_EQ(manager.unansweredCount(), 0U);
    }

    net::Loop loop;
    std::ostringstream logLines;
    telemetry::Log log{logLines, telemetry::Level::Debug};
    telemetry::Counters counters;
    RecordingSink sink;
    RecordingExecutor executor;
    RecordingDependencyClient dependencyClient;
    RequestManager manager{loop, configWithSpareCapacity(), 1 << 20, 1 << 20, log, counters};
};

TEST_F(RequestManagerTest, RejectsRequestsUntilTheExecutorIsReady) {
    accept(1);
    EXPECT_EQ(sink.answers[1], "rejected");
    EXPECT_EQ(counters.of(Count::RejectedForMemory), 0U);
    expectNothingTracked();
}

TEST_F(RequestManagerTest, AnswersARequestWithTheResultOfItsRun) {
    becomeReady();
    acceptAndStart(1);
    complete(1);
    EXPECT_EQ(sink.answers[1], "completed result");
    EXPECT_EQ(sink.answerCount, 1);
    expectNothingTracked();
}

TEST_F(RequestManagerTest, KeepsAnIdInUseUntilTheControllerHasProcessedItsEnd) {
    becomeReady();
    acceptAndStart(1);
    complete(1);
    EXPECT_EQ(manager.trackedCount(), 0U);
    EXPECT_TRUE(manager.contains(1));
    manager.processEvents();
    EXPECT_FALSE(manager.contains(1));
}

TEST_F(RequestManagerTest, RejectsRequestsBeyondItsMemory) {
    RequestManager small(loop, configWithSpareCapacity(), 100, 1 << 20, log, counters);
    small.attach(sink, executor, dependencyClient);
    small.executorReady(false, 60s);
    IncomingRequest incoming;
    incoming.request.id = 1;
    small.accept(std::move(incoming));
    EXPECT_EQ(sink.answers[1], "rejected");
    EXPECT_EQ(counters.of(Count::RejectedForMemory), 1U);
}

TEST_F(RequestManagerTest, FailsARequestWhoseRunFails) {
    becomeReady();
    acceptAndStart(1);
    complete(1, Outcome::Error);
    EXPECT_EQ(sink.answers[1], "failed");
    expectNothingTracked();
}

TEST_F(RequestManagerTest, AnswersOnceWhenTheExecutorDoesNotKnowTheRequest) {
    becomeReady();
    acceptAndStart(1);
    manager.runUnknownToExecutor(1);
    EXPECT_EQ(sink.answers[1], "failed by client");
    EXPECT_EQ(sink.answerCount, 1);
    expectNothingTracked();
}

TEST_F(RequestManagerTest, SuppliesTheRunWithTheReplyToItsDependencyCall) {
    becomeReady();
    acceptAndStart(1);
    manager.runWaitsForDependency(1, "call");
    manager.processEvents();
    EXPECT_EQ(dependencyClient.started[1], "call");
    manager.dependencyCallCompleted(1, Outcome::Ok, 5ms, "reply");
    EXPECT_EQ(executor.sent.back(), "supply 1 reply");
}

TEST_F(RequestManagerTest, AbandonsTheCallOfACancelledRequestAndDoesNotAnswerIt) {
    becomeReady();
    acceptAndStart(1);
    manager.runWaitsForDependency(1, "call");
    manager.processEvents();
    manager.clientCancelled(1);
    EXPECT_EQ(dependencyClient.abandoned, std::vector<RequestId>{1});
    manager.processEvents();
    EXPECT_EQ(executor.sent.back(), "cancel 1");
    EXPECT_EQ(manager.trackedCount(), 1U);  // until the end of its run is reported
    complete(1, Outcome::Cancelled);
    EXPECT_EQ(sink.answerCount, 0);
    expectNothingTracked();
}

TEST_F(RequestManagerTest, StartsOnlyIdempotentRunsAgainAfterAConnectionLoss) {
    becomeReady();
    acceptAndStart(1, kIdempotentClass);
    acceptAndStart(2, kNonIdempotentClass);
    acceptAndStart(3, kKeyedClass, "key");
    executor.sent.clear();
    loseAndRestoreConnection();
    EXPECT_EQ(executor.sent, std::vector<std::string>{"start 1"});
}

TEST_F(RequestManagerTest, StartsARunThatWasNotStartedForLackOfAConnection) {
    becomeReady();
    manager.executorConnectionLost();
    executor.connected = false;
    accept(1, kNonIdempotentClass);
    manager.processEvents();
    EXPECT_TRUE(executor.sent.empty());
    executor.connected = true;
    manager.resumeRuns();
    EXPECT_EQ(executor.sent, std::vector<std::string>{"start 1"});
    loseAndRestoreConnection();  // whether this start has arrived is unknown
    EXPECT_EQ(executor.sent, std::vector<std::string>{"start 1"});
    complete(1);
    EXPECT_EQ(sink.answers[1], "completed result");
    expectNothingTracked();
}

TEST_F(RequestManagerTest, SuppliesAReplyThatWasNotSentForLackOfAConnection) {
    becomeReady();
    acceptAndStart(1, kNonIdempotentClass);
    manager.runWaitsForDependency(1, "call");
    manager.processEvents();
    executor.connected = false;
    manager.dependencyCallCompleted(1, Outcome::Ok, 5ms, "reply");
    executor.sent.clear();
    executor.connected = true;
    loseAndRestoreConnection();
    EXPECT_EQ(executor.sent, std::vector<std::string>{"supply 1 reply"});
    EXPECT_EQ(counters.of(Count::ContinuationsUnconfirmed), 0U);
}

TEST_F(RequestManagerTest, DoesNotDoubtAReplyThatWasSentOnTheNewConnection) {
    becomeReady();
    acceptAndStart(1, kIdempotentClass);
    manager.runWaitsForDependency(1, "call");
    manager.processEvents();
    manager.executorConnectionLost();
    manager.dependencyCallCompleted(1, Outcome::Ok, 5ms, "reply");  // before the reports are processed
    manager.processEvents();
    dependencyClient.started.clear();
    manager.resumeRuns();
    manager.processEvents();
    EXPECT_TRUE(dependencyClient.started.empty());
    EXPECT_EQ(counters.of(Count::ContinuationsUnconfirmed), 0U);
}

TEST_F(RequestManagerTest, NeverRepeatsAReplyThatMayHaveReachedARunThatMayRunOnlyOnce) {
    becomeReady();
    for (const int requestClass : {kNonIdempotentClass, kKeyedClass}) {
        const auto id = static_cast<RequestId>(requestClass);
        supplyReply(id, requestClass, "call", requestClass == kKeyedClass ? "key" : "");
    }
    executor.sent.clear();
    dependencyClient.started.clear();
    for (int connectionLosses = 1; connectionLosses <= 2; ++connectionLosses) {
        loseAndRestoreConnection();
        manager.processEvents();
    }
    EXPECT_TRUE(executor.sent.empty());
    EXPECT_TRUE(dependencyClient.started.empty());
    EXPECT_EQ(counters.of(Count::ContinuationsUnconfirmed), 2U);
}

TEST_F(RequestManagerTest, RepeatsTheCallOfAnIdempotentRunToLearnWhetherItStillWaits) {
    becomeReady();
    supplyReply(1, kIdempotentClass, "call");
    executor.sent.clear();
    dependencyClient.started.clear();
    loseAndRestoreConnection();
    manager.processEvents();
    EXPECT_EQ(executor.sent, std::vector<std::string>{"start 1"});
    EXPECT_EQ(dependencyClient.started[1], "call");
    manager.dependencyCallCompleted(1, Outcome::Ok, 5ms, "second reply");
    EXPECT_EQ(executor.sent.back(), "confirm reports 1");
    manager.reportsDelivered(1);
    EXPECT_EQ(executor.sent.back(), "supply 1 second reply");
    executor.sent.clear();
    manager.reportsDelivered(1);
    EXPECT_TRUE(executor.sent.empty());
}

TEST_F(RequestManagerTest, SuppliesARepeatedReplyAlthoughTheConnectionIsLostAgain) {
    becomeReady();
    supplyReply(1, kIdempotentClass, "call");
    loseAndRestoreConnection();
    manager.processEvents();
    manager.executorConnectionLost();
    manager.dependencyCallCompleted(1, Outcome::Ok, 5ms, "second reply");
    manager.processEvents();
    executor.sent.clear();
    manager.resumeRuns();
    EXPECT_EQ(executor.sent, (std::vector<std::string>{"start 1", "confirm reports 1"}));
    manager.reportsDelivered(1);
    EXPECT_EQ(executor.sent.back(), "supply 1 second reply");
}

TEST_F(RequestManagerTest, DropsARepeatedReplyIfTheRunHasReceivedTheFirstOne) {
    becomeReady();
    supplyReply(1, kIdempotentClass, "first");
    loseAndRestoreConnection();
    manager.processEvents();
    manager.dependencyCallCompleted(1, Outcome::Ok, 5ms, "second reply");
    executor.sent.clear();
    manager.runWaitsForDependency(1, "second");
    manager.reportsDelivered(1);
    EXPECT_TRUE(executor.sent.empty());
    manager.processEvents();
    EXPECT_EQ(dependencyClient.started[1], "second");
}

TEST_F(RequestManagerTest, AbandonsARepeatedCallOnceTheRunWaitsForItsNextCall) {
    becomeReady();
    supplyReply(1, kIdempotentClass, "first");
    loseAndRestoreConnection();
    manager.processEvents();
    EXPECT_EQ(dependencyClient.started[1], "first");
    manager.runWaitsForDependency(1, "second");
    EXPECT_EQ(dependencyClient.abandoned, std::vector<RequestId>{1});
    manager.processEvents();
    EXPECT_EQ(dependencyClient.started[1], "second");
}

TEST_F(RequestManagerTest, ARunThatTheDependencyReportsNotToWaitGoesOn) {
    becomeReady();
    supplyReply(1, kIdempotentClass, "first");
    loseAndRestoreConnection();
    manager.processEvents();
    manager.dependencyCallCompleted(1, Outcome::Superseded, 5ms, "");
    manager.processEvents();
    executor.sent.clear();
    dependencyClient.started.clear();
    manager.runWaitsForDependency(1, "second");
    manager.processEvents();
    EXPECT_EQ(dependencyClient.started[1], "second");
    EXPECT_TRUE(executor.sent.empty());
}

TEST_F(RequestManagerTest, DoesNotRepeatAReplyThatArrivedLongBeforeTheConnectionWasLost) {
    becomeReady();
    acceptAndStart(1, kNonIdempotentClass);
    manager.runWaitsForDependency(1, "call");
    manager.processEvents();
    manager.dependencyCallCompleted(1, Outcome::Ok, 5ms, "reply");
    manager.messagesReceived(net::unixNow());
    executor.sent.clear();
    loseAndRestoreConnection();
    EXPECT_TRUE(executor.sent.empty());
    EXPECT_EQ(counters.of(Count::ContinuationsUnconfirmed), 0U);
}

TEST_F(RequestManagerTest, DoesNotRepeatAReplyOnceTheRunWaitsForItsNextCall) {
    becomeReady();
    supplyReply(1, kNonIdempotentClass, "first");
    manager.runWaitsForDependency(1, "second");
    executor.sent.clear();
    loseAndRestoreConnection();
    EXPECT_TRUE(executor.sent.empty());
}

TEST_F(RequestManagerTest, AnswersADuplicateWithTheResultOfTheAttemptThatHoldsItsKey) {
    becomeReady();
    acceptAndStart(1, kKeyedClass, "key");
    accept(2, kKeyedClass, "key");
    manager.processEvents();
    EXPECT_EQ(executor.sent, std::vector<std::string>{"start 1"});
    complete(1);
    EXPECT_EQ(sink.answers[2], "completed result");
    expectNothingTracked();
}

TEST_F(RequestManagerTest, RejectsADuplicateWhoseHolderNeverRan) {
    becomeReady();
    acceptAndStart(1, kKeyedClass, "key");
    accept(2, kKeyedClass, "key");
    manager.processEvents();
    complete(1, Outcome::Superseded);
    EXPECT_EQ(sink.answers[2], "rejected");
    expectNothingTracked();
}

TEST_F(RequestManagerTest, FailsADuplicateWhoseHolderMayHaveRunBeforeTheConnectionLoss) {
    becomeReady();
    acceptAndStart(1, kKeyedClass, "key");
    accept(2, kKeyedClass, "key");
    manager.processEvents();
    loseAndRestoreConnection();  // the start is unconfirmed from here on
    complete(1, Outcome::Superseded);
    EXPECT_EQ(sink.answers[2], "failed");
    expectNothingTracked();
}

TEST_F(RequestManagerTest, FailsARequestThatUsesTheKeyOfAnotherBody) {
    becomeReady();
    acceptAndStart(1, kKeyedClass, "key");
    IncomingRequest incoming;
    incoming.request.id = 2;
    incoming.request.requestClass = kKeyedClass;
    incoming.body = "another body";
    incoming.idempotencyKey = "key";
    manager.accept(std::move(incoming));
    EXPECT_EQ(sink.answers[2], "failed by client");
    EXPECT_EQ(counters.of(Count::KeyConflicts), 1U);
}

TEST_F(RequestManagerTest, ASuccessfulRunPassesOneEndToEndHealthCheck) {
    becomeReady();
    ASSERT_TRUE(manager.healthy());
    acceptAndStart(1);
    complete(1);
    std::vector<bool> results;
    const auto record = [&results](bool healthy) { results.push_back(healthy); };
    manager.checkEndToEndHealth(record);
    EXPECT_EQ(executor.verifications, 0);
    executor.verificationResult = false;
    manager.checkEndToEndHealth(record);
    EXPECT_EQ(executor.verifications, 1);
    EXPECT_EQ(results, (std::vector<bool>{true, false}));
}

TEST_F(RequestManagerTest, AnEndToEndHealthCheckWithoutAResultKeepsTheHealth) {
    becomeReady();
    bool healthy = false;
    manager.checkEndToEndHealth([&healthy](bool result) { healthy = result; });
    EXPECT_EQ(executor.verifications, 1);
    EXPECT_TRUE(healthy);
}

}  // namespace
}  // namespace cottonwing::request
