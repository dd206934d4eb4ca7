// Plain cases: the design's figures for breaker, budget and back-off, and one for each failure found.
#include "helpers.h"

namespace cottonwing::testing {
namespace {

// Brings one command to its first call and returns the machine's count of calls.
void toCall(Machine& m, CommandId id, int profile = 0) {
    Round round;
    round.read = {m.command(id, profile)};
    m.step(round);
    round = {};
    round.parked = {id};
    m.step(round);
}
void back(Machine& m, CommandId id, Outcome outcome, Nanos passed = 20ms) {
    Round round;
    round.callsBack = {{id, outcome, 50ms}};
    m.step(round, passed);
}
void end(Machine& m, CommandId id, Outcome outcome = Outcome::Ok) {
    Round round;
    round.runsEnded = {{id, outcome, 100ms}};
    m.step(round);
}

TEST(Calls, ARepeatableCommandIsCalledThreeTimesAtMost) {
    Machine m(plainTerms());
    toCall(m, 1);
    for (int i = 0; i < 3; ++i) {
        back(m, 1, Outcome::Full);
        for (int n = 0; n < 40; ++n) m.step();
    }
    EXPECT_EQ(m.calls, 3);
    EXPECT_EQ(m.scraps, 1);
}

TEST(Calls, AServerErrorIsNotRepeated) {
    Machine m(plainTerms());
    toCall(m, 1);
    back(m, 1, Outcome::Error);
    EXPECT_EQ(m.calls, 1);
    EXPECT_EQ(m.scraps, 1);
}

TEST(Calls, OnceOnlyRepeatsOnlyWhatNeverRanAndIsLeftOutWhereAllowed) {
    Machine m(plainTerms());
    toCall(m, 1, 2);
    back(m, 1, Outcome::Unreachable);
    for (int n = 0; n < 40; ++n) m.step();
    EXPECT_EQ(m.calls, 2);
    back(m, 1, Outcome::Broken);
    EXPECT_EQ(m.calls, 2);
    EXPECT_EQ(m.leftOut, 1);
}

TEST(Calls, PatienceIsTheLesserOfAttemptTimeoutAndHalfOfWhatIsLeft) {
    Machine m(plainTerms());
    toCall(m, 1);
    EXPECT_EQ(m.patience, 1s);
    Round round;
    round.read = {m.command(2, 0, 1040ms)};
    m.step(round);
    round = {};
    round.parked = {2};
    m.step(round);
    EXPECT_NEAR(m.patience.count(), Nanos(500ms).count(), Nanos(40ms).count());
}

// A shared database that gets slow must not keep commands for the time that a tier's long calls need.
TEST(Calls, AttemptTimeoutFollowsWhatGoodCallsTake) {
    Machine m(plainTerms());
    for (CommandId id = 1; id <= 20; ++id) {
        toCall(m, id);
        back(m, id, Outcome::Ok);
        end(m, id);
    }
    toCall(m, 21);
    EXPECT_EQ(m.patience, 500ms);
}

TEST(Calls, TheBudgetStopsRepeatsAtHalfItsTokens) {
    Machine m(plainTerms());
    int calls = 0;
    // single failures with good ones between: 0.4 tokens a good one never win back what a failure takes
    for (CommandId id = 1; id <= 40; ++id) {
        toCall(m, id);
        if (id % 3 != 0) {
            back(m, id, Outcome::Ok);
            end(m, id);
            continue;
        }
        const int before = m.calls;
        back(m, id, Outcome::Full);
        for (int n = 0; n < 10; ++n) m.step();
        calls = m.calls - before;
        if (calls > 0) back(m, id, Outcome::Ok);
        end(m, id);
    }
    EXPECT_EQ(calls, 0);
}

TEST(Calls, FiveFailuresInARowOpenTheBreakerAndThreeGoodProbesCloseIt) {
    Machine m(plainTerms());
    for (CommandId id = 1; id <= 5; ++id) {
        EXPECT_FALSE(m.logged("breaker open"));
        toCall(m, id);
        back(m, id, Outcome::Error);
        end(m, id, Outcome::Cancelled);
    }
    EXPECT_TRUE(m.logged("breaker open: 5 failures in a row"));
    const int calls = m.calls, bounces = m.bounces;
    Round round;
    round.read = {m.command(9)};
    m.step(round);  // would meet the open breaker: bounced before it costs work, with a time to come back
    EXPECT_EQ(m.calls, calls);
    EXPECT_EQ(m.bounces, bounces + 1);
    EXPECT_GT(m.comeBack, 500ms);
    for (int n = 0; n < 120; ++n) m.step();
    for (CommandId id = 11; id <= 13; ++id) {
        EXPECT_FALSE(m.logged("breaker closed"));
        toCall(m, id);
        EXPECT_EQ(m.calls, calls + static_cast<int>(id) - 10);
        back(m, id, Outcome::Ok);
        end(m, id);
    }
    EXPECT_TRUE(m.logged("breaker closed: 3 good probes"));
}

TEST(Calls, HalfOfTheLastTwentyOpenTheBreaker) {
    Machine m(plainTerms());
    for (CommandId id = 1; id <= 20; ++id) {
        EXPECT_FALSE(m.logged("breaker open"));
        toCall(m, id);
        back(m, id, id % 2 == 0 ? Outcome::Error : Outcome::Ok);
        end(m, id);
    }
    EXPECT_TRUE(m.logged("10 of the last 20"));
}

TEST(Calls, TimeOutsOfAStalledProcessAreNotTheDependencysFailure) {
    Machine m(plainTerms());
    for (CommandId id = 1; id <= 8; ++id) {
        toCall(m, id);
        back(m, id, Outcome::TimedOut, 400ms);
        end(m, id, Outcome::Cancelled);
    }
    EXPECT_TRUE(m.logged("stall"));
    EXPECT_FALSE(m.logged("breaker open"));
}

TEST(Hold, StartsByDueTime) {
    Machine m(plainTerms());
    Round round;
    for (CommandId id = 1; id <= 8; ++id)
        round.read.push_back(m.command(id, 0, 5s - 100ms * static_cast<int>(id)));
    m.step(round);
    EXPECT_TRUE(m.work.at(8).ran && m.work.at(7).ran);
    EXPECT_FALSE(m.work.at(1).ran);
}

TEST(Hold, GivesUpWhatEarnsLeastAtOnceWhenNotAllCanBeInTime) {
    Machine m(plainTerms());
    Round round;
    for (CommandId id = 1; id <= 60; ++id) round.read.push_back(m.command(id, id % 2 == 0 ? 1 : 0));
    m.step(round);
    EXPECT_GT(m.bounces, 5);
    int cheap = 0, dear = 0;
    for (const auto& [id, w] : m.work) ++(w.command.profile == 1 ? dear : cheap);
    EXPECT_GT(dear, 2 * cheap);
}

// A mean of told work that grew from nothing took a fresh node's first command for twenty times the usual.
TEST(Hold, TheFirstHintStandsForTheMean) {
    Machine m(plainTerms());
    Round round;
    round.read = {m.command(1)};
    round.read[0].work = 300ms;
    m.step(round);
    EXPECT_EQ(m.starts, 1);
}

// Calls with little time of their own once made an idle backend call itself full.
TEST(Hold, WhatCameWithLittleTimeIsNoOverload) {
    Machine m(plainTerms());
    for (CommandId id = 1; id <= 100; ++id) {
        Round round;
        round.read = {m.command(id, 0, 100ms), m.command(1000 + id, 0, 100ms)};
        m.step(round);
    }
    EXPECT_GT(m.bounces, 50);
    EXPECT_FALSE(m.logged("overload"));
}

// Only callers that stay away end a jam of commands that are read too late.
TEST(Hold, AnUnreadJamAsksCallersToComeBackLater) {
    Machine m(plainTerms());
    for (CommandId id = 1; id <= 30; ++id) {
        Round round;
        round.read = {m.command(id)};
        round.read[0].waited = 1950ms;
        m.step(round);
    }
    EXPECT_GT(m.bounces, 10);
    EXPECT_GT(m.comeBack, 400ms);
}

TEST(Leaving, NoticeTurnsHealthBadAndLateArrivalsAway) {
    Machine m(plainTerms());
    m.step();
    EXPECT_TRUE(m.good);
    Round round;
    round.stopAt = m.now + 5s;
    m.step(round);
    EXPECT_FALSE(m.good);
    for (int n = 0; n < 60; ++n) m.step();
    round = {};
    round.read = {m.command(1)};
    m.step(round);
    EXPECT_EQ(m.bounces, 1);
}

}  // namespace
}  // namespace cottonwing::testing
