/// @file
/// The memory that the buffers of all connections share, when bad clients use it up.
#include <memory>
#include <string>
#include <vector>

#include "support/server_with_client.h"
#include "support/thrift_frames.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using net::ConnectionEnd;
using telemetry::Count;
using testing::Json;
using testing::ServerWithClient;
using testing::ThriftTestClient;
namespace frames = testing::frames;

constexpr std::size_t kMaxResultBytes = 4096;
constexpr std::size_t kMaxBodyBytes = 2048;

Json configWithLittleMemory() {
    Json configFile = testing::plainConfigFile();
    configFile["limits"]["memory_mb"] = 16;
    configFile["limits"]["sockets"] = 1024;
    return configFile;
}

// A server whose shared memory is used up by clients with incomplete messages.
struct ServerWithoutMemory : ServerWithClient {
    ServerWithoutMemory() : ServerWithClient(configWithLittleMemory()) {}
    // An invalid message, which identifies the connection, and one that is shorter than its length says.
    void addBadClient() {
        badClients.push_back(std::make_unique<ThriftTestClient>(loop, port()));
        const std::string length("\0\0\x40\0", 4);  // 16,384 bytes
        badClients.back()->send(frames::serve(1, ThriftTestClient::requestFields(1, "nothing"), "") + length +
                                std::string(16383, 'x'));
    }
    void useUpMemory() {
        while (count(ConnectionEnd::OutOfMemory) == 0) {
            for (int i = 0; i < 20; ++i) addBadClient();
            for (int turn = 0; turn < 20; ++turn) loop.runWithoutWaiting();
        }
    }
    std::vector<std::unique_ptr<ThriftTestClient>> badClients;
};

// Guards against answers that had no room: the connection that needed memory next ended with its open
// requests, whoever held the memory.
TEST(BufferMemory, OpenRequestsAreAnsweredThoughOthersUsedItUp) {
    ServerWithoutMemory fixture;
    constexpr int kOpen = 6;
    for (int number = 1; number <= kOpen; ++number) {
        fixture.client->sendRequest(number, std::string(kMaxBodyBytes, 'b'));
        fixture.awaitRun(number);
    }
    fixture.useUpMemory();
    for (int number = 1; number <= kOpen; ++number)
        fixture.finish(number, "ok", std::string(kMaxResultBytes, 'r'));
    fixture.waitUntil([&] { return fixture.client->closed || fixture.client->answers.size() == kOpen; });
    EXPECT_EQ(fixture.client->answers.size(), static_cast<std::size_t>(kOpen));
    for (const auto& [sequence, answer] : fixture.client->answers)
        EXPECT_EQ(answer.body.size(), kMaxResultBytes);
    EXPECT_FALSE(fixture.client->closed);
    EXPECT_EQ(fixture.count(Count::ConnectionsEndedInUse), 0U);
}

// Guards against clients that are locked out: each new connection is guaranteed what a request needs.
TEST(BufferMemory, NewConnectionsAreServedThoughOthersUsedItUp) {
    ServerWithoutMemory fixture;
    fixture.useUpMemory();
    for (int number = 1; number <= 50; ++number) {
        fixture.addBadClient();
        ThriftTestClient client(fixture.loop, fixture.port());
        const std::int32_t sequence = client.sendRequest(number, std::string(kMaxBodyBytes, 'b'));
        const std::string job = ThriftTestClient::requestId(number);
        fixture.waitUntil([&] { return client.closed || fixture.pool.running.contains(job); });
        ASSERT_FALSE(client.closed) << number;
        fixture.finish(number, "ok", std::string(kMaxResultBytes, 'r'));
        fixture.waitUntil([&] { return client.closed || client.answers.contains(sequence); });
        ASSERT_EQ(client.answers[sequence].body.size(), kMaxResultBytes) << number;
    }
    EXPECT_EQ(fixture.count(Count::ConnectionsEndedInUse), 0U);
}

// A result beyond the size that the protocol allows costs its own request, and no other on the connection.
TEST(BufferMemory, AResultWithoutRoomFailsOnlyItsRequest) {
    ServerWithClient fixture;
    const std::int32_t large = fixture.client->sendRequest(1);
    const std::int32_t other = fixture.client->sendRequest(2);
    fixture.awaitRun(2);
    fixture.finish(1, "ok", std::string(500000, 'r'));
    EXPECT_EQ(fixture.awaitAnswer(large).kind, "failed");
    fixture.finish(2, "ok", "small");
    EXPECT_EQ(fixture.awaitAnswer(other).body, "small");
    EXPECT_EQ(fixture.count(Count::AnswersTooLarge), 1U);
}

}  // namespace
}  // namespace cottonwing
