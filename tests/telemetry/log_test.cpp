/// @file
/// Levels, suppression of floods and the JSON format of the log.
#include "telemetry/log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace cottonwing::telemetry {
namespace {

TEST(Log, FiltersByLevelAndSuppressesFloods) {
    std::ostringstream lines;
    Log log(lines, Level::Warn);
    log.info("kind", "below the level");
    EXPECT_EQ(lines.str(), "");
    for (int i = 0; i < 100; ++i) log.warn("kind", "flood");
    log.warn("other", "not suppressed");
    const std::string text = lines.str();
    EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 20);
    EXPECT_NE(text.find("warn other: not suppressed"), text.npos);
}

TEST(Log, SuppressesEachKindOnItsOwn) {
    std::ostringstream lines;
    Log log(lines, Level::Debug);
    for (int i = 0; i < 100; ++i) log.error("flooded", "line");
    log.debug("quiet", "line");
    EXPECT_NE(lines.str().find("debug quiet: line"), std::string::npos);
}

TEST(Log, JsonLinesAreValidWithAnyBytes) {
    std::ostringstream lines;
    Log log(lines, Level::Info, LogFormat::Json);
    log.warn("peer", "quote \" backslash \\ newline \n not UTF-8 \xff");
    const std::string line = lines.str();
    ASSERT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
    const auto parsed = nlohmann::json::parse(line);
    EXPECT_TRUE(parsed.at("time").is_number());
    EXPECT_EQ(parsed.at("level"), "warn");
    EXPECT_EQ(parsed.at("kind"), "peer");
    EXPECT_EQ(parsed.at("text"), "quote \" backslash \\ newline \n not UTF-8 \xef\xbf\xbd");
}

}  // namespace
}  // namespace cottonwing::telemetry
