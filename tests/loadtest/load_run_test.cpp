// The load generator: what it draws, what it counts, and that it tells the truth of servers that stall, are
// deaf, break off, answer twice or are not there, of clocks that step back, and of itself.
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

int upTo(int most) { return *rc::gen::resize(1000, rc::gen::inRange(0, most + 1)); }

std::unique_ptr<LoadTerms> termsOf(const std::string& inside, bool targets = false) {
    return readLoad(kdl::parse("load {\n" + inside + "\n}", "t.kdl"), "t.kdl", targets);
}
std::string problemOf(const std::string& inside) {
    try {
        termsOf(inside);
    } catch (const kdl::DocumentError& problem) {
        return problem.what();
    }
    return "none";
}
std::vector<ScheduledRequest> all(const RequestScheduleConfig& config) {
    std::vector<ScheduledRequest> result;
    const auto plan = makeRequestSchedule(config);
    while (const auto planned = plan->next()) result.push_back(*planned);
    return result;
}
constexpr const char* kRequestClass = "profile \"a\" { promised 1s; hard-stop 4s }\n";

// ---- what is drawn --------------------------------------------------------------------------------------

TEST(Shapes, EvenArrivalsKeepTheRateTheyWereGiven) {
    const auto count = [](const std::string& rate, const char* length) {
        const auto terms =
            termsOf(std::string(kRequestClass) + "arrivals even; length " + length + "; rate {" + rate + "}");
        return static_cast<double>(all(terms->plan).size());
    };
    EXPECT_NEAR(count("steady 100/s", "10s"), 1000, 1);
    EXPECT_NEAR(count("ramp from=0/s to=100/s over=10s", "10s"), 500, 2);
    EXPECT_NEAR(count("steady 50/s; spike to=100/s at=2s rise=2s hold=2s fall=2s", "10s"), 900, 2);
    EXPECT_NEAR(count("times { steady 100/s; wave mean=1 swing=0.5 period=1s }", "10s"), 1000, 3);
    EXPECT_NEAR(count("steps 10/s 20/s 30/s each=1s", "5s"), 10 + 20 + 3 * 30, 2);
    EXPECT_NEAR(count("climb from=100/s to=300/s over=10s", "10s"), 2000, 3);
}

TEST(Shapes, BurstsAndPoissonAreTheSameForTheSameSeed) {
    const std::string inside = std::string(kRequestClass) +
                               "length 20s; rate { bursts on=400/s off=20/s stay-on=1s stay-off=2s }; seed ";
    const auto first = all(termsOf(inside + "5")->plan);
    EXPECT_EQ(first, all(termsOf(inside + "5")->plan));
    EXPECT_NE(first, all(termsOf(inside + "6")->plan));
    // On a third of the time: about 147 a second, and more unequal than one steady rate could be.
    EXPECT_GT(first.size(), 800U);
    EXPECT_LT(first.size(), 6000U);
    std::vector<double> each(20);
    for (const ScheduledRequest& planned : first) each[static_cast<std::size_t>(planned.arrival / 1s)] += 1;
    double mean = 0, square = 0;
    for (const double count : each) mean += count / 20, square += count * count / 20;
    EXPECT_GT((square - mean * mean) / mean, 5) << "a Poisson stream has 1";
}

TEST(Draws, ZipfGivesEachRankItsShare) {
    for (const double exponent : {0.0, 0.7, 1.0, 1.6}) {
        const Zipf zipf(1000, exponent);
        RandomGenerator random = makeRandomGenerator(7, RandomStream::Subjects);
        std::map<std::uint64_t, int> seen;
        for (int n = 0; n < 100000; ++n) ++seen[zipf.draw(random)];
        double sum = 0;
        for (int rank = 1; rank <= 1000; ++rank) sum += std::pow(rank, -exponent);
        for (const std::uint64_t rank : {0ULL, 1ULL, 9ULL}) {
            const double expected = 100000 * std::pow(static_cast<double>(rank + 1), -exponent) / sum;
            EXPECT_NEAR(seen[rank], expected, 5 * std::sqrt(expected) + 1) << exponent << " " << rank;
        }
        EXPECT_LT(seen.rbegin()->first, 1000U);
    }
}

TEST(Draws, DistributionsKeepTheirMeanAndBounds) {
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

TEST(Traces, AnExportedAndImportedPlanHasTheSameRequests) {
    const auto terms = termsOf(std::string(kRequestClass) +
                               "profile \"b, \\\"quoted\\\"\" { share 30%; calls 1; work lognormal "
                               "median=8ms p99=40ms; failing 10% }\n"
                               "length 3s; customers 40; rate { steady 300/s }");
    const std::string path = ::testing::TempDir() + "cottonwing-trace-" + std::to_string(getpid()) + ".csv";
    const auto drawn = all(terms->plan);
    {
        TraceWriter writer(path, terms->plan.requestClasses);
        for (const ScheduledRequest& planned : drawn) writer.add(planned);
        ASSERT_TRUE(writer.close());
    }
    RequestScheduleConfig again = terms->plan;
    again.trace = TraceConfig{};
    again.trace->file = path;
    EXPECT_TRUE(all(again) == drawn);
    // Cut and stretched: what lies in the part, twice as slow.
    again.trace->from = 1s, again.trace->until = 2s, again.trace->timeScale = 2;
    std::size_t inPart = 0;
    for (const ScheduledRequest& planned : drawn) inPart += planned.arrival >= 1s && planned.arrival < 2s;
    EXPECT_EQ(all(again).size(), inPart);
    std::remove(path.c_str());
}

std::string traceFile(const std::string& text) {
    const std::string path = ::testing::TempDir() + "cottonwing-lines-" + std::to_string(getpid()) + ".csv";
    std::ofstream(path) << text;
    return path;
}

TEST(Traces, BadLinesAreNamedAndCounted) {
    const std::string path =
        traceFile("time_ms,profile,cost_ms\n1,a,5\n2,nobody,5\nx,a,5\n3,a\n0,a,5\n4,a,5\n");
    auto terms = termsOf(std::string(kRequestClass) + "trace \"" + path + "\"");
    try {
        all(terms->plan);
        FAIL() << "the bad line was taken";
    } catch (const kdl::DocumentError& problem) {
        EXPECT_EQ(std::string(problem.what()),
                  path + ":3:1: the profile 'nobody' was found, one of a was expected");
    }
    terms->plan.trace->skipMalformed = true;
    const auto plan = makeRequestSchedule(terms->plan);
    int count = 0;
    while (plan->next()) ++count;
    EXPECT_EQ(count, 2);
    EXPECT_EQ(plan->skippedLines(), 4U);
    // A column without its unit can't be guessed, whatever is skipped.
    std::ofstream(path) << "time,profile\n1,a\n";
    EXPECT_THROW(all(terms->plan), kdl::DocumentError);
    std::remove(path.c_str());
}

TEST(Traces, JsonLinesAreReadToo) {
    const std::string path = traceFile(
        "{\"time_s\":0.5,\"profile\":\"a\",\"customer\":\"acme\",\"mark\":1}\n"
        "{\"time_s\":0.75,\"profile\":\"a\",\"patience_ms\":200,\"size\":99}\n");
    const auto rows = all(termsOf(std::string(kRequestClass) + "trace \"" + path + "\"")->plan);
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_TRUE(rows[0].isRetry);
    EXPECT_EQ(rows[1].arrival, 750ms);
    EXPECT_EQ(rows[1].attemptTimeout, 200ms);
    EXPECT_EQ(rows[1].bodyBytes, 99U);
    std::remove(path.c_str());
}

// Ten at once every second, three times as many: still in the first hundredth of each second, none elsewhere.
TEST(Traces, MultipliedABurstStaysABurst) {
    std::string text = "time_ms,profile\n";
    for (int second = 0; second < 5; ++second)
        for (int n = 0; n < 10; ++n) text += std::to_string(second * 1000) + ",a\n";
    const std::string path = traceFile(text);
    const auto rows =
        all(termsOf(std::string(kRequestClass) + "length 10s; trace \"" + path + "\" copies=3")->plan);
    EXPECT_EQ(rows.size(), 150U);
    for (std::size_t at = 0; at < rows.size(); ++at) {
        EXPECT_LE(rows[at].arrival % 1s, 10ms);
        if (at > 0) {
            EXPECT_GE(rows[at].arrival, rows[at - 1].arrival);
        }
    }
    std::remove(path.c_str());
}

TEST(LoadFiles, MistakesAreNamedWithTheirPlace) {
    EXPECT_NE(problemOf("").find("t.kdl:1:1: 'load' was found without a profile"), std::string::npos);
    EXPECT_NE(problemOf(kRequestClass).find("one of 'rate { … }' and 'trace FILE' was expected"),
              std::string::npos);
    EXPECT_NE(problemOf(std::string(kRequestClass) + "rate { steady 200 }")
                  .find("a rate such as 120/s with a unit"),
              std::string::npos);
    EXPECT_NE(problemOf(std::string(kRequestClass) + "rate { stedy 200/s }")
                  .find("t.kdl:3:8: 'stedy' was found, one of steady"),
              std::string::npos);
    EXPECT_NE(problemOf("profile a { promised 5s; hard-stop 1s }; rate { steady 1/s }")
                  .find("hard stop before its promised time"),
              std::string::npos);
    EXPECT_NE(
        problemOf(std::string(kRequestClass) + "rate { steady 1/s }; lenght 5s").find("'lenght' was found"),
        std::string::npos);
    EXPECT_NE(problemOf(std::string(kRequestClass) + kRequestClass + "rate { steady 1/s }")
                  .find("a second profile 'a'"),
              std::string::npos);
}

// ---- what is counted ------------------------------------------------------------------------------------

RC_GTEST_PROP(Histograms, QuantilesAreWithinHalfAPercent, ()) {
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
    for (const double part : {0.0, 0.5, 0.9, 0.99, 1.0}) {
        const auto rank =
            static_cast<std::size_t>(std::max(1.0, std::ceil(part * static_cast<double>(times.size()))));
        const double exact = static_cast<double>(times[rank - 1]) / 1e9;
        RC_ASSERT(std::abs(one.quantile(part) / exact - 1) < 0.005);
    }
}

TEST(Histograms, ALongRunKeepsItsSumsInBoundedMemory) {
    Series series;
    for (int second = 0; second < 5000; ++second) {
        Stretch& stretch = series.at(second * 1s);
        ++stretch.ends[0];
        stretch.open = std::max<std::uint64_t>(stretch.open, static_cast<std::uint64_t>(second % 7));
        if (!stretch.latencies) stretch.latencies = std::make_unique<LatencyHistogram>();
        stretch.latencies->add(1ms);
    }
    EXPECT_LE(series.stretches().size(), Series::kMost);
    EXPECT_EQ(series.width(), 16s);
    std::uint64_t sum = 0, latencies = 0;
    for (const Stretch& stretch : series.stretches()) {
        sum += stretch.ends[0], latencies += stretch.latencies->count();
        EXPECT_LE(stretch.open, 6U);
    }
    EXPECT_EQ(sum, 5000U);
    EXPECT_EQ(latencies, 5000U);
    Series shorter;
    ++shorter.at(3s).ends[0];
    shorter.add(series);
    EXPECT_EQ(shorter.width(), 16s);
    EXPECT_EQ(shorter.stretches()[0].ends[0], 17U);
}

// ---- on sockets -----------------------------------------------------------------------------------------

// An answering server on a thread of its own, as another process would be.
class Elsewhere {
public:
    explicit Elsewhere(const AnsweringTerms& terms) {
        std::promise<net::Address> bound;
        auto address = bound.get_future();
        thread_ = std::thread([this, terms, &bound] {
            net::Loop loop;
            Answering answering(loop, {"127.0.0.1", 0}, terms);
            CrossThreadWakeup bell(loop, [&] { loop.stop(); });
            bell_ = &bell;
            bound.set_value(answering.address());
            loop.run();
            book = answering.book();
            forgets = answering.forgets();
        });
        at = address.get();
    }
    ~Elsewhere() { stop(); }
    void stop() {
        if (!thread_.joinable()) return;
        bell_->wake();
        thread_.join();
    }
    std::string to() const { return "to \"" + at.host + ":" + std::to_string(at.port) + "\""; }
    net::Address at;
    std::unordered_map<std::string, Answering::Entry> book;  // once it has stopped
    std::uint64_t forgets = 0;

private:
    std::thread thread_;
    CrossThreadWakeup* bell_ = nullptr;
};

void expectAddsUp(const LoadResult& result) {
    for (const RequestClassStats& requestClass : result.tally.requestClasses) {
        EXPECT_EQ(requestClass.ended(), requestClass.planned);
        EXPECT_EQ(requestClass.fromSchedule.count(), requestClass.ends[0] + requestClass.ends[1]);
    }
    std::array<std::uint64_t, kEnds> sums{};
    for (const Stretch& stretch : result.tally.series.stretches())
        for (std::size_t end = 0; end < kEnds; ++end) sums[end] += stretch.ends[end];
    for (std::size_t end = 0; end < kEnds; ++end)
        EXPECT_EQ(sums[end], result.tally.of(static_cast<End>(end)));
    EXPECT_EQ(result.tally.lag.count(), result.tally.planned());
}

LoadResult play(const LoadTerms& terms, std::vector<Watcher*> watchers = {}, Clocks clocks = {}) {
    Load load(terms, std::move(watchers), std::move(clocks));
    load.start(steadyNow() + 20ms);
    return load.finish();
}

// Counts for itself when each request was due, by the id of its first try.
class Schedule : public Watcher {
public:
    void planned(const ScheduledRequest& planned, Duration scheduled) override {
        const std::lock_guard hold(guard);
        due[planned.number] = scheduled;
    }
    std::mutex guard;
    std::map<std::uint64_t, Duration> due;
};

double exactQuantile(std::vector<double> values, double part) {
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
                      std::max(1.0, std::ceil(part * static_cast<double>(values.size())))) -
                  1];
}

// Counts for itself, beside the schedule, when each request was answered.
class Waits : public Schedule {
public:
    void answered(const std::string& trace, ClientResponse::Kind) override {
        const std::lock_guard hold(guard);
        answeredAt[trace] = steadyNow();
    }
    std::map<std::string, Duration> answeredAt;
};

// A server stands still for two seconds: what clients waited, until they had read their answers, is told to
// the percent, and never less than by the stand-in's own times of sending them. (How long an answer lies
// unread is up to the machine.) A closed loop sends little meanwhile, and hides the stall.
TEST(OnSockets, AStallOfTwoSecondsIsToldInFull) {
    AnsweringTerms stalls;
    stalls.takes = 100ms;
    stalls.stallAt = 800ms;
    stalls.stallFor = 2s;
    stalls.keepsBook = true;
    const std::string inside =
        "seed 3; workers 2; length 4s; arrivals even; rate { steady 250/s }\n"
        "profile a { promised 1s; hard-stop 8s }\n";
    Elsewhere server(stalls);
    auto terms = termsOf(inside + "callers 4 { " + server.to() + " }", true);
    terms->sendWithin = 1s;  // this test judges its own count, on whatever machine
    Waits waits;
    const LoadResult result = play(*terms, {&waits});
    server.stop();
    expectAddsUp(result);
    EXPECT_EQ(result.tally.planned(), 1000U);
    EXPECT_EQ(result.tally.of(End::Completed) + result.tally.of(End::Late), 1000U);
    std::vector<double> untilRead, untilSent;
    for (const auto& [number, due] : waits.due) {
        const std::string trace = traceOf(3, number, 0);
        const Duration sent = server.book.at(trace).sent, read = waits.answeredAt.at(trace);
        EXPECT_GE(read, sent);
        untilSent.push_back(std::chrono::duration<double>(sent - due).count());
        untilRead.push_back(std::chrono::duration<double>(read - due).count());
    }
    ASSERT_EQ(untilRead.size(), 1000U);
    const LatencyHistogram told = result.tally.completed();
    for (const double part : {0.5, 0.99, 0.999, 1.0}) {
        EXPECT_NEAR(told.quantile(part) / exactQuantile(untilRead, part), 1, 0.01) << part;
        EXPECT_GT(told.quantile(part) / exactQuantile(untilSent, part), 0.99) << part;
    }
    EXPECT_GT(told.quantile(0.99), 1.9);

    Elsewhere same(stalls);
    const auto closed = termsOf(inside + "callers 4 { " + same.to() + "; closed 4 }", true);
    const LoadResult hidden = play(*closed);
    expectAddsUp(hidden);
    EXPECT_LT(hidden.tally.completed().quantile(0.9), told.quantile(0.9) / 5)
        << "the closed loop hides the stall";
}

TEST(OnSockets, ADeafServerGetsNoAnswersCounted) {
    AnsweringTerms deaf;
    deaf.deaf = true;
    Elsewhere server(deaf);
    const auto terms = termsOf(
        "length 500ms; rate { steady 400/s }; profile a { promised 100ms; hard-stop 300ms; body 2KiB }\n"
        "callers 2 { " +
            server.to() + "; attempts 1; connections 2 }",
        true);
    const LoadResult result = play(*terms);
    expectAddsUp(result);
    EXPECT_GT(result.tally.planned(), 100U);
    EXPECT_EQ(result.tally.of(End::Completed), 0U);
    EXPECT_GT(result.tally.of(End::NoAnswer), 0U);
    EXPECT_EQ(result.tally.of(End::NoAnswer), result.tally.broken.lost);
}

TEST(OnSockets, WhoGivesUpSaysSo) {
    AnsweringTerms silent;
    silent.silent = true;
    Elsewhere server(silent);
    const auto terms = termsOf(
        "length 300ms; rate { steady 200/s }; profile a { promised 50ms; hard-stop 100ms }\n"
        "callers 2 { " +
            server.to() + "; attempts 1 }",
        true);
    const LoadResult result = play(*terms);
    server.stop();
    expectAddsUp(result);
    EXPECT_EQ(result.tally.links.forgets, result.tally.of(End::NoAnswer));
    EXPECT_EQ(server.forgets, result.tally.links.forgets);
}

TEST(OnSockets, ResetsInMidAnswerAreConnectionsLostAndRepeatsStayBounded) {
    AnsweringTerms breaks;
    breaks.resetEvery = 5;
    Elsewhere server(breaks);
    const auto terms = termsOf(
        "length 1s; rate { steady 400/s }; profile a { promised 500ms; hard-stop 1s }\n"
        "profile b { share 100%; repeat once-only; promised 500ms; hard-stop 1s }\n"
        "callers 2 { " +
            server.to() + "; attempts 3 }",
        true);
    const LoadResult result = play(*terms);
    expectAddsUp(result);
    const RequestClassStats& once = result.tally.requestClasses[1];
    EXPECT_GT(once.ends[static_cast<std::size_t>(End::ConnectionLost)], 0U);
    EXPECT_EQ(once.tries, once.planned) << "once-only is never sent twice";
    EXPECT_EQ(result.tally.broken.all(), 0U);
}

TEST(OnSockets, AnswersTwiceToNothingOrOfNoRunAreBrokenRules) {
    AnsweringTerms rude;
    rude.twiceEvery = 10;
    rude.toNothingEvery = 15;
    rude.wrongEvery = 20;
    Elsewhere server(rude);
    const auto terms = termsOf(
        "length 500ms; rate { steady 400/s }; profile a { promised 500ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + "; attempts 1 }",
        true);
    const LoadResult result = play(*terms);
    expectAddsUp(result);
    const Broken& broken = result.tally.broken;
    EXPECT_GT(broken.twice, 0U);
    EXPECT_GT(broken.toNothing, 0U);
    EXPECT_GT(broken.wrongResult, 0U);
    EXPECT_EQ(result.tally.of(End::Failed), broken.wrongResult) << "never counted as handled";
    EXPECT_FALSE(broken.examples.empty());
}

TEST(OnSockets, RejectedRequestsAreRetriedAfterTheirRetryAfter) {
    AnsweringTerms busy;
    busy.busyEvery = 20;
    busy.goawayEvery = 50;
    Elsewhere server(busy);
    const auto terms = termsOf(
        "length 1s; rate { steady 300/s }; profile a { promised 500ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + "; attempts 3 longest=10ms }",
        true);
    const LoadResult result = play(*terms);
    expectAddsUp(result);
    EXPECT_GT(result.tally.requestClasses[0].tries, result.tally.planned());
    EXPECT_GT(result.tally.links.goaways, 0U);
    EXPECT_GT(result.tally.of(End::Completed), result.tally.planned() * 95 / 100);
    EXPECT_EQ(result.tally.broken.all(), 0U);
}

TEST(OnSockets, AClockThatStepsBackMovesNoFigure) {
    Elsewhere server(AnsweringTerms{});
    auto terms = termsOf(
        "length 600ms; rate { steady 300/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + " }",
        true);
    terms->sendWithin = 1s;
    Clocks clocks;
    const Duration begun = steadyNow();
    clocks.unix = [begun] { return net::unixNow() - (steadyNow() - begun > 300ms ? 3600s : 0s); };
    const LoadResult result = play(*terms, {}, clocks);
    expectAddsUp(result);
    EXPECT_EQ(result.tally.of(End::Completed), result.tally.planned());
    EXPECT_LT(result.tally.completed().max(), 1.0);
}

// The worker itself gets no time for a while, as on a machine with too few cores.
class Starves : public Watcher {
public:
    void planned(const ScheduledRequest& planned, Duration) override {
        if (planned.number == 20) std::this_thread::sleep_for(300ms);
    }
};

TEST(OnSockets, AStarvedGeneratorSaysThatItsRunIsInvalid) {
    Elsewhere server(AnsweringTerms{});
    const auto terms = termsOf(
        "length 600ms; rate { steady 300/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "callers 1 { " +
            server.to() + " }; send-within 20ms share=99%",
        true);
    Starves starves;
    const LoadResult result = play(*terms, {&starves});
    expectAddsUp(result);
    EXPECT_FALSE(result.valid);
    EXPECT_NE(result.why.find("were sent within 20.0 ms"), std::string::npos);
    EXPECT_GT(result.tally.completed().max(), 0.2)
        << "its own lateness is in the latency of what it sent late";
}

// Guards against a generator that loses count of refused connections. No machine is so slow that time cuts an
// attempt short, so that each request makes both of its attempts and each of them is refused.
TEST(OnSockets, TenThousandRefusedConnectionsEndInOrder) {
    auto terms = termsOf(
        "workers 2; length 1s; arrivals even; rate { steady 5200/s }\n"
        "profile a { promised 50ms; hard-stop 600s }\n"
        "callers 2 { to \"127.0.0.1:1\"; attempts 2 budget=#false; connections 10000 open=1 }",
        true);
    terms->sendWithin = 600s;
    const LoadResult result = play(*terms);
    expectAddsUp(result);
    EXPECT_GT(result.tally.links.refused, 10000U);
    EXPECT_EQ(result.tally.links.refused, 2 * result.tally.planned());
    EXPECT_EQ(result.tally.requestClasses[0].tries, 2 * result.tally.planned());
    EXPECT_EQ(result.tally.of(End::ConnectionLost), result.tally.planned());
}

// Guards against attempts that nobody counts when the generator falls behind: whatever the machine's speed,
// an attempt that was sent is refused or given up, and what was never sent is counted as that.
TEST(OnSockets, RefusedConnectionsThatTimeCutsShortAddUp) {
    auto terms = termsOf(
        "workers 2; length 1s; rate { steady 10000/s }; profile a { promised 50ms; hard-stop 500ms }\n"
        "callers 2 { to \"127.0.0.1:1\"; attempts 2 budget=#false; connections 10000 open=1 }",
        true);
    terms->sendWithin = 10s;
    const LoadResult result = play(*terms);
    expectAddsUp(result);
    const Tally& tally = result.tally;
    std::uint64_t failedAttempts = 0;
    for (const std::uint64_t count : tally.links.notAgain) failedAttempts += count;
    EXPECT_EQ(tally.requestClasses[0].tries, failedAttempts + tally.of(End::NoAnswer));
    EXPECT_EQ(tally.planned(),
              tally.of(End::ConnectionLost) + tally.of(End::NoAnswer) + tally.of(End::NeverSent));
    EXPECT_LE(tally.links.refused, tally.links.opened);
    EXPECT_LE(tally.links.opened, tally.requestClasses[0].tries);
    EXPECT_EQ(tally.broken.all(), 0U);
}

TEST(OnSockets, WhatIsSentDoesNotTurnOnTheNumberOfWorkers) {
    std::vector<std::uint64_t> sums;
    for (const char* workers : {"1", "3"}) {
        Elsewhere server(AnsweringTerms{});
        const auto terms = termsOf(
            "length 300ms; rate { steady 500/s }; profile a { promised 400ms; hard-stop 1s }; workers " +
                std::string(workers) + "\ncallers 5 { " + server.to() + " }",
            true);
        Schedule schedule;
        const LoadResult result = play(*terms, {&schedule});
        expectAddsUp(result);
        std::uint64_t sum = 0;
        for (const auto& [number, due] : schedule.due) sum += routing::splitMix64(number);
        sums.push_back(sum);
    }
    EXPECT_EQ(sums[0], sums[1]);
}

TEST(OnSockets, StoppedInMidRunItTellsWhatItMeasured) {
    Elsewhere server(AnsweringTerms{});
    const auto terms = termsOf(
        "length 60s; rate { steady 200/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "callers 2 { " +
            server.to() + " }",
        true);
    Load load(*terms);
    load.start(steadyNow());
    while (load.completed() < 50) std::this_thread::sleep_for(1ms);
    load.stop();
    const LoadResult result = load.finish();
    expectAddsUp(result);
    EXPECT_TRUE(result.stopped);
    EXPECT_GE(result.tally.of(End::Completed), 50U);
    EXPECT_LT(result.length, 60s);
}

// ---- the program ----------------------------------------------------------------------------------------

struct Ran {
    int code = 0;
    std::string out;
};
Ran run(const std::string& request) {
    Ran ran;
    FILE* const pipe = popen((request + " 2>&1").c_str(), "r");
    char buffer[4096];
    for (std::size_t count; (count = fread(buffer, 1, sizeof buffer, pipe)) > 0;)
        ran.out.append(buffer, count);
    ran.code = WEXITSTATUS(pclose(pipe));
    return ran;
}

std::string loadFile(const std::string& inside) {
    const std::string path = ::testing::TempDir() + "cottonwing-load-" + std::to_string(getpid()) + ".kdl";
    std::ofstream(path) << "load {\n" << inside << "\n}\n";
    return path;
}

TEST(LabProgram, AFullDiskCostsTheFileAndNotTheFigures) {
    Elsewhere server(AnsweringTerms{});
    const std::string path = loadFile(
        "length 200ms; rate { steady 100/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "send-within 10s; callers 1 { " +
        server.to() + " }");
    const Ran ran = run(std::string(COTTONWING_LAB) + " load " + path + " --json /dev/full");
    EXPECT_EQ(ran.code, 1) << ran.out;
    EXPECT_NE(ran.out.find("/dev/full can't be written: No space left on device"), std::string::npos)
        << ran.out;
    EXPECT_NE(ran.out.find("handled"), std::string::npos);
}

TEST(LabProgram, InterruptedItPrintsWhatItHas) {
    Elsewhere server(AnsweringTerms{});
    const std::string path = loadFile(
        "length 60s; rate { steady 100/s }; profile a { promised 400ms; hard-stop 1s }\n"
        "send-within 10s; callers 1 { " +
        server.to() + " }");
    const Ran ran = run("timeout -s INT 1 " + std::string(COTTONWING_LAB) + " load " + path + " --json -");
    const auto from = ran.out.find('{');
    ASSERT_NE(from, std::string::npos) << ran.out;
    const auto figures = nlohmann::json::parse(ran.out.substr(from));
    EXPECT_TRUE(figures["stopped"].get<bool>());
    EXPECT_EQ(figures["ends"]["handled"], figures["planned"]);
}

TEST(LabProgram, AWrongFileIsNamedWithItsPlace) {
    const std::string path = loadFile("length 200; rate { steady 100/s }; profile a { promised 400ms }");
    const Ran ran = run(std::string(COTTONWING_LAB) + " load " + path);
    EXPECT_EQ(ran.code, 2);
    EXPECT_EQ(ran.out.find(path + ":2:8: '200' was found, a duration such as 250ms"), 0U) << ran.out;
}

}  // namespace
}  // namespace cottonwing::loadtest
