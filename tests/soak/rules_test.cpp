/// @file
/// The soak's rules notice each way in which a history can break them.
#include "soak/rules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

namespace cottonwing::soak {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStart = 1000s;
constexpr Duration kNotice = kStart + 5s;

// One life that serves one request of a class that may run once, and ends in order; no rule is broken.
class SoakRules : public ::testing::Test {
protected:
    SoakRules() {
        seen.classes = {
            {"read", Idempotency::Idempotent}, {"once", Idempotency::None}, {"keyed", Idempotency::WithKey}};
        seen.drainGrace = 1s;
        seen.memoryLimitMb = 192;
        seen.descriptorLimit = 256;
        seen.bookedLimitKb = 8000;
        Life life;
        life.startedAt = life.poolUpAt.emplace(kStart);
        life.readyAt = kStart + 50ms;
        life.terminated = kNotice;
        life.endedAt = kNotice + 1100ms;
        seen.lives = {life};
        add("a1", 1);
        run("a1");
        served("a1");
    }

    Attempt& add(const std::string& id, int requestClass, Duration written = kStart + 1s) {
        Attempt attempt;
        attempt.id = attempt.firstAttempt = id;
        attempt.requestClass = requestClass;
        attempt.body = "body of " + id;
        attempt.writtenAt = written;
        attempt.deadline = written + 1s;
        seen.attempts.push_back(attempt);
        return seen.attempts.back();
    }
    ObservedRun& run(const std::string& id, Duration startedAt = kStart + 1010ms) {
        const Attempt& of = attempt(id);
        seen.runs.push_back({id, of.life, seen.classes[static_cast<std::size_t>(of.requestClass)].name,
                             of.body, startedAt, "result of " + id});
        return seen.runs.back();
    }
    Attempt& attempt(const std::string& id) {
        return *std::find_if(seen.attempts.begin(), seen.attempts.end(),
                             [&](const Attempt& one) { return one.id == id; });
    }
    void answer(const std::string& id, Response::Kind kind, Duration after, const std::string& body = "") {
        Attempt& to = attempt(id);
        to.responses.push_back({*to.writtenAt + after, kind, body});
    }
    void served(const std::string& id) { answer(id, Response::Kind::Served, 30ms, "result of " + id); }
    void closed(const std::string& id, Duration after, bool connectionWasServed = true) {
        Attempt& of = attempt(id);
        of.connection = ConnectionFate::ClosedByServer;
        of.connectionEndedAt = *of.writtenAt + after;
        of.connectionWasServed = connectionWasServed;
    }
    // What is broken, each rule once.
    std::vector<Rule> broken() const {
        std::vector<Rule> rules;
        for (const Violation& violation : judge(seen)) rules.push_back(violation.rule);
        rules.erase(std::unique(rules.begin(), rules.end()), rules.end());
        return rules;
    }
    using Rules = std::vector<Rule>;

    Observations seen;
};

TEST_F(SoakRules, AnOrderlyHistoryBreaksNone) { EXPECT_EQ(broken(), Rules{}); }

TEST_F(SoakRules, ARequestWithoutAnswerOnAnOpenConnectionIsLost) {
    add("a2", 0);
    EXPECT_EQ(broken(), Rules{Rule::Lost});
    attempt("a2").cancelledAt = kStart + 1100ms;
    EXPECT_EQ(broken(), Rules{});
}

TEST_F(SoakRules, AnAnswerAfterTheDeadlineIsLost) {
    add("a2", 0);
    answer("a2", Response::Kind::Failed, 1050ms);
    EXPECT_EQ(broken(), Rules{});
    seen.attempts.back().responses[0].at += 1ms;
    EXPECT_EQ(broken(), Rules{Rule::Lost});
    seen.pauses = {{kStart + 1500ms, kStart + 1600ms}};
    EXPECT_EQ(broken(), Rules{}) << "the machine stood still meanwhile";
}

TEST_F(SoakRules, ARequestThatCrossesACloseIsExcusedAndAnOlderOneIsNot) {
    add("a2", 0);
    closed("a2", 50ms);
    EXPECT_EQ(broken(), Rules{});
    closed("a2", 51ms);
    EXPECT_EQ(broken(), Rules{Rule::Lost});
    closed("a2", 51ms, false);
    EXPECT_EQ(broken(), Rules{}) << "a new connection on which nothing ran";
}

TEST_F(SoakRules, ARequestThatRanAndHasNoAnswerIsLostHoweverLate) {
    add("a2", 0);
    closed("a2", 10ms);
    run("a2");
    EXPECT_EQ(broken(), Rules{Rule::Lost});
}

TEST_F(SoakRules, WhatAnInstanceHeldThatWasKilledOutrightIsExcused) {
    Life& life = seen.lives[0];
    life.terminated.reset();
    life.killedOutright = true;
    life.killed = kStart + 1200ms;
    life.endedAt = kStart + 1201ms;
    life.exitSignal = 9;
    add("a2", 0);
    closed("a2", 201ms);
    EXPECT_EQ(broken(), Rules{});
    attempt("a2").deadline = kStart + 1100ms;
    EXPECT_EQ(broken(), Rules{Rule::Lost}) << "its deadline had passed before";
}

TEST_F(SoakRules, AResultThatNoRunMadeIsLost) {
    attempt("a1").responses[0].body = "another result";
    EXPECT_EQ(broken(), Rules{Rule::Lost});
}

TEST_F(SoakRules, AnAnswerThatCannotBeReadIsLost) {
    seen.lives[0].unreadableBytes = 1;
    EXPECT_EQ(broken(), Rules{Rule::Lost});
}

TEST_F(SoakRules, ARequestThatItsCountersMissIsLost) {
    seen.lives[0].unansweredByCounters = 1;
    EXPECT_EQ(broken(), Rules{Rule::Lost});
}

TEST_F(SoakRules, ABodyOrClassThatReachesTheWorkerPoolChangedIsLost) {
    seen.runs[0].body += "x";
    EXPECT_EQ(broken(), Rules{Rule::Lost});
    seen.runs[0].body.pop_back();
    seen.runs[0].requestClass = "read";
    EXPECT_EQ(broken(), Rules{Rule::Lost});
}

TEST_F(SoakRules, ASecondAnswerIsADuplicate) {
    served("a1");
    EXPECT_EQ(broken(), Rules{Rule::Duplicate});
}

TEST_F(SoakRules, ASecondRunIsADuplicateUnlessIdempotent) {
    run("a1");
    EXPECT_EQ(broken(), Rules{Rule::Duplicate});
    attempt("a1").requestClass = 0;
    for (ObservedRun& one : seen.runs) one.requestClass = "read";
    EXPECT_EQ(broken(), Rules{});
}

TEST_F(SoakRules, ARetryThatRunsAgainIsADuplicate) {
    add("a2", 1).firstAttempt = "a1";
    run("a2");
    served("a2");
    EXPECT_EQ(broken(), Rules{Rule::Duplicate});
}

TEST_F(SoakRules, AKeyRunsOnceInALifeAndAgainInTheNext) {
    add("k1", 2).key = "key";
    run("k1");
    served("k1");
    add("k2", 2).key = "key";
    answer("k2", Response::Kind::Served, 30ms, "result of k1");
    EXPECT_EQ(broken(), Rules{}) << "answered from the other's result";
    run("k2");
    EXPECT_EQ(broken(), Rules{Rule::Duplicate});
    seen.lives.push_back(seen.lives[0]);
    seen.runs.back().life = attempt("k2").life = 1;
    attempt("k2").responses[0].body = "result of k2";
    EXPECT_EQ(broken(), Rules{});
}

TEST_F(SoakRules, ARejectionOfWhatHasRunIsADuplicate) {
    attempt("a1").responses[0].kind = Response::Kind::Rejected;
    EXPECT_EQ(broken(), Rules{Rule::Duplicate});
}

TEST_F(SoakRules, ADependencyCallThatIsMadeAgainIsADuplicate) {
    seen.calls = {{"a1", 0, 0}, {"a1", 1, 0}};
    EXPECT_EQ(broken(), Rules{}) << "two calls of one run";
    seen.calls.push_back({"a1", 1, 0});
    EXPECT_EQ(broken(), Rules{Rule::Duplicate});
}

TEST_F(SoakRules, ARunOfWhatCameAfterTheDrainGraceBreaksTheDrain) {
    add("a2", 0, kNotice + 1050ms);
    run("a2", kNotice + 1060ms);
    served("a2");
    EXPECT_EQ(broken(), Rules{});
    *attempt("a2").writtenAt += 1ms;
    EXPECT_EQ(broken(), Rules{Rule::Drain});
}

TEST_F(SoakRules, EachLimitIsHeld) {
    const auto expectLimits = [this](auto&& exceed) {
        const Life orderly = seen.lives[0];
        exceed(seen.lives[0]);
        EXPECT_EQ(broken(), Rules{Rule::Limits});
        seen.lives[0] = orderly;
    };
    expectLimits([](Life& life) { life.mostMemoryMb = 192.1; });
    expectLimits([](Life& life) { life.mostDescriptors = 257; });
    expectLimits([](Life& life) { life.mostBookedKb = 8000.1; });
    expectLimits([](Life& life) { life.mostRunsOnCores = 1.01; });
}

TEST_F(SoakRules, AProcessEndsInOrderAndBeforeTheKill) {
    const auto expectBroken = [this](auto&& change) {
        const Life orderly = seen.lives[0];
        change(seen.lives[0]);
        EXPECT_EQ(broken(), Rules{Rule::Lifecycle});
        seen.lives[0] = orderly;
    };
    expectBroken([](Life& life) { life.exitCode = 1; });
    expectBroken([](Life& life) { life.exitSignal = 6; });
    expectBroken([](Life& life) { life.killed = kNotice + 3s; });
    expectBroken([](Life& life) { life.terminated.reset(); });
    expectBroken([](Life& life) { life.endedAt.reset(); });
    expectBroken([](Life& life) { life.killedOutright = true; });
    expectBroken([](Life& life) { life.readyAt = kStart + 10001ms; });
}

TEST_F(SoakRules, ReadyIsNotReportedAfterDraining) {
    seen.reports = {{0, kStart, false}, {0, kNotice, true}};
    EXPECT_EQ(broken(), Rules{});
    seen.reports.push_back({0, kNotice + 1s, false});
    EXPECT_EQ(broken(), Rules{Rule::Lifecycle});
}

TEST_F(SoakRules, ASanitizerReportIsNoticed) {
    seen.lives[0].sanitizerReport = "ERROR: AddressSanitizer";
    EXPECT_EQ(broken(), Rules{Rule::Sanitizer});
}

}  // namespace
}  // namespace cottonwing::soak
