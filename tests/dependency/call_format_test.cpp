/// @file
/// Formatting of dependency calls, and the outcomes that replies stand for.
#include "dependency/call_format.h"

#include <gtest/gtest.h>

namespace cottonwing::dependency {
namespace {

using namespace std::chrono_literals;

net::HttpResponseParser::Response replyOf(int status, const std::string& headers = "") {
    net::HttpResponseParser::Response reply;
    reply.status = status;
    reply.headers = headers;
    return reply;
}

TEST(CallFormat, ACallIsFormattedByteForByte) {
    EXPECT_EQ(formatCall("00000000000000ff", 250ms, "body"),
              "POST /records/op HTTP/1.1\r\nOp-Of: 00000000000000ff\r\nOp-Wait-Ms: 250\r\n"
              "Content-Length: 4\r\n\r\nbody");
}

TEST(CallFormat, TheTimeoutIsTruncatedToMillisecondsButNeverZero) {
    EXPECT_NE(formatCall("x", 1999us, "").find("Op-Wait-Ms: 1\r\n"), std::string::npos);
    EXPECT_NE(formatCall("x", 20us, "").find("Op-Wait-Ms: 1\r\n"), std::string::npos);
}

TEST(CallFormat, EachStatusHasOneOutcome) {
    EXPECT_EQ(outcomeOf(replyOf(200)), Outcome::Ok);
    EXPECT_EQ(outcomeOf(replyOf(504)), Outcome::TimedOut);
    EXPECT_EQ(outcomeOf(replyOf(500)), Outcome::Error);
    EXPECT_EQ(outcomeOf(replyOf(204)), Outcome::Error);
}

TEST(CallFormat, ANotBegunStatusCountsOnlyWithTheNotBegunHeader) {
    const std::string notBegun = "\nop-not-begun:1\n";
    EXPECT_EQ(outcomeOf(replyOf(503, notBegun)), Outcome::ResourceExhausted);
    EXPECT_EQ(outcomeOf(replyOf(503)), Outcome::Error);
    EXPECT_EQ(outcomeOf(replyOf(409, notBegun)), Outcome::Superseded);
    EXPECT_EQ(outcomeOf(replyOf(409)), Outcome::Error);
    EXPECT_EQ(outcomeOf(replyOf(200, notBegun)), Outcome::Ok);
}

}  // namespace
}  // namespace cottonwing::dependency
