/// @file
/// The sources of the process configuration, its validation, and the division of the resource limits.
#include "config/process_config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "support/plain_config.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using testing::Json;

// For any resource limits of the process, the sum of the limits derived from them stays below them.
RC_GTEST_PROP(ResourceLimits, SumsStayBelowTheLimitsOfTheProcess, ()) {
    const int sockets = *rc::gen::inRange(64, 4096);
    const int megabytes = *rc::gen::inRange(16, 1024);
    Json file = testing::plainConfigFile();
    file["limits"] = {{"cores", 0.5}, {"memory_mb", megabytes}, {"sockets", sockets}};
    const config::ResourceLimits limits = testing::processConfigFrom(file).limits;
    RC_ASSERT(limits.thriftConnections * 2 > static_cast<std::size_t>(sockets));  // above the clients' half
    RC_ASSERT(limits.thriftConnections + limits.dependencyConnections + 4 <=
              static_cast<std::size_t>(sockets));
    const std::size_t bytes = static_cast<std::size_t>(megabytes) << 20;
    RC_ASSERT(limits.thriftBytes + limits.dependencyBytes + limits.requestBytes + limits.workerPoolBytes <=
              bytes / 8 * 5);
}

TEST(ProcessConfig, IsReadFromEnvironmentAndFile) {
    const config::ProcessConfig processConfig = testing::processConfigFrom(testing::plainConfigFile());
    EXPECT_EQ(processConfig.name, "n3");
    EXPECT_EQ(processConfig.shutdownTimeout, 1500ms);
    EXPECT_EQ(processConfig.controller.seed, 0x8c1f30d27a5be964U);
    EXPECT_EQ(processConfig.controller.requestClasses.size(), 2U);
    EXPECT_EQ(processConfig.controller.requestClasses[1].latencyObjective, 2300ms);
    EXPECT_EQ(processConfig.nameTables.tenants.at("acme"), 0);
    EXPECT_TRUE(processConfig.deregisterWhenUnhealthy);
    EXPECT_EQ(processConfig.gaugeNames.size(), 4U);
}

TEST(ProcessConfig, AnErrorNamesItsKey) {
    using Change = std::function<void(Json&)>;
    const std::vector<std::pair<std::string, Change>> cases = {
        {"name", [](Json& file) { file["name"] = "n4"; }},
        {"listen", [](Json& file) { file["listen"] = "127.0.0.1:9"; }},
        {"pool", [](Json& file) { file.erase("pool"); }},
        {"pool", [](Json& file) { file["pool"] = "localhost"; }},
        {"records", [](Json& file) { file["records"] = "127.0.0.1:x"; }},
        {"registry", [](Json& file) { file["registry"] = "127.0.0.1:70000"; }},
        {"seed", [](Json& file) { file["seed"] = "xyz"; }},
        {"stop_ms", [](Json& file) { file["stop_ms"] = 0; }},
        {"limits", [](Json& file) { file["limits"] = 4; }},
        {"limits.sockets", [](Json& file) { file["limits"]["sockets"] = 8; }},
        {"limits.memory_mb", [](Json& file) { file["limits"].erase("memory_mb"); }},
        {"settings", [](Json& file) { file.erase("settings"); }},
        {"classes", [](Json& file) { file["settings"]["classes"] = Json::array(); }},
        {"worth", [](Json& file) { file["settings"]["classes"][0]["worth"] = "much"; }},
        {"repeat", [](Json& file) { file["settings"]["classes"][0]["repeat"] = "often"; }},
        {"window_us", [](Json& file) { file["settings"]["classes"][0]["repeat"] = "guarded"; }},
        {"deadline_us", [](Json& file) { file["settings"]["classes"][0].erase("deadline_us"); }},
        {"degraded_worth", [](Json& file) { file["settings"]["family_info"]["degraded_worth"] = "half"; }},
        {"below", [](Json& file) { file["settings"]["family_info"]["below"] = "off"; }},
        {"cores", [](Json& file) { file["settings"]["family_info"].erase("cores"); }},
        {"heap_kb", [](Json& file) { file["settings"]["family_info"]["heap_kb"] = -1; }},
        {"own_stats", [](Json& file) { file["settings"]["family_info"]["own_stats"] = 3; }},
        {"readiness", [](Json& file) { file["settings"]["family_info"]["readiness"] = 3; }}};
    for (const auto& [key, change] : cases) {
        Json file = testing::plainConfigFile();
        change(file);
        try {
            testing::processConfigFrom(file);
            ADD_FAILURE() << "accepted an invalid value of " << key;
        } catch (const config::ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find(key + ": "), std::string::npos) << error.what();
        }
    }
    const auto isRejected = [](const std::string& key, const testing::FieldMap& variables) {
        try {
            testing::processConfigFrom(testing::plainConfigFile(), variables);
            ADD_FAILURE() << "accepted an invalid value of " << key;
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
