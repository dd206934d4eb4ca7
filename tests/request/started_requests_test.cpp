// The ids of requests that may run only once.
#include "request/started_requests.h"

#include <gtest/gtest.h>

namespace cottonwing::request {
namespace {

using namespace std::chrono_literals;

TEST(StartedRequests, AreRememberedUntilTheirTime) {
    StartedRequests started(1 << 10);
    started.add(0, 10s);
    started.add(7, 20s);
    EXPECT_TRUE(started.contains(0, 9999ms));
    EXPECT_FALSE(started.contains(1, 9999ms));
    EXPECT_FALSE(started.contains(0, 10s));
    EXPECT_TRUE(started.contains(7, 10s));
    started.remove(7);
    EXPECT_FALSE(started.contains(7, 10s));
    EXPECT_EQ(started.size(), 0U);
}

TEST(StartedRequests, ALaterStartOfAnIdExtendsItsTime) {
    StartedRequests started(1 << 10);
    started.add(5, 10s);
    started.remove(5);
    started.add(5, 20s);
    EXPECT_TRUE(started.contains(5, 15s));
    EXPECT_FALSE(started.contains(5, 20s));
}

TEST(StartedRequests, HaveRoomAgainOnceOthersExpired) {
    StartedRequests started(4 * 64);
    for (RequestId id = 1; id <= 4; ++id) {
        EXPECT_TRUE(started.hasRoom(1s));
        started.add(id, 10s);
    }
    EXPECT_FALSE(started.hasRoom(9s));
    EXPECT_TRUE(started.hasRoom(10s));
}

}  // namespace
}  // namespace cottonwing::request
