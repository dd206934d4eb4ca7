// The whole controller in plain cases: the figures of docs/design.md, and one case for each failure found.
#include "helpers.h"

namespace cottonwing::testing {
namespace {

// Brings one request to its first dependency call.
void toCall(ControllerHarness& m, RequestId id, int profile = 0) {
    EventBatch batch;
    batch.arrivals = {m.command(id, profile)};
    m.step(batch);
    batch = {};
    batch.waitingForDependency = {id};
    m.step(batch);
}
void back(ControllerHarness& m, RequestId id, Outcome outcome, Duration passed = 20ms, Duration took = 50ms) {
    EventBatch batch;
    batch.dependencyResults = {{id, outcome, took}};
    m.step(batch, passed);
}
void end(ControllerHarness& m, RequestId id, Outcome outcome = Outcome::Ok) {
    EventBatch batch;
    batch.runResults = {{id, outcome, 100ms}};
    m.step(batch);
}

TEST(ControllerCalls, AnIdempotentRequestMakesAtMostThreeAttempts) {
    ControllerHarness m(plainControllerConfig());
    toCall(m, 1);
    for (int i = 0; i < 3; ++i) {
        back(m, 1, Outcome::ResourceExhausted);
        for (int n = 0; n < 40; ++n) m.step();
    }
    EXPECT_EQ(m.calls, 3);
    EXPECT_EQ(m.scraps, 1);
}

TEST(ControllerCalls, AnErrorIsNotRetried) {
    ControllerHarness m(plainControllerConfig());
    toCall(m, 1);
    back(m, 1, Outcome::Error);
    EXPECT_EQ(m.calls, 1);
    EXPECT_EQ(m.scraps, 1);
}

TEST(ControllerCalls, WithoutIdempotencyOnlyCallsThatNeverRanAreRetriedAndOthersSkippedWhereAllowed) {
    ControllerHarness m(plainControllerConfig());
    toCall(m, 1, 2);
    back(m, 1, Outcome::Unreachable);
    for (int n = 0; n < 40; ++n) m.step();
    EXPECT_EQ(m.calls, 2);
    back(m, 1, Outcome::ConnectionLost);
    EXPECT_EQ(m.calls, 2);
    EXPECT_EQ(m.leftOut, 1);
}

TEST(ControllerCalls, AnAttemptGetsTheAttemptTimeoutOrHalfOfTheRemainingTime) {
    ControllerHarness m(plainControllerConfig());
    toCall(m, 1);
    EXPECT_EQ(m.patience, 1s);
    EventBatch batch;
    batch.arrivals = {m.command(2, 0, 1040ms)};
    m.step(batch);
    batch = {};
    batch.waitingForDependency = {2};
    m.step(batch);
    EXPECT_NEAR(m.patience.count(), Duration(500ms).count(), Duration(40ms).count());
}

// A shared database that gets slow must not keep requests for the time that a tier's long calls need.
TEST(ControllerCalls, TheAttemptTimeoutFollowsSuccessfulCalls) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 20; ++id) {
        toCall(m, id);
        back(m, id, Outcome::Ok);
        end(m, id);
    }
    toCall(m, 21);
    EXPECT_EQ(m.patience, 350ms);  // seven times what these took
}

TEST(ControllerCalls, TheRetryBudgetStopsRetriesAtHalfItsTokens) {
    ControllerHarness m(plainControllerConfig());
    int calls = 0;
    // single failures with successes between them, which never earn back what a failure takes
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

TEST(ControllerCalls, FiveConsecutiveFailuresOpenTheCircuitBreakerAndThreeSuccessfulProbesCloseIt) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 5; ++id) {
        EXPECT_FALSE(m.logged("circuit breaker opened"));
        toCall(m, id);
        back(m, id, Outcome::Error);
        end(m, id, Outcome::Cancelled);
    }
    EXPECT_TRUE(m.logged("circuit breaker opened: target=dependency consecutive_failures=5 "));
    const int calls = m.calls, bounces = m.bounces;
    EventBatch batch;
    batch.arrivals = {m.command(9)};
    m.step(batch);  // would meet the open breaker: rejected before it costs work, with a Retry-After
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

// What a limit of this server held back, and runs that were never started, are no failures.
TEST(ControllerCalls, LocalLimitsAndSupersededRunsOpenNoCircuitBreaker) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 30; ++id) {
        toCall(m, id);
        back(m, id, Outcome::LocalLimit);
        for (int n = 0; n < 10; ++n) m.step();
        EXPECT_EQ(m.work.at(id).at, ControllerHarness::At::Below)
            << "it was never sent, so it may be retried";
        back(m, id, Outcome::Ok);
        end(m, id, Outcome::Superseded);
    }
    EXPECT_FALSE(m.logged("circuit breaker opened"));
}

// A call whose response cannot be parsed has run: the dependency works, and nothing is left running there.
TEST(ControllerCalls, AMalformedResponseIsRetriedAndOpensNoCircuitBreaker) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 30; ++id) {
        toCall(m, id);
        if (id % 2 == 0) {
            back(m, id, Outcome::MalformedResponse);
            for (int n = 0; n < 10; ++n) m.step();
        }
        if (m.work.at(id).at == ControllerHarness::At::Below) back(m, id, Outcome::Ok);
        end(m, id);
    }
    EXPECT_GT(m.calls, 33);
    EXPECT_FALSE(m.logged("circuit breaker opened"));
    toCall(m, 99, 2);
    back(m, 99, Outcome::MalformedResponse);  // it may have had its effect
    EXPECT_EQ(m.leftOut, 1);
}

// A call that hangs now and then took a quarter of a latency objective and passed for an overload.
TEST(ControllerCalls, ACallThatHangsAmongQuickOnesTimesOutSoonAndIsNoOverload) {
    ControllerConfig config = plainControllerConfig();
    config.dependency = DependencyKind::Shared;
    config.dependencyQuota = 10;
    ControllerHarness m(config);
    for (RequestId id = 1; id <= 200; ++id) {
        const bool hangs = id % 20 == 0;
        toCall(m, id);
        back(m, id, hangs ? Outcome::TimedOut : Outcome::Ok, 20ms, hangs ? 1s : 10ms);
        end(m, id, hangs ? Outcome::Cancelled : Outcome::Ok);
    }
    EXPECT_EQ(m.patience, 100ms);  // a twentieth of the latency objective at least
    EventBatch batch;              // as many as the quota allows are sent at once
    for (RequestId id = 300; id < 310; ++id) batch.arrivals.push_back(m.command(id));
    for (m.step(batch); m.on(ControllerHarness::At::Cores) > 0;) {
        EventBatch calls;
        for (const auto& [id, w] : m.work)
            if (w.at == ControllerHarness::At::Cores) calls.waitingForDependency.push_back(id);
        m.step(calls);
    }
    EXPECT_GE(m.out, 7) << "nothing is overloaded";
}

// While calls queue, requests that make none get the cores; the others can be rejected, or start later.
TEST(ControllerQueue, ARequestThatWouldOnlyWaitForItsCallIsNotStarted) {
    ControllerConfig config = plainControllerConfig();
    config.dependency = DependencyKind::Shared;
    config.dependencyQuota = 4;
    config.cores = 30;
    config.requestClasses[0].latencyObjective = 12s;
    config.requestClasses[0].timeout = 100s;
    config.requestClasses[1] = config.requestClasses[0];
    config.requestClasses[1].callsDependency = false;
    ControllerHarness m(config);
    for (RequestId id = 1; id <= 5; ++id) {
        toCall(m, id);
        back(m, id, Outcome::Ok, 20ms, 1s);
        end(m, id);
    }
    EventBatch batch;
    for (RequestId id = 10; id < 34; ++id) batch.arrivals.push_back(m.command(id, 0, 90s));
    m.step(batch);
    batch = {};
    for (RequestId id = 10; id < 34; ++id)
        batch.waitingForDependency.push_back(id);  // some are called, the others wait
    m.step(batch);
    batch = {};
    for (int profile = 0; profile < 2; ++profile)
        batch.arrivals.push_back(m.command(50 + profile, profile, 90s));
    m.step(batch);
    EXPECT_EQ(m.work.at(50).at, ControllerHarness::At::Hold);
    EXPECT_EQ(m.work.at(51).at, ControllerHarness::At::Cores);
}

TEST(ControllerCalls, HalfOfTheLastTwentyOutcomesOpenTheCircuitBreaker) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 20; ++id) {
        EXPECT_FALSE(m.logged("circuit breaker opened"));
        toCall(m, id);
        back(m, id, id % 2 == 0 ? Outcome::Error : Outcome::Ok);
        end(m, id);
    }
    EXPECT_TRUE(m.logged("window_failures=10 window_size=20"));
}

TEST(ControllerCalls, TimeoutsOfAStalledProcessAreNotTheDependencysFailure) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 8; ++id) {
        toCall(m, id);
        back(m, id, Outcome::TimedOut, 400ms);
        end(m, id, Outcome::Cancelled);
    }
    EXPECT_TRUE(m.logged("process stalled"));
    EXPECT_FALSE(m.logged("circuit breaker opened"));
}

// Where the quota is below one call, each long call must be followed by a pause: once all servers used nearly
// their whole quota at a time, abandoned calls not counted, and the dependency collapsed.
TEST(ControllerCalls, HangingCallsKeepToAQuotaBelowOne) {
    ControllerConfig config = plainControllerConfig();
    config.dependency = DependencyKind::Shared;
    config.dependencyQuota = 0.25;
    std::vector<Duration> called[2];
    for (int seed = 0; seed < 2; ++seed) {
        config.seed = static_cast<std::uint64_t>(seed);
        ControllerHarness m(config);  // the model of the rules sums up what is in progress
        for (RequestId id = 1; id <= 4000; ++id) {
            EventBatch batch;
            if (id % 10 == 0) batch.arrivals = {m.command(id)};
            for (const auto& [other, w] : m.work)
                if (w.at == ControllerHarness::At::Cores)
                    batch.waitingForDependency.push_back(other);
                else if (w.at != ControllerHarness::At::Hold && w.answered)
                    batch.runResults.push_back({other, Outcome::Cancelled, 1s});
                else if (w.at == ControllerHarness::At::Below && m.now >= w.callEnds)
                    batch.dependencyResults.push_back({other, Outcome::TimedOut, 1s});
            const int before = m.calls;
            m.step(batch);
            if (m.calls > before) called[seed].push_back(m.now);
        }
        EXPECT_GE(m.calls, 5);  // and it never stops for good
    }
    EXPECT_NE(called[0], called[1]);  // and servers that met it together do not call in step
}

// One long call in flight once stood for all of them for seconds, and requests were shed without need.
TEST(ControllerCalls, OneLongCallIsNoSlowDependency) {
    ControllerConfig config = plainControllerConfig();
    config.dependency = DependencyKind::Shared;
    config.dependencyQuota = 0.4;
    ControllerHarness m(config);
    RequestId id = 1;
    for (int n = 0; n < 20; ++n) m.step();
    for (; id <= 30; ++id) {
        toCall(m, id);
        ASSERT_EQ(m.work.at(id).at, ControllerHarness::At::Below);
        back(m, id, Outcome::Ok);
        end(m, id);
        for (int n = 0; n < 20; ++n) m.step();
    }
    toCall(m, id);
    for (int n = 0; n < 15; ++n) m.step();
    back(m, id, Outcome::Ok);
    end(m, id);
    EventBatch batch;
    for (RequestId other = 100; other < 104; ++other) batch.arrivals.push_back(m.command(other));
    m.step(batch);
    EXPECT_EQ(m.bounces, 0);
}

// An abandoned call that was not removed, as no run waited for a call, was charged without end.
TEST(ControllerCalls, AnAbandonedCallIsChargedOnce) {
    ControllerConfig config = plainControllerConfig();
    config.dependency = DependencyKind::Shared;
    config.dependencyQuota = 0.4;
    ControllerHarness m(config);
    for (int n = 0; n < 20; ++n) m.step();
    toCall(m, 1, 2);
    for (int n = 0; n < 50; ++n) m.step();
    back(m, 1, Outcome::TimedOut);
    end(m, 1);
    for (int n = 0; n < 1000; ++n) m.step();
    toCall(m, 2, 2);
    EXPECT_EQ(m.calls, 2);
}

// A server that failed its runs in a millisecond looked quick to clients, and attracted more of them.
TEST(ControllerRuns, ConsecutiveFailuresRejectRequestsUntilProbesSucceed) {
    ControllerHarness m(plainControllerConfig());
    const auto run = [&](RequestId id, Outcome outcome) {
        EventBatch batch;
        batch.arrivals = {m.command(id)};
        m.step(batch);
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
    EventBatch batch;
    batch.arrivals = {m.command(11), m.command(12)};
    m.step(batch);  // one at a time
    EXPECT_EQ(m.bounces, 2);
    end(m, 11);
    run(13, Outcome::Ok);
    run(14, Outcome::Ok);
    EXPECT_TRUE(m.logged("circuit breaker closed: target=runs"));
}

// Tables full of connections that nobody used again kept clients out and took core time; when the cores are
// overloaded they are the cheapest rejection.
TEST(ControllerConnections, AreClosedEarlyWhereClientsComeBackSeldomAndKeptUnderOverload) {
    ControllerConfig config = plainControllerConfig();
    ControllerHarness few(config);
    config.clientCount = 1000;
    ControllerHarness many(config);
    for (RequestId id = 1; id <= 40; ++id)
        for (ControllerHarness* m : {&few, &many}) {
            toCall(*m, id);
            back(*m, id, Outcome::Ok);
            end(*m, id);
            for (int n = 0; n < 7; ++n) m->step();
        }
    EXPECT_LT(few.idle, 0s);  // never changed
    EXPECT_EQ(many.idle, 1s);
    for (RequestId id = 1000; id < 2000; id += 5) {
        EventBatch batch;
        for (RequestId n = 0; n < 5; ++n) batch.arrivals.push_back(many.command(id + n));
        many.step(batch);
    }
    EXPECT_GT(many.idle, 2s);
}

// A retry storm feeds on first attempts that are rejected: they all come again.
TEST(ControllerQueue, RetriesAreShedBeforeFirstAttempts) {
    ControllerHarness m(plainControllerConfig());
    EventBatch batch;
    for (RequestId id = 1; id <= 60; ++id) {
        batch.arrivals.push_back(m.command(id));
        batch.arrivals.back().isRetry = id % 2 == 0;
    }
    m.step(batch);
    int first = 0, further = 0;
    for (const auto& [id, w] : m.work) ++(w.command.isRetry ? further : first);
    EXPECT_GT(first, 2 * further);
}

// On two cores a burst of handshakes once delayed runs for a second.
TEST(ControllerQueue, ABurstOfCoreDemandDoesNotDelayRuns) {
    ControllerHarness m(plainControllerConfig());
    for (int n = 0; n < 100; ++n) {
        EventBatch batch;
        batch.arrivals = {m.command(static_cast<RequestId>(n + 1))};
        m.asking = n % 5 == 0 ? 12.0 : 1.0;
        m.step(batch);
    }
    EXPECT_GE(m.on(ControllerHarness::At::Cores), 4);
}

TEST(ControllerQueue, StartsByDeadline) {
    ControllerHarness m(plainControllerConfig());
    EventBatch batch;
    for (RequestId id = 1; id <= 8; ++id)
        batch.arrivals.push_back(m.command(id, 0, 5s - 100ms * static_cast<int>(id)));
    m.step(batch);
    EXPECT_TRUE(m.work.at(8).ran && m.work.at(7).ran);
    EXPECT_FALSE(m.work.at(1).ran);
}

TEST(ControllerQueue, ShedsTheLeastValuableAtOnceWhenNotAllCanCompleteInTime) {
    ControllerHarness m(plainControllerConfig());
    EventBatch batch;
    for (RequestId id = 1; id <= 60; ++id) batch.arrivals.push_back(m.command(id, id % 2 == 0 ? 1 : 0));
    m.step(batch);
    EXPECT_GT(m.bounces, 5);
    int cheap = 0, dear = 0;
    for (const auto& [id, w] : m.work) ++(w.command.requestClass == 1 ? dear : cheap);
    EXPECT_GT(dear, 2 * cheap);
}

// A mean of expected work that grew from zero took a new server's first request for twenty times the usual.
TEST(ControllerQueue, TheFirstExpectedWorkStandsForTheMean) {
    ControllerHarness m(plainControllerConfig());
    EventBatch batch;
    batch.arrivals = {m.command(1)};
    batch.arrivals[0].expectedWork = 300ms;
    m.step(batch);
    EXPECT_EQ(m.starts, 1);
}

// Requests with little time left once made an idle server report an overload.
TEST(ControllerQueue, ShortDeadlinesAreNoOverload) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 100; ++id) {
        EventBatch batch;
        batch.arrivals = {m.command(id, 0, 100ms), m.command(1000 + id, 0, 100ms)};
        m.step(batch);
    }
    EXPECT_GT(m.bounces, 50);
    EXPECT_FALSE(m.logged("overload"));
}

// Only clients that stay away end a queue of requests that are read too late.
TEST(ControllerQueue, AQueueingDelayBeforeReadingRaisesRetryAfter) {
    ControllerHarness m(plainControllerConfig());
    for (RequestId id = 1; id <= 30; ++id) {
        EventBatch batch;
        batch.arrivals = {m.command(id)};
        batch.arrivals[0].queuedBeforeRead = 1950ms;
        m.step(batch);
    }
    EXPECT_GT(m.bounces, 10);
    EXPECT_GT(m.retryAfter, 400ms);
}

// The fifth consecutive failure rejects all that is queued; a client that cancelled in that very batch was
// answered with the others, though nobody was there.
TEST(ControllerRuns, ACircuitBreakerThatOpensAnswersNoClientThatCancelled) {
    ControllerConfig config = plainControllerConfig();
    config.cores = 1;
    config.requestClasses[0].callsDependency = false;
    ControllerHarness m(config);
    RequestId next = 1;
    EventBatch batch;
    for (int n = 0; n < 12; ++n) batch.arrivals.push_back(m.command(next++));
    m.step(batch);
    const auto firstAt = [&](ControllerHarness::At place) {
        for (const auto& [id, w] : m.work)
            if (w.at == place && !w.answered) return id;
        return RequestId{0};
    };
    for (int failed = 0; failed < 5; ++failed) {
        for (int n = 0; n < 200 && firstAt(ControllerHarness::At::Cores) == 0; ++n) m.step();
        batch = {};
        batch.runResults = {{firstAt(ControllerHarness::At::Cores), Outcome::Error, 5ms}};
        if (failed == 4) batch.clientCancellations = {firstAt(ControllerHarness::At::Hold)};
        ASSERT_NE(batch.runResults[0].id, 0U);
        m.step(batch, 1ms);
    }
    EXPECT_TRUE(m.logged("circuit breaker opened: target=runs"));
    EXPECT_GT(m.bounces, 0);
    EXPECT_EQ(m.on(ControllerHarness::At::Hold), 0);
}

// A cold server of one core survives 1.6 runs at first: two were started on it, as 1 is below 1.28.
TEST(ControllerRuns, AColdServerOfOneCoreIsNotOverloadedByRounding) {
    ControllerConfig config = plainControllerConfig();
    config.cores = 1;
    config.startsCold = true;
    ControllerHarness m(config);
    m.asking = 0.2;  // the gauge says that the core is idle
    RequestId next = 1;
    for (int n = 0; n < 150; ++n) {
        EventBatch batch;
        if (n < 20) batch.arrivals = {m.command(next++)};
        m.step(batch);
        // Two runs are allowed once the server is at half of its capacity.
        if (m.now - m.born < 3s) {
            EXPECT_LE(m.on(ControllerHarness::At::Cores), 1) << n;
        }
    }
    EXPECT_GT(m.starts, 0);
}

// Found by a load test (slow-records): runs cancelled during their call were never stopped; where the
// executor does not end them by itself, 26 of them filled a server's limit, and it completed a fifth of its
// load for good.
TEST(ControllerCalls, ARunThatIsCancelledDuringItsCallIsStopped) {
    ControllerConfig config = plainControllerConfig();
    config.runCancellation = RunCancellation::Suspend;
    ControllerHarness m(config);
    EventBatch batch;
    batch.arrivals = {m.command(1)};
    m.step(batch);
    batch = {};
    batch.waitingForDependency = {1};
    m.step(batch);
    m.step();
    ASSERT_EQ(m.on(ControllerHarness::At::Below), 1);
    batch = {};
    batch.clientCancellations = {1};
    m.step(batch);
    EXPECT_EQ(m.halts, 1);
}

TEST(ControllerShutdown, TheNoticeEndsHealthAndRejectsLateArrivals) {
    ControllerHarness m(plainControllerConfig());
    m.step();
    EXPECT_TRUE(m.good);
    EventBatch batch;
    batch.processEndsAt = m.now + 5s;
    m.step(batch);
    EXPECT_FALSE(m.good);
    for (int n = 0; n < 60; ++n) m.step();
    batch = {};
    batch.arrivals = {m.command(1)};
    m.step(batch);
    EXPECT_EQ(m.bounces, 1);
}

}  // namespace
}  // namespace cottonwing::testing
