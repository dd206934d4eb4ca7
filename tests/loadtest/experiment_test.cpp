// The emulated environment: the cores follow processor sharing, the invariant checker reports each violation,
// the services have the configured faults; and a short experiment with real backends.
#include "loadtest/experiment.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "helpers.h"
#include "loadtest/paired_comparison.h"
#include "loadtest/report.h"
#include "support/processor_sharing_reference.h"

namespace cottonwing::loadtest {
namespace {

using namespace std::chrono_literals;
using cottonwing::testing::runUntil;

int randomUpTo(int max) { return *rc::gen::resize(1000, rc::gen::inRange(0, max + 1)); }

// ---- cores ----------------------------------------------------------------------------------------------

// Rounding of the emulated cores: their clock has whole nanoseconds, and each end is up to a few of them
// late.
constexpr double kCoresTolerance = 1e-6;  // seconds, of time and of work
// Work has whole milliseconds, so no run ends at this offset from a step of the test. Otherwise rounding
// would decide whether a run ends just before a pause or just after it.
constexpr Duration kStepOffset = 1234567ns;

// Two instances of the emulated cores beside the reference: one is advanced at each end of a run, as the
// worker pool's timer does, and one late, as on a machine that is too busy for that.
struct ComparedCores {
    explicit ComparedCores(const CoresConfig& config) : punctual(config), late(config), reference(config) {
        punctual.start(0s);
        late.start(0s);
    }
    void advanceTo(Duration now) {
        for (auto end = punctual.nextEnd(); end && *end <= now; end = punctual.nextEnd())
            for (const std::uint64_t id : punctual.ended(*end)) punctualEnds.emplace(id, *end);
        for (const std::uint64_t id : punctual.ended(now)) punctualEnds.emplace(id, now);
        reference.advanceTo(std::chrono::duration<long double>(now).count());
    }
    void advanceLate(Duration now) {
        for (const std::uint64_t id : late.ended(now)) lateEnds.insert(id);
    }
    void add(std::uint64_t id, double work, Duration now) {
        punctual.add(id, work, now);
        late.add(id, work, now);
        reference.add(id, work);
    }
    void setSlowdown(double factor, Duration now) {
        advanceTo(now);
        punctual.setSlowdown(factor, now);
        late.setSlowdown(factor, now);
        reference.setSlowdown(factor);
    }
    void remove(std::uint64_t id, Duration now) {
        const double left = static_cast<double>(reference.remainingWork().at(id));
        RC_ASSERT(std::abs(punctual.remove(id, now) - left) < kCoresTolerance);
        RC_ASSERT(std::abs(late.remove(id, now) - left) < kCoresTolerance);
        reference.remove(id);
        // Removed at the time of its end: it may have ended before.
        if (left >= kCoresTolerance) return;
        punctualEnds.erase(id);
        lateEnds.erase(id);
    }
    // A run with more remaining work than the tolerance still runs; one that ended longer ago than the
    // tolerance does not.
    void compareRuns(Duration now) const {
        for (const auto& [id, left] : reference.remainingWork())
            if (left > kCoresTolerance) RC_ASSERT(punctual.has(id));
        for (const auto& [id, end] : reference.ends())
            if (std::chrono::duration<double>(now).count() - static_cast<double>(end) > kCoresTolerance)
                RC_ASSERT(!punctual.has(id));
    }
    void compareEnds() const {
        RC_ASSERT(reference.remainingWork().empty());
        RC_ASSERT(punctualEnds.size() == reference.ends().size());
        RC_ASSERT(lateEnds.size() == reference.ends().size());
        for (const auto& [id, end] : reference.ends()) {
            RC_ASSERT(punctualEnds.contains(id));
            RC_ASSERT(lateEnds.contains(id));
            const double at = std::chrono::duration<double>(punctualEnds.at(id)).count();
            RC_ASSERT(std::abs(at - static_cast<double>(end)) < kCoresTolerance);
        }
    }

    Cores punctual, late;
    cottonwing::testing::ProcessorSharingReference reference;
    std::map<std::uint64_t, Duration> punctualEnds;
    std::set<std::uint64_t> lateEnds;
};

// Guards against runs that end at a time other than their share of the cores implies, and against a reference
// with steps too coarse to detect that.
RC_GTEST_PROP(EmulatedCores, MatchTheProcessorSharingReference, ()) {
    CoresConfig config;
    config.cores = 1 + randomUpTo(3);
    config.thrashingThreshold = 1 + randomUpTo(2);
    ComparedCores cores(config);
    std::uint64_t next = 1;
    for (Duration now = 0s; now < 400ms; now += 5ms) {
        cores.advanceTo(now);
        cores.compareRuns(now);
        if (randomUpTo(3) == 0) cores.advanceLate(now);
        if (next <= 30 && randomUpTo(2) == 0)
            cores.add(next++, 0.001 * (1 + randomUpTo(40)), now);
        else if (!cores.reference.remainingWork().empty() && randomUpTo(20) == 0)
            cores.remove(cores.reference.remainingWork().begin()->first, now);
        else if (randomUpTo(20) == 0)
            cores.setSlowdown(randomUpTo(3), now + kStepOffset);
    }
    cores.setSlowdown(1, 400ms);
    cores.advanceTo(100s);
    cores.advanceLate(100s);
    cores.compareEnds();
}

TEST(EmulatedCores, PauseAndSlowStartDelayRuns) {
    CoresConfig config;
    config.cores = 1;
    Cores cores(config);
    cores.start(0s);
    cores.add(1, 0.1, 0s);
    cores.setSlowdown(0, 50ms);
    EXPECT_FALSE(cores.nextEnd());
    cores.setSlowdown(1, 5s);
    EXPECT_TRUE(cores.ended(5s + 49ms).empty());
    EXPECT_EQ(cores.ended(5s + 51ms).size(), 1U);
    config.coldSpeedFraction = 0.25;
    config.warmUpTime = 10s;
    Cores cold(config);
    cold.start(0s);
    cold.add(1, 0.1, 0s);
    EXPECT_TRUE(cold.ended(300ms).empty());
    EXPECT_EQ(cold.ended(400ms).size(), 1U);
}

// ---- invariant checker ----------------------------------------------------------------------------------

std::vector<RequestClassLoad> twoRequestClasses() {
    RequestClassLoad read, write;
    read.name = "read";
    write.name = "write";
    write.idempotency = Idempotency::None;
    return {read, write};
}
ScheduledRequest planned(int requestClass, double kb = 20) {
    ScheduledRequest result;
    result.requestClass = requestClass;
    result.memoryKb = kb;
    return result;
}
std::uint64_t count(const InvariantChecker& checker, Invariant invariant) {
    return checker.counts()[static_cast<std::size_t>(invariant)];
}

TEST(InvariantCheckerTest, ReportsDuplicateRunsAndRejectionAfterRun) {
    InvariantChecker checker(twoRequestClasses(), 60s, 1e6, 4);
    checker.onAttemptSent(planned(0), "r1", "r1", 0);
    checker.runStarted(0, "r1", "r1", steadyNow());
    checker.onAttemptSent(planned(0), "r2", "r1", 1);
    checker.runStarted(1, "r2", "r1", steadyNow());
    EXPECT_EQ(count(checker, Invariant::Duplicate), 0U) << "an idempotent request may run again";
    checker.onAttemptSent(planned(1), "w1", "w1", 0);
    checker.runStarted(0, "w1", "w1", steadyNow());
    checker.onAttemptSent(planned(1), "w2", "w1", 1);
    checker.runStarted(1, "w2", "w1", steadyNow());
    EXPECT_EQ(count(checker, Invariant::Duplicate), 1U);
    EXPECT_NE(checker.violations()[0].description.find("w2 ran again (first attempt w1), instance 1"),
              std::string::npos);
    checker.onResponse("w2", ClientResponse::Kind::Busy);
    EXPECT_EQ(count(checker, Invariant::Duplicate), 2U);
    checker.onAttemptSent(planned(0), "r3", "r3", 0);
    checker.onResponse("r3", ClientResponse::Kind::Answer);
    EXPECT_EQ(count(checker, Invariant::Lost), 1U) << "a result without a run";
}

TEST(InvariantCheckerTest, ReportsRepeatedCallsUnlessTheLastIsKnownNotToHaveRun) {
    InvariantChecker checker(twoRequestClasses(), 60s, 1e6, 4);
    checker.onAttemptSent(planned(1), "w1", "w1", 0);
    checker.runStarted(0, "w1", "w1", steadyNow());
    checker.callStarted(0, "w1");
    checker.callEnded("w1", true);
    checker.callStarted(0, "w1");
    EXPECT_EQ(count(checker, Invariant::Duplicate), 0U);
    checker.callStarted(0, "w1");
    EXPECT_EQ(count(checker, Invariant::Duplicate), 1U);
}

TEST(InvariantCheckerTest, ReportsMemoryOverloadAndLateStartsAndRemovesExpiredAttempts) {
    InvariantChecker checker(twoRequestClasses(), 60s, 100, 4);
    checker.onAttemptSent(planned(0, 30), "a", "a", 0);
    checker.runStarted(0, "a", "a", steadyNow());
    EXPECT_EQ(count(checker, Invariant::Overload), 1U) << "four times 30 of 100";
    EXPECT_DOUBLE_EQ(checker.memoryKb(0), 120);
    checker.onAttemptReleased("a");
    checker.runEnded("a");
    EXPECT_DOUBLE_EQ(checker.memoryKb(0), 0);
    checker.drainStarted(0, steadyNow() - 1s, 100ms);
    checker.onAttemptSent(planned(0, 1), "late", "late", 0);
    checker.runStarted(0, "late", "late", steadyNow());
    EXPECT_EQ(count(checker, Invariant::Drain), 1U);
    InvariantChecker expiring(twoRequestClasses(), 0s, 1e6, 4);
    for (int n = 0; n < 1000; ++n)
        expiring.onAttemptSent(planned(0), std::to_string(n), std::to_string(n), 0);
    EXPECT_LT(expiring.attemptCount(), 10U);
}

// ---- services -------------------------------------------------------------------------------------------

// A client connection that records the received bytes.
struct RecordingConnection : net::ConnectionHandler {
    RecordingConnection(net::Loop& loop, const net::Address& to)
        : connection(
              std::make_unique<net::Connection>(loop, to, *this, net::BufferLimits{1 << 20, 1 << 20})) {}
    void arrived(net::Connection& from) override {
        std::string scratch;
        text += from.input().peek(from.input().size(), scratch);
        from.input().drop(from.input().size());
    }
    void ended(net::Connection&, net::ConnectionEnd) override { closed = true, connection.reset(); }
    bool hasReceived(const std::string& what) const { return text.find(what) != text.npos; }
    std::unique_ptr<net::Connection> connection;
    std::string text;
    bool closed = false;
};

std::string spawnLine(int job, int micros, int calls) {
    const std::string name = "000000000000000" + std::to_string(job);
    return worker_pool::startLine(
        name, "read",
        "cw1 " + name + " " + std::to_string(micros) + " " + std::to_string(calls) + " 1000 0;");
}

struct EmulationFixture {
    net::Loop loop;
    InvariantChecker checker{twoRequestClasses(), 60s, 1e6, 4};
    net::Address at{"127.0.0." + std::to_string(2 + getpid() % 250), 0};
};

int freePort(net::Loop& loop, const std::string& host) {
    return net::Listener(
               loop, {host, 0}, [](net::PendingConnection) {}, [] { return false; })
        .port();
}

TEST(EmulatedWorkerPool, RunsBlocksAndResendsNoticesAfterAConnectionLoss) {
    EmulationFixture fixture;
    fixture.at.port = freePort(fixture.loop, fixture.at.host);
    WorkerPoolConfig config;
    config.duplicateEvery = 2;
    WorkerPool pool(fixture.loop, 0, fixture.at, config, fixture.checker);
    auto client = std::make_unique<RecordingConnection>(fixture.loop, fixture.at);
    client->connection->send(worker_pool::bindLine(0) + spawnLine(1, 2000, 1) + spawnLine(2, 1000, 0));
    runUntil(fixture.loop, [&] { return client->hasReceived("blocked") && client->hasReceived("finished"); });
    EXPECT_TRUE(client->hasReceived("\"bound\""));
    client.reset();
    client = std::make_unique<RecordingConnection>(fixture.loop, fixture.at);
    client->connection->send(worker_pool::bindLine(0));
    runUntil(fixture.loop, [&] { return client->hasReceived("blocked") && client->hasReceived("finished"); });
    client->connection->send(worker_pool::supplyLine("0000000000000001", "reply"));
    runUntil(fixture.loop, [&] { return client->hasReceived("\"n\":3"); });
    EXPECT_EQ(pool.unfinishedRuns(), 0U);
    client->connection->send("this is no command\n");
    runUntil(fixture.loop, [&] { return client->closed; });
}

TEST(EmulatedWorkerPool, ConcurrencyAboveTheLimitIsReportedAsOverload) {
    EmulationFixture fixture;
    fixture.at.port = freePort(fixture.loop, fixture.at.host);
    WorkerPoolConfig config;
    config.cores.cores = 1;
    config.overloadFactor = 3;
    config.overloadWindow = 100ms;
    WorkerPool pool(fixture.loop, 0, fixture.at, config, fixture.checker);
    RecordingConnection client(fixture.loop, fixture.at);
    client.connection->send(worker_pool::bindLine(0));
    for (int job = 1; job < 8; ++job) client.connection->send(spawnLine(job, 50000000, 0));
    runUntil(fixture.loop, [&] { return count(fixture.checker, Invariant::Overload) > 0; });
}

std::string callText(const std::string& of, int micros) {
    const std::string body = "call " + of + " " + std::to_string(micros);
    return "POST /records/op HTTP/1.1\r\nOp-Of: " + of +
           "\r\nOp-Wait-Ms: 500\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(EmulatedDependency, AnswersRejectsHangsAndGoesDownAsConfigured) {
    EmulationFixture fixture;
    fixture.at.port = freePort(fixture.loop, fixture.at.host);
    DependencyConfig config;
    config.slots = 1;
    config.queueCapacity = 1;
    DependencyService records(fixture.loop, {fixture.at}, config, fixture.checker);
    RecordingConnection first(fixture.loop, fixture.at), second(fixture.loop, fixture.at),
        third(fixture.loop, fixture.at);
    first.connection->send(callText("0000000000000001", 100000));
    runUntil(fixture.loop, [&] { return records.callsInFlight() == 1; });
    second.connection->send(callText("0000000000000002", 1000));
    runUntil(fixture.loop, [&] { return records.callsInFlight() == 2; });
    third.connection->send(callText("0000000000000003", 1000));
    runUntil(fixture.loop, [&] { return third.hasReceived("503"); });
    EXPECT_TRUE(third.hasReceived("Op-Not-Begun: 1"));
    runUntil(fixture.loop,
             [&] { return first.hasReceived("200") && second.hasReceived("re 0000000000000002"); });
    records.setMalformedFraction(1);
    third.connection->send(callText("0000000000000003", 1000));
    runUntil(fixture.loop, [&] { return third.hasReceived("2oo WHAT"); });
    records.setMalformedFraction(0);
    records.setHangFraction(1);
    first.connection->send(callText("0000000000000004", 1000));
    runUntil(fixture.loop, [&] { return records.callsInFlight() == 1; });
    first.connection.reset();  // abandoned: in flight for the linger time, then removed
    runUntil(fixture.loop, [&] { return records.callsInFlight() == 0; });
    records.setDown(true);
    runUntil(fixture.loop, [&] { return second.closed; });
    RecordingConnection rejected(fixture.loop, fixture.at);
    runUntil(fixture.loop, [&] { return rejected.closed; });
    records.setHangFraction(0);
    records.setDown(false);
    RecordingConnection reconnected(fixture.loop, fixture.at);
    reconnected.connection->send(callText("0000000000000005", 1000));
    runUntil(fixture.loop, [&] { return reconnected.hasReceived("200"); });
}

// ---- experiment -----------------------------------------------------------------------------------------

TEST(PairedRatio, SeparatesADifferenceFromChance) {
    const PairedRatio same = compareInPairs({0.50, 0.61, 0.55}, {0.52, 0.60, 0.54});
    EXPECT_FALSE(same.significant);
    EXPECT_NEAR(same.mean, 1, 0.02);
    const PairedRatio better = compareInPairs({0.66, 0.77, 0.71}, {0.60, 0.70, 0.65});
    EXPECT_TRUE(better.significant);
    EXPECT_NEAR(better.mean, 1.1, 0.01);
    EXPECT_GT(better.low, 1.05);
    EXPECT_TRUE(std::isinf(compareInPairs({1}, {2}).high));
}

constexpr const char* kShortExperiment = R"(
experiment "short" {
    about "A short experiment <with> faults & all"
    backends 2 stop=1500ms grace=300ms
    pool cores=2 heap=40MiB pieces-every=7 twice-every=11
    records slots=10 share=12
    registry late=300ms
    trouble "registry" at=1s for=1s silent=#true
    trouble "records" at=500ms for=1s slow=4 hang=5% spoil=5%
    trouble "link-break" at=800ms on=1
    trouble "reload" at=900ms
    trouble "crash" at=1s for=500ms on=2
    trouble "release" at=2s on=1
}
load {
    length 4s
    rate { steady 100/s }
    profile read { share 60%; promised 500ms; hard-stop 2s; work exponential mean=3ms }
    profile write { share 40%; worth 3; repeat once-only; promised 1s; hard-stop 3s; work 5ms; calls 1; call 10ms }
    customers 5
    callers 4 { checks 200ms }
    send-within 10s
}
)";

std::string experimentFile(const std::string& text) {
    const std::string path =
        ::testing::TempDir() + "cottonwing-experiment-" + std::to_string(getpid()) + ".kdl";
    std::ofstream(path) << text;
    return path;
}

TEST(ShortExperiment, ViolatesNoInvariantUnderFaults) {
    const auto config = readExperimentConfig(experimentFile(kShortExperiment));
    const std::string folder = ::testing::TempDir() + "cottonwing-experiment-" + std::to_string(getpid());
    Experiment experiment(*config, COTTONWING, folder);
    const ExperimentResult result = experiment.run();
    EXPECT_EQ(result.violations, 0U) << result.metrics["broken"].dump(1) << result.metrics["notes"].dump(1);
    const auto& load = result.metrics["load"];
    std::uint64_t sum = 0;
    for (const auto& [end, number] : load["ends"].items()) sum += number.get<std::uint64_t>();
    EXPECT_EQ(sum, load["planned"].get<std::uint64_t>());
    EXPECT_GT(result.earnedFraction, 0.3);
    EXPECT_GT(result.metrics["records"]["calls"].get<int>(), 0);
    EXPECT_GT(result.metrics["registry_reports"].get<int>(), 0);
    for (const auto& backend : result.metrics["backends"]) EXPECT_GT(backend["runs_started"].get<int>(), 0);

    nlohmann::json results = {{"plays", nlohmann::json::array({result.metrics, result.metrics})}};
    results["plays"][0]["side"] = "A";
    results["plays"][1]["side"] = "B";
    results["ratio"] = {{"mean", 1.0}, {"low", 0.9}, {"high", 1.1}, {"pairs", 1}, {"told", false}};
    const std::string page = renderReport(results);
    EXPECT_NE(page.find("A short experiment &lt;with&gt; faults &amp; all"), std::string::npos);
    for (const char* part : {"<svg", "tail of the latency", "records for=1s hang=5% slow=4 spoil=5%",
                             "A over B", "connection lost"})
        EXPECT_NE(page.find(part), std::string::npos) << part;
    for (const char* outside : {"http://", "https://", "src=", "<script", "nan", "inf,"})
        EXPECT_EQ(page.find(outside), std::string::npos) << outside;
    std::filesystem::remove_all(folder);
}

TEST(ShortExperiment, BackendThatDoesNotStartIsNamed) {
    const auto config = readExperimentConfig(experimentFile(kShortExperiment));
    const std::string folder = ::testing::TempDir() + "cottonwing-experiment-" + std::to_string(getpid());
    EXPECT_THROW(Experiment(*config, "/no/such/program", folder), std::runtime_error);
    Experiment experiment(*config, "/bin/true", folder);
    try {
        experiment.run();
        FAIL();
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("did not come up"), std::string::npos) << error.what();
    }
    std::filesystem::remove_all(folder);
}

TEST(ShortExperiment, ConfigurationErrorsAreReported) {
    const auto errorOf = [](const std::string& text) {
        try {
            readExperimentConfig(experimentFile(text));
        } catch (const kdl::DocumentError& error) {
            return std::string(error.what());
        }
        return std::string("none");
    };
    const std::string load = "load { rate { steady 1/s }; profile a }\n";
    EXPECT_NE(errorOf(load).find("no 'experiment' was found"), std::string::npos);
    EXPECT_NE(errorOf("experiment \"a b\"\n" + load).find("letters, digits, - and _"), std::string::npos);
    EXPECT_NE(errorOf("experiment a { trouble \"flood\" at=1s }\n" + load)
                  .find(":1:24: 'flood' was found, one of records, pool"),
              std::string::npos);
    EXPECT_NE(errorOf("experiment a { trouble \"crash\" }\n" + load).find("'at=10s' was expected"),
              std::string::npos);
    EXPECT_NE(errorOf("experiment a { backends 2; trouble \"stall\" at=1s on=3 }\n" + load)
                  .find("a whole number from 1 to 2"),
              std::string::npos);
}

}  // namespace
}  // namespace cottonwing::loadtest
