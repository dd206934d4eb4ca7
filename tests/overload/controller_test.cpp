// Plain cases: the design's figures for breaker, budget and back-off, and one for each failure found.
#include "helpers.h"

namespace cottonwing::testing {
namespace {

// Brings one command to its first call and returns the machine's count of calls.
void toCall(Machine& m, RequestId id, int profile = 0) {
    EventBatch round;
    round.arrivals = {m.command(id, profile)};
    m.step(round);
    round = {};
    round.waitingForDependency = {id};
    m.step(round);
}
void back(Machine& m, RequestId id, Outcome outcome, Duration passed = 20ms, Duration took = 50ms) {
    EventBatch round;
    round.dependencyResults = {{id, outcome, took}};
    m.step(round, passed);
}
void end(Machine& m, RequestId id, Outcome outcome = Outcome::Ok) {
    EventBatch round;
    round.runResults = {{id, outcome, 100ms}};
    m.step(round);
}

TEST(Calls, ARepeatableCommandIsCalledThreeTimesAtMost) {
    Machine m(plainTerms());
    toCall(m, 1);
    for (int i = 0; i < 3; ++i) {
        back(m, 1, Outcome::ResourceExhausted);
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
    back(m, 1, Outcome::ConnectionLost);
    EXPECT_EQ(m.calls, 2);
    EXPECT_EQ(m.leftOut, 1);
}

TEST(Calls, PatienceIsTheLesserOfAttemptTimeoutAndHalfOfWhatIsLeft) {
    Machine m(plainTerms());
    toCall(m, 1);
    EXPECT_EQ(m.patience, 1s);
    EventBatch round;
    round.arrivals = {m.command(2, 0, 1040ms)};
    m.step(round);
    round = {};
    round.waitingForDependency = {2};
    m.step(round);
    EXPECT_NEAR(m.patience.count(), Duration(500ms).count(), Duration(40ms).count());
}

// A shared database that gets slow must not keep commands for the time that a tier's long calls need.
TEST(Calls, AttemptTimeoutFollowsWhatGoodCallsTake) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 20; ++id) {
        toCall(m, id);
        back(m, id, Outcome::Ok);
        end(m, id);
    }
    toCall(m, 21);
    EXPECT_EQ(m.patience, 350ms);  // seven times what these took
}

TEST(Calls, TheBudgetStopsRepeatsAtHalfItsTokens) {
    Machine m(plainTerms());
    int calls = 0;
    // single failures with good ones between: 0.4 tokens a good one never win back what a failure takes
    for (RequestId id = 1; id <= 40; ++id) {
        toCall(m, id);
        if (id % 3 != 0) {
            back(m, id, Outcome::Ok);
            end(m, id);
            continue;
        }
        const int before = m.calls;
        back(m, id, Outcome::ResourceExhausted);
        for (int n = 0; n < 10; ++n) m.step();
        calls = m.calls - before;
        if (calls > 0) back(m, id, Outcome::Ok);
        end(m, id);
    }
    EXPECT_EQ(calls, 0);
}

TEST(Calls, FiveFailuresInARowOpenTheBreakerAndThreeGoodProbesCloseIt) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 5; ++id) {
        EXPECT_FALSE(m.logged("circuit breaker opened"));
        toCall(m, id);
        back(m, id, Outcome::Error);
        end(m, id, Outcome::Cancelled);
    }
    EXPECT_TRUE(m.logged("circuit breaker opened: target=dependency consecutive_failures=5 "));
    const int calls = m.calls, bounces = m.bounces;
    EventBatch round;
    round.arrivals = {m.command(9)};
    m.step(round);  // would meet the open breaker: bounced before it costs work, with a time to come back
    EXPECT_EQ(m.calls, calls);
    EXPECT_EQ(m.bounces, bounces + 1);
    EXPECT_GT(m.retryAfter, 500ms);
    for (int n = 0; n < 120; ++n) m.step();
    for (RequestId id = 11; id <= 13; ++id) {
        EXPECT_FALSE(m.logged("circuit breaker closed"));
        toCall(m, id);
        EXPECT_EQ(m.calls, calls + static_cast<int>(id) - 10);
        back(m, id, Outcome::Ok);
        end(m, id);
    }
    EXPECT_TRUE(m.logged("circuit breaker closed: target=dependency successful_probes=3"));
}

// What our own limits kept back, and runs that were never started or are unknown below, are no failures.
TEST(Calls, OwnLimitsSayNothingOfTheDependencyNorUnknownRunsOfTheMachine) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 30; ++id) {
        toCall(m, id);
        back(m, id, Outcome::LocalLimit);
        for (int n = 0; n < 10; ++n) m.step();
        EXPECT_EQ(m.work.at(id).at, Machine::At::Below) << "it never left, so it may try again";
        back(m, id, Outcome::Ok);
        end(m, id, Outcome::Superseded);
    }
    EXPECT_FALSE(m.logged("circuit breaker opened"));
}

// A call whose reply can't be read has run: the dependency works, and nothing lingers in its hands.
TEST(Calls, ASpoiltReplyIsRepeatedAndOpensNoBreaker) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 30; ++id) {
        toCall(m, id);
        if (id % 2 == 0) {
            back(m, id, Outcome::MalformedResponse);
            for (int n = 0; n < 10; ++n) m.step();
        }
        if (m.work.at(id).at == Machine::At::Below) back(m, id, Outcome::Ok);
        end(m, id);
    }
    EXPECT_GT(m.calls, 33);
    EXPECT_FALSE(m.logged("circuit breaker opened"));
    toCall(m, 99, 2);
    back(m, 99, Outcome::MalformedResponse);  // it may have had its effect
    EXPECT_EQ(m.leftOut, 1);
}

// A call that hangs now and then took a quarter of a promised time and stood for a crowd below.
TEST(Calls, OneThatHangsAmongQuickOnesIsGivenUpSoonAndIsNoCrowd) {
    ControllerConfig terms = plainTerms();
    terms.dependency = DependencyKind::Shared;
    terms.dependencyQuota = 10;
    Machine m(terms);
    for (RequestId id = 1; id <= 200; ++id) {
        const bool hangs = id % 20 == 0;
        toCall(m, id);
        back(m, id, hangs ? Outcome::TimedOut : Outcome::Ok, 20ms, hangs ? 1s : 10ms);
        end(m, id, hangs ? Outcome::Cancelled : Outcome::Ok);
    }
    EXPECT_EQ(m.patience, 100ms);  // a twentieth of the promised time at least
    EventBatch round;              // as many as our share bears go out at once
    for (RequestId id = 300; id < 310; ++id) round.arrivals.push_back(m.command(id));
    for (m.step(round); m.on(Machine::At::Cores) > 0;) {
        EventBatch calls;
        for (const auto& [id, w] : m.work)
            if (w.at == Machine::At::Cores) calls.waitingForDependency.push_back(id);
        m.step(calls);
    }
    EXPECT_GE(m.out, 7) << "nothing is crowded";
}

// With a line at the calls, what makes none has the cores; the others can still be bounced, or start later.
TEST(Hold, WhatWouldOnlyWaitForItsCallIsNotStarted) {
    ControllerConfig terms = plainTerms();
    terms.dependency = DependencyKind::Shared;
    terms.dependencyQuota = 4;
    terms.cores = 30;
    terms.requestClasses[0].latencyObjective = 12s;
    terms.requestClasses[0].timeout = 100s;
    terms.requestClasses[1] = terms.requestClasses[0];
    terms.requestClasses[1].callsDependency = false;
    Machine m(terms);
    for (RequestId id = 1; id <= 5; ++id) {
        toCall(m, id);
        back(m, id, Outcome::Ok, 20ms, 1s);
        end(m, id);
    }
    EventBatch round;
    for (RequestId id = 10; id < 34; ++id) round.arrivals.push_back(m.command(id, 0, 90s));
    m.step(round);
    round = {};
    for (RequestId id = 10; id < 34; ++id)
        round.waitingForDependency.push_back(id);  // some are called, the others wait
    m.step(round);
    round = {};
    for (int profile = 0; profile < 2; ++profile)
        round.arrivals.push_back(m.command(50 + profile, profile, 90s));
    m.step(round);
    EXPECT_EQ(m.work.at(50).at, Machine::At::Hold);
    EXPECT_EQ(m.work.at(51).at, Machine::At::Cores);
}

TEST(Calls, HalfOfTheLastTwentyOpenTheBreaker) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 20; ++id) {
        EXPECT_FALSE(m.logged("circuit breaker opened"));
        toCall(m, id);
        back(m, id, id % 2 == 0 ? Outcome::Error : Outcome::Ok);
        end(m, id);
    }
    EXPECT_TRUE(m.logged("window_failures=10 window_size=20"));
}

TEST(Calls, TimeOutsOfAStalledProcessAreNotTheDependencysFailure) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 8; ++id) {
        toCall(m, id);
        back(m, id, Outcome::TimedOut, 400ms);
        end(m, id, Outcome::Cancelled);
    }
    EXPECT_TRUE(m.logged("process stalled"));
    EXPECT_FALSE(m.logged("circuit breaker opened"));
}

// Where our share is less than one call, each long call must be followed by a pause: once all backends were
// out for nearly their whole share at a time, lingering calls not counted, and the dependency fell.
TEST(Calls, HangingCallsKeepToAShareOfLessThanOne) {
    ControllerConfig terms = plainTerms();
    terms.dependency = DependencyKind::Shared;
    terms.dependencyQuota = 0.25;
    std::vector<Duration> called[2];
    for (int seed = 0; seed < 2; ++seed) {
        terms.seed = static_cast<std::uint64_t>(seed);
        Machine m(terms);  // the model of the rules sums up what is in hand
        for (RequestId id = 1; id <= 4000; ++id) {
            EventBatch round;
            if (id % 10 == 0) round.arrivals = {m.command(id)};
            for (const auto& [other, w] : m.work)
                if (w.at == Machine::At::Cores)
                    round.waitingForDependency.push_back(other);
                else if (w.at != Machine::At::Hold && w.answered)
                    round.runResults.push_back({other, Outcome::Cancelled, 1s});
                else if (w.at == Machine::At::Below && m.now >= w.callEnds)
                    round.dependencyResults.push_back({other, Outcome::TimedOut, 1s});
            const int before = m.calls;
            m.step(round);
            if (m.calls > before) called[seed].push_back(m.now);
        }
        EXPECT_GE(m.calls, 5);  // and it never stops for good
    }
    EXPECT_NE(called[0], called[1]);  // and backends that met it together do not call in step
}

// One long call out once stood for all of them for seconds, and the hold gave up what it had room for.
TEST(Calls, OneLongCallIsNoSlowDependency) {
    ControllerConfig terms = plainTerms();
    terms.dependency = DependencyKind::Shared;
    terms.dependencyQuota = 0.4;
    Machine m(terms);
    RequestId id = 1;
    for (int n = 0; n < 20; ++n) m.step();
    for (; id <= 30; ++id) {
        toCall(m, id);
        ASSERT_EQ(m.work.at(id).at, Machine::At::Below);
        back(m, id, Outcome::Ok);
        end(m, id);
        for (int n = 0; n < 20; ++n) m.step();
    }
    toCall(m, id);
    for (int n = 0; n < 15; ++n) m.step();
    back(m, id, Outcome::Ok);
    end(m, id);
    EventBatch round;
    for (RequestId other = 100; other < 104; ++other) round.arrivals.push_back(m.command(other));
    m.step(round);
    EXPECT_EQ(m.bounces, 0);
}

// An abandoned call that nobody struck out, as no command waited at a call, was paid for without end.
TEST(Calls, AnAbandonedCallIsPaidForOnce) {
    ControllerConfig terms = plainTerms();
    terms.dependency = DependencyKind::Shared;
    terms.dependencyQuota = 0.4;
    Machine m(terms);
    for (int n = 0; n < 20; ++n) m.step();
    toCall(m, 1, 2);
    for (int n = 0; n < 50; ++n) m.step();
    back(m, 1, Outcome::TimedOut);
    end(m, 1);
    for (int n = 0; n < 1000; ++n) m.step();
    toCall(m, 2, 2);
    EXPECT_EQ(m.calls, 2);
}

// A node that failed its runs in a millisecond looked quick to callers, and drew more of them.
TEST(Runs, FailuresInARowBounceCommandsUntilProbesAreGood) {
    Machine m(plainTerms());
    const auto run = [&](RequestId id, Outcome outcome) {
        EventBatch round;
        round.arrivals = {m.command(id)};
        m.step(round);
        if (m.work.count(id) != 0U) end(m, id, outcome);
    };
    for (RequestId id = 1; id <= 5; ++id) run(id, Outcome::Error);
    EXPECT_TRUE(m.logged("circuit breaker opened: target=runs consecutive_failures=5 "));
    EXPECT_FALSE(m.good);
    run(6, Outcome::Ok);
    EXPECT_EQ(m.bounces, 1);
    EXPECT_GT(m.retryAfter, 500ms);
    for (int n = 0; n < 320; ++n) m.step();
    EXPECT_TRUE(m.good);
    EventBatch round;
    round.arrivals = {m.command(11), m.command(12)};
    m.step(round);  // one at a time
    EXPECT_EQ(m.bounces, 2);
    end(m, 11);
    run(13, Outcome::Ok);
    run(14, Outcome::Ok);
    EXPECT_TRUE(m.logged("circuit breaker closed: target=runs"));
}

// Tables full of connections that nobody used again kept callers out and took core time; under pressure of
// the cores they are the cheapest bounce.
TEST(Connections, AreClosedEarlyWhereCallersComeBackSeldomAndKeptUnderPressure) {
    ControllerConfig terms = plainTerms();
    Machine few(terms);
    terms.clientCount = 1000;
    Machine many(terms);
    for (RequestId id = 1; id <= 40; ++id)
        for (Machine* m : {&few, &many}) {
            toCall(*m, id);
            back(*m, id, Outcome::Ok);
            end(*m, id);
            for (int n = 0; n < 7; ++n) m->step();
        }
    EXPECT_LT(few.idle, 0s);  // never told
    EXPECT_EQ(many.idle, 1s);
    for (RequestId id = 1000; id < 2000; id += 5) {
        EventBatch round;
        for (RequestId n = 0; n < 5; ++n) round.arrivals.push_back(many.command(id + n));
        many.step(round);
    }
    EXPECT_GT(many.idle, 2s);
}

// A storm of repeats feeds on first tries that are bounced: they all come again.
TEST(Hold, FurtherTriesGiveWayToFirstOnes) {
    Machine m(plainTerms());
    EventBatch round;
    for (RequestId id = 1; id <= 60; ++id) {
        round.arrivals.push_back(m.command(id));
        round.arrivals.back().isRetry = id % 2 == 0;
    }
    m.step(round);
    int first = 0, further = 0;
    for (const auto& [id, w] : m.work) ++(w.command.isRetry ? further : first);
    EXPECT_GT(first, 2 * further);
}

// On two cores a burst of handshakes once held runs back for a second.
TEST(Hold, ABurstOnTheCoresDoesNotHoldRunsBack) {
    Machine m(plainTerms());
    for (int n = 0; n < 100; ++n) {
        EventBatch round;
        round.arrivals = {m.command(static_cast<RequestId>(n + 1))};
        m.asking = n % 5 == 0 ? 12.0 : 1.0;
        m.step(round);
    }
    EXPECT_GE(m.on(Machine::At::Cores), 4);
}

TEST(Hold, StartsByDueTime) {
    Machine m(plainTerms());
    EventBatch round;
    for (RequestId id = 1; id <= 8; ++id)
        round.arrivals.push_back(m.command(id, 0, 5s - 100ms * static_cast<int>(id)));
    m.step(round);
    EXPECT_TRUE(m.work.at(8).ran && m.work.at(7).ran);
    EXPECT_FALSE(m.work.at(1).ran);
}

TEST(Hold, GivesUpWhatEarnsLeastAtOnceWhenNotAllCanBeInTime) {
    Machine m(plainTerms());
    EventBatch round;
    for (RequestId id = 1; id <= 60; ++id) round.arrivals.push_back(m.command(id, id % 2 == 0 ? 1 : 0));
    m.step(round);
    EXPECT_GT(m.bounces, 5);
    int cheap = 0, dear = 0;
    for (const auto& [id, w] : m.work) ++(w.command.requestClass == 1 ? dear : cheap);
    EXPECT_GT(dear, 2 * cheap);
}

// A mean of told work that grew from nothing took a fresh node's first command for twenty times the usual.
TEST(Hold, TheFirstHintStandsForTheMean) {
    Machine m(plainTerms());
    EventBatch round;
    round.arrivals = {m.command(1)};
    round.arrivals[0].expectedWork = 300ms;
    m.step(round);
    EXPECT_EQ(m.starts, 1);
}

// Calls with little time of their own once made an idle backend call itself full.
TEST(Hold, WhatCameWithLittleTimeIsNoOverload) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 100; ++id) {
        EventBatch round;
        round.arrivals = {m.command(id, 0, 100ms), m.command(1000 + id, 0, 100ms)};
        m.step(round);
    }
    EXPECT_GT(m.bounces, 50);
    EXPECT_FALSE(m.logged("overload"));
}

// Only callers that stay away end a jam of commands that are read too late.
TEST(Hold, AnUnreadJamAsksCallersToComeBackLater) {
    Machine m(plainTerms());
    for (RequestId id = 1; id <= 30; ++id) {
        EventBatch round;
        round.arrivals = {m.command(id)};
        round.arrivals[0].queuedBeforeRead = 1950ms;
        m.step(round);
    }
    EXPECT_GT(m.bounces, 10);
    EXPECT_GT(m.retryAfter, 400ms);
}

// The fifth failed run in a row gives up all that is held; a caller that left in that very round was bounced
// with the others, though nobody was there to be answered.
TEST(Runs, ABreakerThatOpensAnswersNobodyWhoHasLeft) {
    ControllerConfig terms = plainTerms();
    terms.cores = 1;
    terms.requestClasses[0].callsDependency = false;
    Machine m(terms);
    RequestId next = 1;
    EventBatch round;
    for (int n = 0; n < 12; ++n) round.arrivals.push_back(m.command(next++));
    m.step(round);
    const auto firstAt = [&](Machine::At place) {
        for (const auto& [id, w] : m.work)
            if (w.at == place && !w.answered) return id;
        return RequestId{0};
    };
    for (int failed = 0; failed < 5; ++failed) {
        for (int n = 0; n < 200 && firstAt(Machine::At::Cores) == 0; ++n) m.step();
        round = {};
        round.runResults = {{firstAt(Machine::At::Cores), Outcome::Error, 5ms}};
        if (failed == 4) round.clientCancellations = {firstAt(Machine::At::Hold)};
        ASSERT_NE(round.runResults[0].id, 0U);
        m.step(round, 1ms);
    }
    EXPECT_TRUE(m.logged("circuit breaker opened: target=runs"));
    EXPECT_GT(m.bounces, 0);
    EXPECT_EQ(m.on(Machine::At::Hold), 0);
}

// A cold machine of one core bears a crowd of 1.6 at first: two runs were let on it, as 1 is below 1.28.
TEST(Runs, AColdMachineOfOneCoreIsNotCrowdedByRounding) {
    ControllerConfig terms = plainTerms();
    terms.cores = 1;
    terms.startsCold = true;
    Machine m(terms);
    m.asking = 0.2;  // the gauge says that the core has room
    RequestId next = 1;
    for (int n = 0; n < 150; ++n) {
        EventBatch round;
        if (n < 20) round.arrivals = {m.command(next++)};
        m.step(round);
        // The ceiling passes two runs once the machine is at half of its speed.
        if (m.now - m.born < 3s) {
            EXPECT_LE(m.on(Machine::At::Cores), 1) << n;
        }
    }
    EXPECT_GT(m.starts, 0);
}

// Found by the laboratory (slow-records): runs given up at their call were never stopped; where what runs
// them does not end them by itself, 26 of them filled a backend's places, and it handled a fifth of its load
// for good.
TEST(Calls, ARunThatIsGivenUpAtItsCallIsStopped) {
    ControllerConfig terms = plainTerms();
    terms.runCancellation = RunCancellation::Suspend;
    Machine m(terms);
    EventBatch round;
    round.arrivals = {m.command(1)};
    m.step(round);
    round = {};
    round.waitingForDependency = {1};
    m.step(round);
    m.step();
    ASSERT_EQ(m.on(Machine::At::Below), 1);
    round = {};
    round.clientCancellations = {1};
    m.step(round);
    EXPECT_EQ(m.halts, 1);
}

TEST(Leaving, NoticeTurnsHealthBadAndLateArrivalsAway) {
    Machine m(plainTerms());
    m.step();
    EXPECT_TRUE(m.good);
    EventBatch round;
    round.shutdownAt = m.now + 5s;
    m.step(round);
    EXPECT_FALSE(m.good);
    for (int n = 0; n < 60; ++n) m.step();
    round = {};
    round.arrivals = {m.command(1)};
    m.step(round);
    EXPECT_EQ(m.bounces, 1);
}

}  // namespace
}  // namespace cottonwing::testing
