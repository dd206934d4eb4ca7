/// @file
/// What the configuration of a process is read from, which errors are found, and how limits are divided.
#include "config/process_config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "../helpers.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using testing::Json;

// Whatever the limits of the process are, all that has a limit of its own stays below them in total.
RC_GTEST_PROP(ResourceLimits, TogetherStayBelowTheLimitsOfTheProcess, ()) {
    const int sockets = *rc::gen::inRange(64, 4096);
    const int megabytes = *rc::gen::inRange(16, 1024);
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

TEST(ProcessConfig, IsReadFromEnvironmentAndFile) {
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

TEST(ProcessConfig, AnErrorNamesItsKey) {
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
            ADD_FAILURE() << "accepted in spite of " << key;
        } catch (const config::ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find(key + ": "), std::string::npos) << error.what();
        }
    }
    const auto isRejected = [](const std::string& key, const testing::Reply& variables) {
        try {
            testing::startOf(testing::plainStart(), variables);
            ADD_FAILURE() << "accepted in spite of " << key;
        } catch (const config::ConfigError& error) {
            EXPECT_EQ(std::string(error.what()).substr(0, key.size()), key);
        }
    };
    isRejected("GW_NAME", {{"GW_LISTEN", "127.0.0.1:0"}});
    isRejected("GW_LISTEN", {{"GW_NAME", "n3"}, {"GW_LISTEN", "here"}});
    isRejected("GW_CONFIG", {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}, {"GW_CONFIG", "/nowhere"}});
    isRejected("GW_LOG", {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}, {"GW_LOG", "loud"}});
}

}  // namespace
}  // namespace cottonwing
