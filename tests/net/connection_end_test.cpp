/// @file
/// The outcome of a call in flight for each end of its connection.
#include "net/connection_end.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace cottonwing::net {
namespace {

TEST(ConnectionEnd, EachHasAnOutcomeAndADistinctName) {
    const std::map<ConnectionEnd, Outcome> expected = {
        {ConnectionEnd::PeerClosed, Outcome::ConnectionLost},
        {ConnectionEnd::Reset, Outcome::ConnectionLost},
        {ConnectionEnd::ConnectRefused, Outcome::Unreachable},
        {ConnectionEnd::ConnectTimedOut, Outcome::Unreachable},
        {ConnectionEnd::TimedOut, Outcome::TimedOut},
        {ConnectionEnd::Abandoned, Outcome::Cancelled},
        {ConnectionEnd::Malformed, Outcome::MalformedResponse},
        {ConnectionEnd::TooLong, Outcome::MalformedResponse},
        {ConnectionEnd::Unused, Outcome::ConnectionLost},
        {ConnectionEnd::OutOfMemory, Outcome::MalformedResponse}};
    ASSERT_EQ(expected.size(), static_cast<std::size_t>(kConnectionEnds));
    std::set<std::string> names;
    for (const auto& [end, outcome] : expected) {
        EXPECT_EQ(outcomeOf(end), outcome) << nameOf(end);
        names.insert(nameOf(end));
    }
    EXPECT_EQ(names.size(), expected.size());
}

}  // namespace
}  // namespace cottonwing::net
