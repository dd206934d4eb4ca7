// The load generator: its request schedules and statistics; that its figures are right with servers that
// stall, never read, close connections, answer twice or refuse connections, and when the wall clock steps
// back; that it reports its own delay.
#include "loadtest/load_run.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <sys/wait.h>

#include <cmath>
#include <csignal>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "loadtest/emulators/thrift_server.h"

namespace cottonwing::loadtest {
namespace {

using namespace std::chrono_literals;

int upTo(int maximum) { return *rc::gen::resize(1000, rc::gen::inRange(0, maximum + 1)); }

std::unique_ptr<LoadConfig> loadConfig(const std::string& inside, bool targets = false) {
    return readLoadConfig(kdl::parse("load {\n" + inside + "\n}", "t.kdl"), "t.kdl", targets);
}
std::string errorOf(const std::string& inside) {
    try {
        loadConfig(inside);
    } catch (const kdl::DocumentError& error) {
        return error.what();
    }
    return "none";
}
std::vector<ScheduledRequest> allRequests(const RequestScheduleConfig& config) {
    std::vector<ScheduledRequest> result;
    const auto requests = makeRequestSchedule(config);
    while (const auto request = requests->next()) result.push_back(*request);
    return result;
}
constexpr const char* kRequestClass = "profile \"a\" { promised 1s; hard-stop 4s }\n";

// ---- request schedules ----------------------------------------------------------------------------------

TEST(LoadCurve, EvenArrivalsFollowTheRate) {
    const auto count = [](const std::string& rate, const char* length) {
        const auto config = loadConfig(std::string(kRequestClass) + "arrivals even; length " + length +
                                       "; rate {" + rate + "}");
        return static_cast<double>(allRequests(config->schedule).size());
    };
    EXPECT_NEAR(count("steady 100/s", "10s"), 1000, 1);
    EXPECT_NEAR(count("ramp from=0/s to=100/s over=10s", "10s"), 500, 2);
    EXPECT_NEAR(count("steady 50/s; spike to=100/s at=2s rise=2s hold=2s fall=2s", "10s"), 900, 2);
    EXPECT_NEAR(count("times { steady 100/s; wave mean=1 swing=0.5 period=1s }", "10s"), 1000, 3);
    EXPECT_NEAR(count("steps 10/s 20/s 30/s each=1s", "5s"), 10 + 20 + 3 * 30, 2);
    EXPECT_NEAR(count("climb from=100/s to=300/s over=10s", "10s"), 2000, 3);
}

TEST(LoadCurve, BurstsAndPoissonArrivalsDependOnlyOnTheSeed) {
    const std::string inside = std::string(kRequestClass) +
                               "length 20s; rate { bursts on=400/s off=20/s stay-on=1s stay-off=2s }; seed ";
    const auto first = allRequests(loadConfig(inside + "5")->schedule);
    EXPECT_EQ(first, allRequests(loadConfig(inside + "5")->schedule));
    EXPECT_NE(first, allRequests(loadConfig(inside + "6")->schedule));
    // On for a third of the time: about 147 requests per second, with more variance than a steady rate has.
    EXPECT_GT(first.size(), 800U);
    EXPECT_LT(first.size(), 6000U);
    std::vector<double> each(20);
    for (const ScheduledRequest& request : first) each[static_cast<std::size_t>(request.arrival / 1s)] += 1;
    double mean = 0, square = 0;
    for (const double count : each) mean += count / 20, square += count * count / 20;
    EXPECT_GT((square - mean * mean) / mean, 5) << "the index of dispersion; that of a Poisson process is 1";
}

TEST(RandomDistributions, ZipfDrawsEachRankWithItsProbability) {
    for (const double exponent : {0.0, 0.7, 1.0, 1.6}) {
        const Zipf zipf(1000, exponent);
        RandomGenerator random = makeRandomGenerator(7, RandomStream::Subjects);
        std::map<std::uint64_t, int> counts;
        for (int n = 0; n < 100000; ++n) ++counts[zipf.draw(random)];
        double sum = 0;
        for (int rank = 1; rank <= 1000; ++rank) sum += std::pow(rank, -exponent);
        for (const std::uint64_t rank : {0ULL, 1ULL, 9ULL}) {
            const double expected = 100000 * std::pow(static_cast<double>(rank + 1), -exponent) / sum;
            EXPECT_NEAR(counts[rank], expected, 5 * std::sqrt(expected) + 1) << exponent << " " << rank;
        }
        EXPECT_LT(counts.rbegin()->first, 1000U);
    }
}

TEST(RandomDistributions, DistributionsKeepTheirMeanAndBounds) {
    const auto nodes = kdl::parse(
        "a 8ms\na uniform 5ms 20ms\na exponential mean=8ms\na lognormal median=8ms p99=40ms\na pareto "
        "least=1ms shape=1.5 most=1s",
        "f");
    for (const kdl::Node& node : nodes) {
        kdl::NodeReader in(node);
        const auto distribution = Distribution::fromNode(in, secondsOf);
        in.rejectUnknown();
        RandomGenerator random = makeRandomGenerator(7, RandomStream::Work);
        double sum = 0, most = 0;
        for (int n = 0; n < 200000; ++n) {
            const double value = distribution.draw(random);
            sum += value / 200000, most = std::max(most, value);
            ASSERT_GE(value, 0);
        }
        EXPECT_NEAR(sum / distribution.mean(), 1, 0.03) << node.location.line;
        if (node.location.line == 5) {
            EXPECT_LE(most, 1.0);
        }
    }
}

TEST(RequestTrace, ExportedAndImportedScheduleHasTheSameRequests) {
    const auto config = loadConfig(std::string(kRequestClass) +
                                   "profile \"b, \\\"quoted\\\"\" { share 30%; calls 1; work lognormal "
                                   "median=8ms p99=40ms; failing 10% }\n"
                                   "length 3s; customers 40; rate { steady 300/s }");
    const std::string path = ::testing::TempDir() + "cottonwing-trace-" + std::to_string(getpid()) + ".csv";
    const auto original = allRequests(config->schedule);
    {
        TraceWriter writer(path, config->schedule.requestClasses);
        for (const ScheduledRequest& request : original) writer.add(request);
        ASSERT_TRUE(writer.close());
    }
    RequestScheduleConfig imported = config->schedule;
    imported.trace = TraceConfig{};
    imported.trace->file = path;
    EXPECT_TRUE(allRequests(imported) == original);
    // Cut and stretched: only the requests of the part, at half the speed.
    imported.trace->from = 1s, imported.trace->until = 2s, imported.trace->timeScale = 2;
    std::size_t selected = 0;
    for (const ScheduledRequest& request : original)
        selected += request.arrival >= 1s && request.arrival < 2s;
    EXPECT_EQ(allRequests(imported).size(), selected);
    std::remove(path.c_str());
}

std::string writeTraceFile(const std::string& text) {
    const std::string path = ::testing::TempDir() + "cottonwing-lines-" + std::to_string(getpid()) + ".csv";
    std::ofstream(path) << text;
    return path;
}

TEST(RequestTrace, UnreadableLinesAreReportedAndCounted) {
    const std::string path =
        writeTraceFile("time_ms,profile,cost_ms\n1,a,5\n2,nobody,5\nx,a,5\n3,a\n0,a,5\n4,a,5\n");
    auto config = loadConfig(std::string(kRequestClass) + "trace \"" + path + "\"");
    try {
        allRequests(config->schedule);
        FAIL() << "the unreadable line was accepted";
    } catch (const kdl::DocumentError& error) {
        EXPECT_EQ(std::string(error.what()),
                  path + ":3:1: the profile 'nobody' was found, one of a was expected");
    }
    config->schedule.trace->skipMalformed = true;
    const auto requests = makeRequestSchedule(config->schedule);
    int count = 0;
    while (requests->next()) ++count;
    EXPECT_EQ(count, 2);
    EXPECT_EQ(requests->skippedLines(), 4U);
    // A time column without a unit is an error, even if unreadable lines are skipped.
    std::ofstream(path) << "time,profile\n1,a\n";
    EXPECT_THROW(allRequests(config->schedule), kdl::DocumentError);
    std::remove(path.c_str());
}

TEST(RequestTrace, JsonLinesAreRead) {
    const std::string path = writeTraceFile(
        "{\"time_s\":0.5,\"profile\":\"a\",\"customer\":\"acme\",\"mark\":1}\n"
        "{\"time_s\":0.75,\"profile\":\"a\",\"patience_ms\":200,\"size\":99}\n");
    const auto requests =
        allRequests(loadConfig(std::string(kRequestClass) + "trace \"" + path + "\"")->schedule);
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_TRUE(requests[0].isRetry);
    EXPECT_EQ(requests[1].arrival, 750ms);
    EXPECT_EQ(requests[1].attemptTimeout, 200ms);
    EXPECT_EQ(requests[1].bodyBytes, 99U);
    std::remove(path.c_str());
}

// Bursts of ten requests each second, multiplied by three, stay within the first 10 ms of each second.
TEST(RequestTrace, MultipliedBurstStaysABurst) {
    std::string text = "time_ms,profile\n";
    for (int second = 0; second < 5; ++second)
        for (int n = 0; n < 10; ++n) text += std::to_string(second * 1000) + ",a\n";
    const std::string path = writeTraceFile(text);
    const auto requests = allRequests(
        loadConfig(std::string(kRequestClass) + "length 10s; trace \"" + path + "\" copies=3")->schedule);
    EXPECT_EQ(requests.size(), 150U);
    for (std::size_t at = 0; at < requests.size(); ++at) {
        EXPECT_LE(requests[at].arrival % 1s, 10ms);
        if (at > 0) {
            EXPECT_GE(requests[at].arrival, requests[at - 1].arrival);
        }
    }
    std::remove(path.c_str());
}

TEST(LoadConfigFile, ErrorsAreReportedWithTheirLocation) {
    EXPECT_NE(errorOf("").find("t.kdl:1:1: 'load' was found without a profile"), std::string::npos);
    EXPECT_NE(errorOf(kRequestClass).find("one of 'rate { … }' and 'trace FILE' was expected"),
              std::string::npos);
    EXPECT_NE(
        errorOf(std::string(kRequestClass) + "rate { steady 200 }").find("a rate such as 120/s with a unit"),
        std::string::npos);
    EXPECT_NE(errorOf(std::string(kRequestClass) + "rate { stedy 200/s }")
                  .find("t.kdl:3:8: 'stedy' was found, one of steady"),
              std::string::npos);
    EXPECT_NE(errorOf("profile a { promised 5s; hard-stop 1s }; rate { steady 1/s }")
                  .find("hard stop before its promised time"),
              std::string::npos);
    EXPECT_NE(
        errorOf(std::string(kRequestClass) + "rate { steady 1/s }; lenght 5s").find("'lenght' was found"),
        std::string::npos);
    EXPECT_NE(errorOf(std::string(kRequestClass) + kRequestClass + "rate { steady 1/s }")
                  .find("a second profile 'a'"),
              std::string::npos);
}

// ---- statistics -----------------------------------------------------------------------------------------

RC_GTEST_PROP(LatencyHistogram, QuantilesAreWithinHalfAPercent, ()) {
    std::vector<std::int64_t> times;
    LatencyHistogram one, other;
    for (int n = 1 + upTo(300); n > 0; --n) {
        times.push_back(1000 + static_cast<std::int64_t>(std::pow(10, upTo(800) / 100.0)) * (1 + upTo(99)));
        (upTo(1) ? one : other).add(Duration(times.back()));
    }
    one.add(other);
    std::sort(times.begin(), times.end());
    RC_ASSERT(one.count() == times.size());
    RC_ASSERT(std::abs(one.max() * 1e9 - static_cast<double>(times.back())) < 1);
    for (const double fraction : {0.0, 0.5, 0.9, 0.99, 1.0}) {
        const auto rank =
            static_cast<std::size_t>(std::max(1.0, std::ceil(fraction * static_cast<double>(times.size()))));
        const double exact = static_cast<double>(times[rank - 1]) / 1e9;
        RC_ASSERT(std::abs(one.quantile(fraction) / exact - 1) < 0.005);
    }
}

TEST(TimeSeriesOfRun, LongRunKeepsItsSumsInBoundedMemory) {
    TimeSeries series;
    for (int second = 0; second < 5000; ++second) {
        Interval& interval = series.at(second * 1s);
        ++interval.outcomes[0];
        interval.maxOpenRequests =
            std::max<std::uint64_t>(interval.maxOpenRequests, static_cast<std::uint64_t>(second % 7));
        if (!interval.latencies) interval.latencies = std::make_unique<LatencyHistogram>();
        interval.latencies->add(1ms);
    }
    EXPECT_LE(series.intervals().size(), TimeSeries::kMaxIntervals);
    EXPECT_EQ(series.width(), 16s);
    std::uint64_t sum = 0, latencies = 0;
    for (const Interval& interval : series.intervals()) {
        sum += interval.outcomes[0], latencies += interval.latencies->count();
        EXPECT_LE(interval.maxOpenRequests, 6U);
    }
    EXPECT_EQ(sum, 5000U);
    EXPECT_EQ(latencies, 5000U);
    TimeSeries shorter;
    ++shorter.at(3s).outcomes[0];
    shorter.add(series);
    EXPECT_EQ(shorter.width(), 16s);
    EXPECT_EQ(shorter.intervals()[0].outcomes[0], 17U);
}

// ---- on sockets -----------------------------------------------------------------------------------------

// An emulated Thrift server on its own thread, so that it runs in parallel to the load as another process
// would.
class ThriftServerThread {
public:
    explicit ThriftServerThread(const EmulatedThriftServerConfig& config) {
        std::promise<net::Address> bound;
        auto address = bound.get_future();
        thread_ = std::thread([this, config, &bound] {
            net::Loop loop;
            EmulatedThriftServer answering(loop, {"127.0.0.1", 0}, config);
            CrossThreadWakeup wakeup(loop, [&] { loop.stop(); });
            wakeup_ = &wakeup;
            bound.set_value(answering.address());
            loop.run();
            book = answering.requestTimes();
            cancelMessages = answering.cancels();
        });
        at = address.get();
    }
    ~ThriftServerThread() { stop(); }
    void stop() {
        if (!thread_.joinable()) return;
        wakeup_->wake();
        thread_.join();
    }
    std::string to() const { return "to \"" + at.host + ":" + std::to_string(at.port) + "\""; }
    net::Address at;
    std::unordered_map<std::string, EmulatedThriftServer::RequestTimes> book;  // valid after stop()
    std::uint64_t cancelMessages = 0;

private:
    std::thread thread_;
    CrossThreadWakeup* wakeup_ = nullptr;
};

void expectOutcomesAddUp(const LoadResult& result) {
    for (const RequestClassStatistics& requestClass : result.statistics.requestClasses) {
        EXPECT_EQ(requestClass.ended(), requestClass.scheduled);
        EXPECT_EQ(requestClass.latencyFromSchedule.count(),
                  requestClass.outcomes[0] + requestClass.outcomes[1]);
    }
    std::array<std::uint64_t, kOutcomeCount> sums{};
    for (const Interval& interval : result.statistics.series.intervals())
        for (std::size_t outcome = 0; outcome < kOutcomeCount; ++outcome)
            sums[outcome] += interval.outcomes[outcome];
    for (std::size_t outcome = 0; outcome < kOutcomeCount; ++outcome)
        EXPECT_EQ(sums[outcome], result.statistics.count(static_cast<RequestOutcome>(outcome)));
    EXPECT_EQ(result.statistics.sendDelay.count(), result.statistics.scheduled());
}

LoadResult runLoad(const LoadConfig& config, std::vector<RequestObserver*> observers = {},
                   Clocks clocks = {}) {
    LoadRun load(config, std::move(observers), std::move(clocks));
    load.start(steadyNow() + 20ms);
    return load.finish();
}

// Records the scheduled time of each request, by its number, independently of the statistics.
class ScheduleRecorder : public RequestObserver {
public:
    void onScheduled(const ScheduledRequest& request, Duration time) override {
        const std::lock_guard lock(mutex);
        scheduledAt[request.number] = time;
    }
    std::mutex mutex;
    std::map<std::uint64_t, Duration> scheduledAt;
};

double exactQuantile(std::vector<double> values, double fraction) {
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
                      std::max(1.0, std::ceil(fraction * static_cast<double>(values.size())))) -
                  1];
}

// Records also when the response to each attempt was read.
class ResponseRecorder : public ScheduleRecorder {
public:
    void onResponse(const std::string& traceId, ClientResponse::Kind) override {
        const std::lock_guard lock(mutex);
        respondedAt[traceId] = steadyNow();
    }
    std::map<std::string, Duration> respondedAt;
};

// Guards against coordinated omission. During a server's stall of two seconds the reported latencies must
// match the observer's record to 1%, up to the reading of each response, and must not be less than the
// server's own times of sending. (How long a response stays unread depends on the machine.) A closed loop
// sends little during the stall and hides it.
TEST(LoadRunOnSockets, TwoSecondStallIsReportedInFull) {
    EmulatedThriftServerConfig serverConfig;
    serverConfig.responseDelay = 100ms;
    serverConfig.stallStart = 800ms;
    serverConfig.stallDuration = 2s;
    serverConfig.recordsTimes = true;
    const std::string inside =
        "seed 3; workers 2; length 4s; arrivals even; rate { steady 250/s }\n"
        "profile a { promised 1s; hard-stop 8s }\n";
    ThriftServerThread server(serverConfig);
    auto config = loadConfig(inside + "callers 4 { " + server.to() + " }", true);
    // The observer's record accounts for late sending, so the test also holds on a slow machine.
    config->maxSendDelay = 1s;
    ResponseRecorder recorder;
    const LoadResult result = runLoad(*config, {&recorder});
    server.stop();
    expectOutcomesAddUp(result);
    EXPECT_EQ(result.statistics.scheduled(), 1000U);
    EXPECT_EQ(
        result.statistics.count(RequestOutcome::Completed) + result.statistics.count(RequestOutcome::Late),
        1000U);
    std::vector<double> untilRead, untilSent;
    for (const auto& [number, scheduled] : recorder.scheduledAt) {
        const std::string traceId = attemptTraceId(3, number, 0);
        const Duration sent = server.book.at(traceId).sent, read = recorder.respondedAt.at(traceId);
        EXPECT_GE(read, sent);
        untilSent.push_back(std::chrono::duration<double>(sent - scheduled).count());
        untilRead.push_back(std::chrono::duration<double>(read - scheduled).count());
    }
    ASSERT_EQ(untilRead.size(), 1000U);
    const LatencyHistogram reported = result.statistics.completedLatencies();
    for (const double fraction : {0.5, 0.99, 0.999, 1.0}) {
        EXPECT_NEAR(reported.quantile(fraction) / exactQuantile(untilRead, fraction), 1, 0.01) << fraction;
        EXPECT_GT(reported.quantile(fraction) / exactQuantile(untilSent, fraction), 0.99) << fraction;
    }
    EXPECT_GT(reported.quantile(0.99), 1.9);

    ThriftServerThread secondServer(serverConfig);
    const auto closedLoopConfig =
        loadConfig(inside + "callers 4 { " + secondServer.to() + "; closed 4 }", true);
    const LoadResult closedLoopResult = runLoad(*closedLoopConfig);
    expectOutcomesAddUp(closedLoopResult);
    EXPECT_LT(closedLoopResult.statistics.completedLatencies().quantile(0.9), reported.quantile(0.9) / 5)
        << "a closed loop must hide the stall";
}

TEST(LoadRunOnSockets, ServerThatNeverReadsCompletesNoRequests) {
    EmulatedThriftServerConfig serverConfig;
    serverConfig.neverReads = true;
    ThriftServerThread server(serverConfig);
    const auto config = loadConfig(
        "length 500ms; rate { steady 400/s }; profile a { promised 100ms; hard-stop 300ms; body 2KiB }\n"
        "callers 2 { " +
            server.to() + "; attempts 1; connections 2 }",
        true);
    const LoadResult result = runLoad(*config);
    expectOutcomesAddUp(result);
    EXPECT_GT(result.statistics.scheduled(), 100U);
    EXPECT_EQ(result.statistics.count(RequestOutcome::Completed), 0U);
    EXPECT_GT(result.statistics.count(RequestOutcome::NoAnswer), 0U);
    EXPECT_EQ(result.statistics.count(RequestOutcome::NoAnswer), result.statistics.violations.lostResponses);
}

TEST(LoadRunOnSockets, TimedOutRequestsAreCancelled) {
    EmulatedThriftServerConfig serverConfig;
    serverConfig.silent = true;
    ThriftServerThread server(serverConfig);
    const auto config = loadConfig(
        "length 300ms; rate { steady 200/s }; profile a { promised 50ms; hard-stop 100ms }\n"
        "callers 2 { " +
            server.to() + "; attempts 1 }",
        true);
    const LoadResult result = runLoad(*config);
    server.stop();
    expectOutcomesAddUp(result);
    EXPECT_EQ(result.statistics.connections.cancelMessages,
              result.statistics.count(RequestOutcome::NoAnswer));
    EXPECT_EQ(server.cancelMessages, result.statistics.connections.cancelMessages);
}

TEST(LoadRunOnSockets, ResetsDuringResponsesAreConnectionsLostAndRetriesStayBounded) {
    EmulatedThriftServerConfig serverConfig;
    serverConfig.resetEvery = 5;
    ThriftServerThread server(serverConfig);
    const auto config = loadConfig(
        "length 1s; rate { steady 400/s }; profile a { promised 500ms; hard-stop 1s }\n"
        "profile b { share 100%; repeat once-only; promised 500ms; hard-stop 1s }\n"
        "callers 2 { " +
            server.to() + "; attempts 3 }",
        true);
    const LoadResult result = runLoad(*config);
    expectOutcomesAddUp(result);
    const RequestClassStatistics& nonIdempotent = result.statistics.requestClasses[1];
    EXPECT_GT(nonIdempotent.outcomes[static_cast<std::size_t>(RequestOutcome::ConnectionLost)], 0U);
    EXPECT_EQ(nonIdempotent.attempts, nonIdempotent.scheduled) << "a once-only request was sent twice";
    EXPECT_EQ(result.statistics.violations.total(), 0U);
}

TEST(LoadRunOnSockets, DuplicateUnknownAndWrongResponsesAreViolations) {
    EmulatedThriftServerConfig serverConfig;
    serverConfig.duplicateEvery = 10;
    serverConfig.unknownSequenceEvery = 15;
    serverConfig.wrongResultEvery = 20;
    ThriftServerThread server(serverConfig);
    const auto config = loadConfig(
        "length 500ms; rate { steady 400/s }; profile a { promised 500ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + "; attempts 1 }",
        true);
    const LoadResult result = runLoad(*config);
    expectOutcomesAddUp(result);
    const ProtocolViolations& violations = result.statistics.violations;
    EXPECT_GT(violations.duplicateResponses, 0U);
    EXPECT_GT(violations.unknownSequences, 0U);
    EXPECT_GT(violations.wrongResults, 0U);
    EXPECT_EQ(result.statistics.count(RequestOutcome::Failed), violations.wrongResults)
        << "a wrong result must not count as completed";
    EXPECT_FALSE(violations.examples.empty());
}

TEST(LoadRunOnSockets, RejectedRequestsAreRetriedAfterTheirRetryAfter) {
    EmulatedThriftServerConfig serverConfig;
    serverConfig.busyEvery = 20;
    serverConfig.goawayEvery = 50;
    ThriftServerThread server(serverConfig);
    const auto config = loadConfig(
        "length 1s; rate { steady 300/s }; profile a { promised 500ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + "; attempts 3 longest=10ms }",
        true);
    const LoadResult result = runLoad(*config);
    expectOutcomesAddUp(result);
    EXPECT_GT(result.statistics.requestClasses[0].attempts, result.statistics.scheduled());
    EXPECT_GT(result.statistics.connections.goaways, 0U);
    EXPECT_GT(result.statistics.count(RequestOutcome::Completed), result.statistics.scheduled() * 95 / 100);
    EXPECT_EQ(result.statistics.violations.total(), 0U);
}

TEST(LoadRunOnSockets, WallClockSteppingBackChangesNoFigure) {
    ThriftServerThread server(EmulatedThriftServerConfig{});
    auto config = loadConfig(
        "length 600ms; rate { steady 300/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + " }",
        true);
    config->maxSendDelay = 1s;
    Clocks clocks;
    const Duration begun = steadyNow();
    clocks.unix = [begun] { return net::unixNow() - (steadyNow() - begun > 300ms ? 3600s : 0s); };
    const LoadResult result = runLoad(*config, {}, clocks);
    expectOutcomesAddUp(result);
    EXPECT_EQ(result.statistics.count(RequestOutcome::Completed), result.statistics.scheduled());
    EXPECT_LT(result.statistics.completedLatencies().max(), 1.0);
}

// Blocks the worker thread for a while, as on a machine with too few cores.
class StallingObserver : public RequestObserver {
public:
    void onScheduled(const ScheduledRequest& request, Duration) override {
        if (request.number == 20) std::this_thread::sleep_for(300ms);
    }
};

TEST(LoadRunOnSockets, StarvedGeneratorMarksItsRunInvalid) {
    ThriftServerThread server(EmulatedThriftServerConfig{});
    const auto config = loadConfig(
        "length 600ms; rate { steady 300/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + " }; send-within 20ms share=99%",
        true);
    StallingObserver observer;
    const LoadResult result = runLoad(*config, {&observer});
    expectOutcomesAddUp(result);
    EXPECT_FALSE(result.valid);
    EXPECT_NE(result.invalidReason.find("were sent within 20.0 ms"), std::string::npos);
    EXPECT_GT(result.statistics.completedLatencies().max(), 0.2)
        << "the latency of a request that is sent late includes the delay";
}

// Guards against refused connections that are not counted. The timeout is too long to be reached on any
// machine, so that each request makes both of its attempts and each of them is refused.
TEST(LoadRunOnSockets, TenThousandRefusedConnectionsAreCounted) {
    auto config = loadConfig(
        "workers 2; length 1s; arrivals even; rate { steady 5200/s }\n"
        "profile a { promised 50ms; hard-stop 600s }\n"
        "callers 2 { to \"127.0.0.1:1\"; attempts 2 budget=#false; connections 10000 open=1 }",
        true);
    config->maxSendDelay = 600s;
    const LoadResult result = runLoad(*config);
    expectOutcomesAddUp(result);
    EXPECT_GT(result.statistics.connections.connectFailures, 10000U);
    EXPECT_EQ(result.statistics.connections.connectFailures, 2 * result.statistics.scheduled());
    EXPECT_EQ(result.statistics.requestClasses[0].attempts, 2 * result.statistics.scheduled());
    EXPECT_EQ(result.statistics.count(RequestOutcome::ConnectionLost), result.statistics.scheduled());
}

// Guards against attempts that are not counted when the generator falls behind its schedule: at any speed of
// the machine, each attempt that was sent is refused or times out, and other requests count as never sent.
TEST(LoadRunOnSockets, RefusedConnectionsWithTimeoutsAddUp) {
    auto config = loadConfig(
        "workers 2; length 1s; rate { steady 10000/s }; profile a { promised 50ms; hard-stop 500ms }\n"
        "callers 2 { to \"127.0.0.1:1\"; attempts 2 budget=#false; connections 10000 open=1 }",
        true);
    config->maxSendDelay = 10s;
    const LoadResult result = runLoad(*config);
    expectOutcomesAddUp(result);
    const LoadStatistics& statistics = result.statistics;
    std::uint64_t failedAttempts = 0;
    for (const std::uint64_t count : statistics.connections.retryDecisions) failedAttempts += count;
    EXPECT_EQ(statistics.requestClasses[0].attempts,
              failedAttempts + statistics.count(RequestOutcome::NoAnswer));
    EXPECT_EQ(statistics.scheduled(), statistics.count(RequestOutcome::ConnectionLost) +
                                          statistics.count(RequestOutcome::NoAnswer) +
                                          statistics.count(RequestOutcome::NeverSent));
    EXPECT_LE(statistics.connections.connectFailures, statistics.connections.opened);
    EXPECT_LE(statistics.connections.opened, statistics.requestClasses[0].attempts);
    EXPECT_EQ(statistics.violations.total(), 0U);
}

TEST(LoadRunOnSockets, RequestsDoNotDependOnTheNumberOfWorkers) {
    std::vector<std::uint64_t> sums;
    for (const char* workers : {"1", "3"}) {
        ThriftServerThread server(EmulatedThriftServerConfig{});
        const auto config = loadConfig(
            "length 300ms; rate { steady 500/s }; profile a { promised 400ms; hard-stop 1s }; workers " +
                std::string(workers) + "\ncallers 5 { " + server.to() + " }",
            true);
        ScheduleRecorder recorder;
        const LoadResult result = runLoad(*config, {&recorder});
        expectOutcomesAddUp(result);
        std::uint64_t sum = 0;
        for (const auto& [number, scheduled] : recorder.scheduledAt) sum += routing::splitMix64(number);
        sums.push_back(sum);
    }
    EXPECT_EQ(sums[0], sums[1]);
}

TEST(LoadRunOnSockets, StoppedRunReportsWhatItMeasured) {
    ThriftServerThread server(EmulatedThriftServerConfig{});
    const auto config = loadConfig(
        "length 60s; rate { steady 200/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "callers 2 { " +
            server.to() + " }",
        true);
    LoadRun load(*config);
    load.start(steadyNow());
    while (load.completed() < 50) std::this_thread::sleep_for(1ms);
    load.stop();
    const LoadResult result = load.finish();
    expectOutcomesAddUp(result);
    EXPECT_TRUE(result.stopped);
    EXPECT_GE(result.statistics.count(RequestOutcome::Completed), 50U);
    EXPECT_LT(result.length, 60s);
}

// ---- program cottonwing_lab -----------------------------------------------------------------------------

struct ProgramResult {
    int code = 0;
    std::string out;
};
ProgramResult runProgram(const std::string& command) {
    ProgramResult result;
    FILE* const pipe = popen((command + " 2>&1").c_str(), "r");
    char buffer[4096];
    for (std::size_t count; (count = fread(buffer, 1, sizeof buffer, pipe)) > 0;)
        result.out.append(buffer, count);
    result.code = WEXITSTATUS(pclose(pipe));
    return result;
}

std::string writeLoadFile(const std::string& inside) {
    const std::string path = ::testing::TempDir() + "cottonwing-load-" + std::to_string(getpid()) + ".kdl";
    std::ofstream(path) << "load {\n" << inside << "\n}\n";
    return path;
}

TEST(LoadTestProgram, FullDiskLosesTheFileButNotTheFigures) {
    ThriftServerThread server(EmulatedThriftServerConfig{});
    const std::string path = writeLoadFile(
        "length 200ms; rate { steady 100/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "send-within 10s; callers 1 { " +
        server.to() + " }");
    const ProgramResult result =
        runProgram(std::string(COTTONWING_LAB) + " load " + path + " --json /dev/full");
    EXPECT_EQ(result.code, 1) << result.out;
    EXPECT_NE(result.out.find("/dev/full can't be written: No space left on device"), std::string::npos)
        << result.out;
    EXPECT_NE(result.out.find("handled"), std::string::npos);
}

TEST(LoadTestProgram, InterruptedRunPrintsItsFigures) {
    ThriftServerThread server(EmulatedThriftServerConfig{});
    const std::string path = writeLoadFile(
        "length 60s; rate { steady 100/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "send-within 10s; callers 1 { " +
        server.to() + " }");
    const ProgramResult result =
        runProgram("timeout -s INT 1 " + std::string(COTTONWING_LAB) + " load " + path + " --json -");
    const auto from = result.out.find('{');
    ASSERT_NE(from, std::string::npos) << result.out;
    const auto figures = nlohmann::json::parse(result.out.substr(from));
    EXPECT_TRUE(figures["stopped"].get<bool>());
    EXPECT_EQ(figures["ends"]["handled"], figures["planned"]);
}

TEST(LoadTestProgram, InvalidFileIsReportedWithItsLocation) {
    const std::string path = writeLoadFile("length 200; rate { steady 100/s }; profile a { promised 400ms }");
    const ProgramResult result = runProgram(std::string(COTTONWING_LAB) + " load " + path);
    EXPECT_EQ(result.code, 2);
    EXPECT_EQ(result.out.find(path + ":2:8: '200' was found, a duration such as 250ms"), 0U) << result.out;
}

}  // namespace
}  // namespace cottonwing::loadtest
