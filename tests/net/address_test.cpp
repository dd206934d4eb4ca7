/// @file
/// Parsing of addresses.
#include "net/address.h"

#include <gtest/gtest.h>

namespace cottonwing::net {
namespace {

TEST(Address, ParsesHostAndPort) {
    EXPECT_EQ(Address::parse("127.0.0.1:8080"), (Address{"127.0.0.1", 8080}));
    EXPECT_EQ(Address::parse("10.1.2.3:0"), (Address{"10.1.2.3", 0}));
    EXPECT_EQ(Address::parse("10.1.2.3:65535"), (Address{"10.1.2.3", 65535}));
}

TEST(Address, RejectsInvalidHostsAndPorts) {
    for (const char* const text :
         {"", ":", "8080", ":8080", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:80x",
          "127.0.0.1: 80", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0:80", "localhost:80", "[::1]:80"})
        EXPECT_EQ(Address::parse(text), std::nullopt) << text;
}

TEST(Address, RejectsPortsBelowTheLowestPort) {
    EXPECT_EQ(Address::parse("127.0.0.1:0", 1), std::nullopt);
    EXPECT_EQ(Address::parse("127.0.0.1:1", 1), (Address{"127.0.0.1", 1}));
}

}  // namespace
}  // namespace cottonwing::net
