// Rings against a plain string, how connections end, timers, the log and what a start is refused for.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "helpers.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using net::ConnectionEnd;
using testing::Json;

RC_GTEST_PROP(Ring, HoldsWhatAStringWould, (const std::vector<std::string>& pieces, std::uint8_t drops)) {
    net::Ring ring(64);
    std::string model, scratch;
    for (const std::string& piece : pieces) {
        const bool fits = model.size() + piece.size() <= 64;
        RC_ASSERT(ring.write(piece) == fits);
        if (fits) model += piece;
        RC_ASSERT(ring.peek(model.size(), scratch) == model);
        RC_ASSERT(ring.find('a', 0) == std::min(model.find('a'), model.size()));
        const std::size_t gone = std::min<std::size_t>(model.size(), drops % 23);
        ring.drop(gone);
        model.erase(0, gone);
        RC_ASSERT(ring.size() == model.size() && ring.size() + ring.room() == 64);
        RC_ASSERT(ring.capacity() <= 64);
    }
}

TEST(Ring, GrowsAsNeededAndLetsGoOfMuch) {
    net::Ring ring(1 << 20);
    EXPECT_EQ(ring.capacity(), 0U);
    ASSERT_TRUE(ring.write("x"));
    EXPECT_LE(ring.capacity(), 2048U);
    const auto pinned = ring.pin();  // a write in progress reads from here
    ASSERT_TRUE(ring.write(std::string(100000, 'y')));
    EXPECT_EQ(pinned[0], 'x');
    ring.drop(ring.size());
    EXPECT_EQ(ring.capacity(), 0U);
}

TEST(Ring, KeepsToATotal) {
    const auto total = std::make_shared<net::Total>(net::Total{8192, 0});
    {
        net::Ring first(1 << 20, total), second(1 << 20, total);
        ASSERT_TRUE(first.write(std::string(6000, 'x')));
        EXPECT_FALSE(second.write(std::string(6000, 'y')));
        EXPECT_TRUE(second.empty());
        EXPECT_TRUE(second.space(4000).empty() || second.capacity() + first.capacity() <= 8192);
        EXPECT_LE(total->held, 8192U);
    }
    EXPECT_EQ(total->held, 0U);
}

// Whatever the limits are, all that has a bound stays below them in total.
RC_GTEST_PROP(Shares, StayBelowTheLimits, ()) {
    const int sockets = *rc::gen::inRange(64, 4096), megabytes = *rc::gen::inRange(16, 1024);
    Json all = testing::plainStart();
    all["limits"] = {{"cores", 0.5}, {"memory_mb", megabytes}, {"sockets", sockets}};
    const config::ResourceLimits shares = testing::startOf(all).limits;
    RC_ASSERT(shares.thriftConnections * 2 > static_cast<std::size_t>(sockets));  // theirs by right, and some
    RC_ASSERT(shares.thriftConnections + shares.dependencyConnections + 4 <=
              static_cast<std::size_t>(sockets));
    const std::size_t bytes = static_cast<std::size_t>(megabytes) << 20;
    RC_ASSERT(shares.thriftBytes + shares.dependencyBytes + shares.requestBytes + shares.workerPoolBytes <=
              bytes / 8 * 5);
}

TEST(ConnectionEnd, HasOneOutcomeEach) {
    const std::map<ConnectionEnd, Outcome> expected = {{ConnectionEnd::PeerClosed, Outcome::ConnectionLost},
                                                       {ConnectionEnd::Reset, Outcome::ConnectionLost},
                                                       {ConnectionEnd::ConnectRefused, Outcome::Unreachable},
                                                       {ConnectionEnd::ConnectTimedOut, Outcome::Unreachable},
                                                       {ConnectionEnd::TimedOut, Outcome::TimedOut},
                                                       {ConnectionEnd::Abandoned, Outcome::Cancelled},
                                                       {ConnectionEnd::Malformed, Outcome::MalformedResponse},
                                                       {ConnectionEnd::TooLong, Outcome::MalformedResponse},
                                                       {ConnectionEnd::Unused, Outcome::ConnectionLost}};
    ASSERT_EQ(expected.size(), static_cast<std::size_t>(net::kConnectionEnds));
    std::set<std::string> names;
    for (const auto& [end, outcome] : expected) {
        EXPECT_EQ(net::outcomeOf(end), outcome) << net::nameOf(end);
        names.insert(net::nameOf(end));
    }
    EXPECT_EQ(names.size(), expected.size());
}

TEST(Timer, RingsOnceAndNeverEarly) {
    net::Loop loop;
    int rings = 0;
    Duration at{0};
    net::Timer timer(loop, [&] { ++rings, at = net::unixNow(); });
    const Duration from = net::unixNow();
    timer.start(20ms);
    timer.start(10500us);  // in place of the first
    testing::until(loop, [&] { return rings > 0; });
    EXPECT_GE(at - from, 10500us);
    bool after = false;
    net::Timer later(loop, [&] { after = true; });
    later.start(30ms);
    testing::until(loop, [&] { return after; });
    EXPECT_EQ(rings, 1);
}

TEST(Loop, KeepsWhatAHandlerThrowsFromTheLibrary) {
    net::Loop loop;
    std::string trouble;
    loop.onTrouble([&](const std::string& what) { trouble = what; });
    net::Timer timer(loop, [] { throw std::runtime_error("thrown"); });
    timer.start(0ns);
    testing::until(loop, [&] { return !trouble.empty(); });
    EXPECT_EQ(trouble, "thrown");
}

TEST(Log, FiltersByLevelAndCutsStorms) {
    std::ostringstream lines;
    telemetry::Log log(lines, telemetry::Level::Warn);
    log.info("kind", "not taken");
    EXPECT_EQ(lines.str(), "");
    for (int i = 0; i < 100; ++i) log.warn("kind", "storm");
    log.warn("other", "heard");
    const std::string text = lines.str();
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 20);
    EXPECT_NE(text.find("warn other: heard"), text.npos);
}

TEST(Counters, ArePrintedByName) {
    telemetry::Counters counters;
    counters.add(telemetry::Count::Completed);
    counters.addEnd(ConnectionEnd::Reset);
    std::ostringstream line;
    counters.print(line);
    EXPECT_NE(line.str().find(" handled=1 "), std::string::npos);
    EXPECT_NE(line.str().find(" end-reset=1 "), std::string::npos);
    EXPECT_NE(line.str().find(" reports-failed=0 "), std::string::npos);
}

TEST(Start, ReadsWhatItIsTold) {
    const config::ProcessConfig start = testing::startOf(testing::plainStart());
    EXPECT_EQ(start.name, "n3");
    EXPECT_EQ(start.shutdownTimeout, 1500ms);
    EXPECT_EQ(start.controller.seed, 0x8c1f30d27a5be964U);
    EXPECT_EQ(start.controller.requestClasses.size(), 2U);
    EXPECT_EQ(start.controller.requestClasses[1].latencyObjective, 2300ms);
    EXPECT_EQ(start.nameTables.tenants.at("acme"), 0);
    EXPECT_TRUE(start.deregisterWhenUnhealthy);
    EXPECT_EQ(start.gaugeNames.size(), 4U);
}

TEST(Start, NamesTheKeyItRefuses) {
    using Change = std::function<void(Json&)>;
    const std::vector<std::pair<std::string, Change>> cases = {
        {"name", [](Json& all) { all["name"] = "n4"; }},
        {"listen", [](Json& all) { all["listen"] = "127.0.0.1:9"; }},
        {"pool", [](Json& all) { all.erase("pool"); }},
        {"pool", [](Json& all) { all["pool"] = "localhost"; }},
        {"records", [](Json& all) { all["records"] = "127.0.0.1:x"; }},
        {"registry", [](Json& all) { all["registry"] = "127.0.0.1:70000"; }},
        {"seed", [](Json& all) { all["seed"] = "xyz"; }},
        {"stop_ms", [](Json& all) { all["stop_ms"] = 0; }},
        {"limits", [](Json& all) { all["limits"] = 4; }},
        {"limits.sockets", [](Json& all) { all["limits"]["sockets"] = 8; }},
        {"limits.memory_mb", [](Json& all) { all["limits"].erase("memory_mb"); }},
        {"settings", [](Json& all) { all.erase("settings"); }},
        {"classes", [](Json& all) { all["settings"]["classes"] = Json::array(); }},
        {"worth", [](Json& all) { all["settings"]["classes"][0]["worth"] = "much"; }},
        {"repeat", [](Json& all) { all["settings"]["classes"][0]["repeat"] = "often"; }},
        {"window_us", [](Json& all) { all["settings"]["classes"][0]["repeat"] = "guarded"; }},
        {"deadline_us", [](Json& all) { all["settings"]["classes"][0].erase("deadline_us"); }},
        {"degraded_worth", [](Json& all) { all["settings"]["family_info"]["degraded_worth"] = "half"; }},
        {"below", [](Json& all) { all["settings"]["family_info"]["below"] = "off"; }},
        {"cores", [](Json& all) { all["settings"]["family_info"].erase("cores"); }},
        {"heap_kb", [](Json& all) { all["settings"]["family_info"]["heap_kb"] = -1; }},
        {"own_stats", [](Json& all) { all["settings"]["family_info"]["own_stats"] = 3; }},
        {"readiness", [](Json& all) { all["settings"]["family_info"]["readiness"] = 3; }}};
    for (const auto& [key, change] : cases) {
        Json all = testing::plainStart();
        change(all);
        try {
            testing::startOf(all);
            ADD_FAILURE() << "taken in spite of " << key;
        } catch (const config::ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find(key + ": "), std::string::npos) << error.what();
        }
    }
    const auto refused = [](const std::string& key, const testing::Reply& variables) {
        try {
            testing::startOf(testing::plainStart(), variables);
            ADD_FAILURE() << "taken in spite of " << key;
        } catch (const config::ConfigError& error) {
            EXPECT_EQ(std::string(error.what()).substr(0, key.size()), key);
        }
    };
    refused("GW_NAME", {{"GW_LISTEN", "127.0.0.1:0"}});
    refused("GW_LISTEN", {{"GW_NAME", "n3"}, {"GW_LISTEN", "here"}});
    refused("GW_CONFIG", {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}, {"GW_CONFIG", "/nowhere"}});
    refused("GW_LOG", {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}, {"GW_LOG", "loud"}});
}

}  // namespace
}  // namespace cottonwing
