/// @file
/// Clients of the Thrift server that leave before what they have sent is processed.
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "raw_client.h"
#include "support/server_with_client.h"
#include "support/thrift_frames.h"

namespace cottonwing {
namespace {

using telemetry::Count;
using testing::RawClient;
using testing::ServerWithClient;
using testing::ThriftTestClient;
namespace frames = testing::frames;

std::string serveRequest(std::int32_t sequence, int number, const std::string& route = "read") {
    return frames::serve(sequence, ThriftTestClient::requestFields(number, route), "body");
}

// Guards against runs for a client that has left: its requests were passed on while its end was behind much
// that was still unread.
TEST(ClientLeft, UnreadRequestsAreNotPassedOn) {
    ServerWithClient fixture;
    RawClient client(fixture.port());
    client.send(frames::isWell(1, false));
    fixture.waitUntil([&] { return client.receive() > 0; });
    std::string bytes = serveRequest(2, 1);
    for (int i = 3; i < 500; ++i) bytes += frames::isWell(i, false);
    client.send(bytes);
    client.close();
    fixture.waitUntil([&] { return fixture.server->thriftServer().connections() == 1; });
    EXPECT_EQ(fixture.count(Count::RequestsRead), 0U);
    EXPECT_EQ(fixture.pool.startCount, 0);
}

// Guards against the same for a request that was read and waits to run, on a connection that is not read any
// more, so that the end of its client can't be read either.
TEST(ClientLeft, AWaitingRequestIsNotStartedOnceItsClientHasLeft) {
    ServerWithClient fixture;
    constexpr int kRunning = 60;
    std::vector<std::unique_ptr<ThriftTestClient>> clients;
    for (int number = 1; number <= kRunning; ++number) {
        if (number % 30 == 1)
            clients.push_back(std::make_unique<ThriftTestClient>(fixture.loop, fixture.port()));
        clients.back()->sendRequest(number);
    }
    fixture.waitUntil([&] { return fixture.count(Count::RequestsRead) == kRunning; });
    constexpr int kWaiting = kRunning + 1;
    RawClient leaving(fixture.port());
    std::string bytes = serveRequest(1, kWaiting);
    for (int i = 2; i < 10; ++i) bytes += serveRequest(i, 500 + i, "nothing");
    leaving.send(bytes);
    fixture.waitUntil([&] { return fixture.count(Count::MalformedRequests) == 8; });
    const std::string job = ThriftTestClient::requestId(kWaiting);
    ASSERT_FALSE(fixture.pool.running.contains(job)) << "must wait for this test";
    leaving.close();
    fixture.waitUntil([&] {
        for (const auto& [running, body] : std::map<std::string, std::string>(fixture.pool.running))
            fixture.pool.finish(running);
        return fixture.server->requestManager().trackedCount() == 0;
    });
    EXPECT_FALSE(fixture.pool.requestClasses.contains(job));
    fixture.expectCountersBalanced();
}

}  // namespace
}  // namespace cottonwing
