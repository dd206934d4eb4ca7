/// @file
/// Parsing of request ids.
#include "request/request_id.h"

#include <gtest/gtest.h>

namespace cottonwing::request {
namespace {

TEST(RequestIdText, SixteenHexadecimalDigitsAreAnId) {
    EXPECT_EQ(parseRequestId("9b1f03aa5c7e2d41"), 0x9b1f03aa5c7e2d41U);
    EXPECT_EQ(parseRequestId("00000000000000ff"), 255U);
}

TEST(RequestIdText, AnythingElseIsRejected) {
    EXPECT_FALSE(parseRequestId(""));
    EXPECT_FALSE(parseRequestId("9b1f03aa5c7e2d4"));
    EXPECT_FALSE(parseRequestId("9b1f03aa5c7e2d4x"));
    EXPECT_FALSE(parseRequestId("9b1f03aa5c7e2d411"));
    EXPECT_FALSE(parseRequestId("0x1f03aa5c7e2d41"));
}

}  // namespace
}  // namespace cottonwing::request
