/// @file
/// The counters and the line in which they are printed.
#include "telemetry/counters.h"

#include <gtest/gtest.h>

#include <set>
#include <sstream>
#include <string>

namespace cottonwing::telemetry {
namespace {

TEST(Counters, ArePrintedByName) {
    Counters counters;
    counters.add(Count::Completed);
    counters.addEnd(net::ConnectionEnd::Reset);
    std::ostringstream line;
    counters.print(line);
    EXPECT_NE(line.str().find(" requests-completed=1 "), std::string::npos);
    EXPECT_NE(line.str().find(" end-reset=1 "), std::string::npos);
    EXPECT_NE(line.str().find(" registry-reports-failed=0 "), std::string::npos);
}

TEST(Counters, EachHasItsOwnNameAndAMeaning) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < kCounters; ++i) {
        const std::string name = nameOf(static_cast<Count>(i));
        EXPECT_EQ(name.find_first_not_of("abcdefghijklmnopqrstuvwxyz-"), std::string::npos) << name;
        EXPECT_NE(std::string(meaningOf(static_cast<Count>(i))), "") << name;
        names.insert(name);
    }
    EXPECT_EQ(names.size(), kCounters);
}

}  // namespace
}  // namespace cottonwing::telemetry
