/// @file
/// A client that sends health checks faster than the worker pool can answer them.
#include <string>

#include "support/server_with_client.h"
#include "support/thrift_frames.h"
#include "thrift/thrift_connection.h"

namespace cottonwing {
namespace {

using testing::ServerWithClient;
namespace frames = testing::frames;

// Guards against memory that grows without end: deep health checks that waited for the worker pool were
// bounded by nothing, and one connection had hundreds of thousands.
TEST(HealthCheckFlood, OnlySomeChecksOfAConnectionWaitForTheWorkerPool) {
    ServerWithClient fixture;
    fixture.pool.verificationState = "";  // never answers
    constexpr int kChecks = 1000;
    std::string bytes;
    for (int sequence = 1; sequence <= kChecks; ++sequence) bytes += frames::isWell(sequence, true);
    fixture.client->send(bytes);
    fixture.waitUntil([&] { return !fixture.client->messages.empty(); });
    EXPECT_EQ(fixture.client->messages.front().sequence, thrift::kMaxPendingHealthChecks + 1);
    fixture.waitUntil([&] { return fixture.client->answers.size() == kChecks; });
    for (const auto& [sequence, answer] : fixture.client->answers) EXPECT_TRUE(answer.good) << sequence;
    // Those that waited have ended, so that others may wait.
    fixture.pool.verificationState = "failed";
    fixture.client->send(frames::isWell(kChecks + 1, true));
    EXPECT_FALSE(fixture.awaitAnswer(kChecks + 1).good);
}

}  // namespace
}  // namespace cottonwing
