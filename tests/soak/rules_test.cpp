/// @file
/// The rules of the soak detect each kind of violation.
#include "soak/rules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

namespace cottonwing::soak {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStart = 1000s;
constexpr Duration kShutdownNotice = kStart + 5s;

// Observations without a violation: one incarnation that serves one request of a class that may run only once
// and shuts down gracefully.
class SoakRules : public ::testing::Test {
protected:
    SoakRules() {
        observations.classes = {
            {"read", Idempotency::Idempotent}, {"once", Idempotency::None}, {"keyed", Idempotency::WithKey}};
        observations.drainGrace = 1s;
        observations.memoryLimitMb = 192;
        observations.descriptorLimit = 256;
        observations.reservedLimitKb = 8000;
        Incarnation incarnation;
        incarnation.startedAt = incarnation.poolUpAt.emplace(kStart);
        incarnation.readyAt = kStart + 50ms;
        incarnation.terminatedAt = kShutdownNotice;
        incarnation.endedAt = kShutdownNotice + 1100ms;
        observations.incarnations = {incarnation};
        add("a1", 1);
        run("a1");
        answerServed("a1");
    }

    Attempt& add(const std::string& id, int requestClass, Duration written = kStart + 1s) {
        Attempt attempt;
        attempt.id = attempt.firstAttempt = id;
        attempt.requestClass = requestClass;
        attempt.body = "body of " + id;
        attempt.writtenAt = written;
        attempt.deadline = written + 1s;
        observations.attempts.push_back(attempt);
        return observations.attempts.back();
    }
    ObservedRun& run(const std::string& id, Duration startedAt = kStart + 1010ms) {
        const Attempt& target = attempt(id);
        observations.runs.push_back({id, target.incarnation,
                                     observations.classes[static_cast<std::size_t>(target.requestClass)].name,
                                     target.body, startedAt, "result of " + id});
        return observations.runs.back();
    }
    Attempt& attempt(const std::string& id) {
        return *std::find_if(observations.attempts.begin(), observations.attempts.end(),
                             [&](const Attempt& one) { return one.id == id; });
    }
    void answer(const std::string& id, Response::Kind kind, Duration after, const std::string& body = "") {
        Attempt& to = attempt(id);
        to.responses.push_back({*to.writtenAt + after, kind, body});
    }
    void answerServed(const std::string& id) { answer(id, Response::Kind::Served, 30ms, "result of " + id); }
    void closedByServer(const std::string& id, Duration after, bool connectionHadResponse = true) {
        Attempt& target = attempt(id);
        target.connection = ConnectionOutcome::ClosedByServer;
        target.connectionEndedAt = *target.writtenAt + after;
        target.connectionHadResponse = connectionHadResponse;
    }
    // The violated rules, each once.
    std::vector<Rule> brokenRules() const {
        std::vector<Rule> rules;
        for (const Violation& violation : checkRules(observations)) rules.push_back(violation.rule);
        rules.erase(std::unique(rules.begin(), rules.end()), rules.end());
        return rules;
    }
    using RuleList = std::vector<Rule>;

    Observations observations;
};

TEST_F(SoakRules, AnOrderlyHistoryBreaksNone) { EXPECT_EQ(brokenRules(), RuleList{}); }

TEST_F(SoakRules, ARequestWithoutAnswerOnAnOpenConnectionIsLost) {
    add("a2", 0);
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
    attempt("a2").cancelledAt = kStart + 1100ms;
    EXPECT_EQ(brokenRules(), RuleList{});
}

TEST_F(SoakRules, AnAnswerAfterTheDeadlineIsLost) {
    add("a2", 0);
    answer("a2", Response::Kind::Failed, 1050ms);
    EXPECT_EQ(brokenRules(), RuleList{});
    observations.attempts.back().responses[0].at += 1ms;
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
    observations.pauses = {{kStart + 1500ms, kStart + 1600ms}};
    EXPECT_EQ(brokenRules(), RuleList{}) << "the machine was paused meanwhile";
}

TEST_F(SoakRules, ARequestThatCrossesACloseIsExcusedAndAnOlderOneIsNot) {
    add("a2", 0);
    closedByServer("a2", 50ms);
    EXPECT_EQ(brokenRules(), RuleList{});
    closedByServer("a2", 51ms);
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
    closedByServer("a2", 51ms, false);
    EXPECT_EQ(brokenRules(), RuleList{}) << "a new connection without a run";
}

TEST_F(SoakRules, ARequestThatRanAndHasNoAnswerIsLostHoweverLate) {
    add("a2", 0);
    closedByServer("a2", 10ms);
    run("a2");
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
}

TEST_F(SoakRules, WhatAnInstanceHeldThatWasKilledOutrightIsExcused) {
    Incarnation& incarnation = observations.incarnations[0];
    incarnation.terminatedAt.reset();
    incarnation.killedWithoutNotice = true;
    incarnation.killedAt = kStart + 1200ms;
    incarnation.endedAt = kStart + 1201ms;
    incarnation.exitSignal = 9;
    add("a2", 0);
    closedByServer("a2", 201ms);
    EXPECT_EQ(brokenRules(), RuleList{});
    attempt("a2").deadline = kStart + 1100ms;
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost}) << "the deadline had passed before the kill";
}

TEST_F(SoakRules, AResultThatNoRunMadeIsLost) {
    attempt("a1").responses[0].body = "another result";
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
}

TEST_F(SoakRules, AnAnswerThatCannotBeReadIsLost) {
    observations.incarnations[0].unreadableBytes = 1;
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
}

TEST_F(SoakRules, ARequestThatItsCountersMissIsLost) {
    observations.incarnations[0].unansweredByCounters = 1;
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
}

TEST_F(SoakRules, ABodyOrClassThatReachesTheWorkerPoolChangedIsLost) {
    observations.runs[0].body += "x";
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
    observations.runs[0].body.pop_back();
    observations.runs[0].requestClass = "read";
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lost});
}

TEST_F(SoakRules, ASecondAnswerIsADuplicate) {
    answerServed("a1");
    EXPECT_EQ(brokenRules(), RuleList{Rule::Duplicate});
}

TEST_F(SoakRules, ASecondRunIsADuplicateUnlessIdempotent) {
    run("a1");
    EXPECT_EQ(brokenRules(), RuleList{Rule::Duplicate});
    attempt("a1").requestClass = 0;
    for (ObservedRun& one : observations.runs) one.requestClass = "read";
    EXPECT_EQ(brokenRules(), RuleList{});
}

TEST_F(SoakRules, ARetryThatRunsAgainIsADuplicate) {
    add("a2", 1).firstAttempt = "a1";
    run("a2");
    answerServed("a2");
    EXPECT_EQ(brokenRules(), RuleList{Rule::Duplicate});
}

TEST_F(SoakRules, AKeyRunsOnceInALifeAndAgainInTheNext) {
    add("k1", 2).key = "key";
    run("k1");
    answerServed("k1");
    add("k2", 2).key = "key";
    answer("k2", Response::Kind::Served, 30ms, "result of k1");
    EXPECT_EQ(brokenRules(), RuleList{}) << "answered with the stored result of the first attempt";
    run("k2");
    EXPECT_EQ(brokenRules(), RuleList{Rule::Duplicate});
    observations.incarnations.push_back(observations.incarnations[0]);
    observations.runs.back().incarnation = attempt("k2").incarnation = 1;
    attempt("k2").responses[0].body = "result of k2";
    EXPECT_EQ(brokenRules(), RuleList{});
}

TEST_F(SoakRules, ARejectionOfWhatHasRunIsADuplicate) {
    attempt("a1").responses[0].kind = Response::Kind::Rejected;
    EXPECT_EQ(brokenRules(), RuleList{Rule::Duplicate});
}

TEST_F(SoakRules, ADependencyCallThatIsMadeAgainIsADuplicate) {
    observations.calls = {{"a1", 0, 0}, {"a1", 1, 0}};
    EXPECT_EQ(brokenRules(), RuleList{}) << "two different calls of one run";
    observations.calls.push_back({"a1", 1, 0});
    EXPECT_EQ(brokenRules(), RuleList{Rule::Duplicate});
}

TEST_F(SoakRules, ARunOfWhatCameAfterTheDrainGraceBreaksTheDrain) {
    add("a2", 0, kShutdownNotice + 1050ms);
    run("a2", kShutdownNotice + 1060ms);
    answerServed("a2");
    EXPECT_EQ(brokenRules(), RuleList{});
    *attempt("a2").writtenAt += 1ms;
    EXPECT_EQ(brokenRules(), RuleList{Rule::Drain});
}

TEST_F(SoakRules, EachLimitIsHeld) {
    const auto expectLimits = [this](auto&& exceed) {
        const Incarnation original = observations.incarnations[0];
        exceed(observations.incarnations[0]);
        EXPECT_EQ(brokenRules(), RuleList{Rule::Limits});
        observations.incarnations[0] = original;
    };
    expectLimits([](Incarnation& incarnation) { incarnation.peakMemoryMb = 192.1; });
    expectLimits([](Incarnation& incarnation) { incarnation.peakDescriptors = 257; });
    expectLimits([](Incarnation& incarnation) { incarnation.peakReservedKb = 8000.1; });
    expectLimits([](Incarnation& incarnation) { incarnation.peakOverloadFraction = 1.01; });
}

TEST_F(SoakRules, AProcessEndsInOrderAndBeforeTheKill) {
    const auto expectBroken = [this](auto&& change) {
        const Incarnation original = observations.incarnations[0];
        change(observations.incarnations[0]);
        EXPECT_EQ(brokenRules(), RuleList{Rule::Lifecycle});
        observations.incarnations[0] = original;
    };
    expectBroken([](Incarnation& incarnation) { incarnation.exitCode = 1; });
    expectBroken([](Incarnation& incarnation) { incarnation.exitSignal = 6; });
    expectBroken([](Incarnation& incarnation) { incarnation.killedAt = kShutdownNotice + 3s; });
    expectBroken([](Incarnation& incarnation) { incarnation.terminatedAt.reset(); });
    expectBroken([](Incarnation& incarnation) { incarnation.endedAt.reset(); });
    expectBroken([](Incarnation& incarnation) { incarnation.killedWithoutNotice = true; });
    expectBroken([](Incarnation& incarnation) { incarnation.readyAt = kStart + 10001ms; });
}

TEST_F(SoakRules, ReadyIsNotReportedAfterDraining) {
    observations.reports = {{0, kStart, false}, {0, kShutdownNotice, true}};
    EXPECT_EQ(brokenRules(), RuleList{});
    observations.reports.push_back({0, kShutdownNotice + 1s, false});
    EXPECT_EQ(brokenRules(), RuleList{Rule::Lifecycle});
}

TEST_F(SoakRules, ASanitizerReportIsNoticed) {
    observations.incarnations[0].sanitizerReport = "ERROR: AddressSanitizer";
    EXPECT_EQ(brokenRules(), RuleList{Rule::Sanitizer});
}

}  // namespace
}  // namespace cottonwing::soak
