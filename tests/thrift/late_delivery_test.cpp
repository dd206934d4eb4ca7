/// @file
/// Requests and messages that the network or the machine held back. What it took is no error of the client.
#include <string>
#include <thread>

#include "support/server_with_client.h"
#include "support/thrift_frames.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using telemetry::Count;
using testing::ServerWithClient;
using testing::ThriftTestClient;
namespace frames = testing::frames;

constexpr int kOverdueRequests = 20;  // more than the protocol errors after which a connection is not read

// The fields of a request that came to its client's machine 5 s ago, whose client waits for 480 ms.
testing::FieldMap overdueFields(int number) {
    testing::FieldMap fields = ThriftTestClient::requestFields(number, "read", 480);
    fields["born"] = std::to_string((net::unixNow() - 5s) / 1ms);
    return fields;
}

// Guards against timely requests that were dropped unread, as those before them on the connection were
// overdue after a partition and counted as protocol errors of the client.
TEST(LateDelivery, OverdueRequestsDoNotCostTheTimelyOnesBehindThem) {
    ServerWithClient fixture;
    std::string bytes;
    for (int number = 1; number <= kOverdueRequests; ++number)
        bytes += frames::serve(number, overdueFields(number), "body");
    fixture.client->sequence = kOverdueRequests;
    fixture.client->send(bytes);
    const int timely = kOverdueRequests + 1;
    const std::int32_t sequence = fixture.client->sendRequest(timely);
    fixture.awaitRun(timely);
    fixture.finish(timely, "ok", "done");
    EXPECT_EQ(fixture.awaitAnswer(sequence).body, "done");
    for (int number = 1; number <= kOverdueRequests; ++number)
        EXPECT_EQ(fixture.awaitAnswer(number).kind, "refusal") << number;
    EXPECT_EQ(fixture.count(Count::OverdueRequests), static_cast<std::uint64_t>(kOverdueRequests));
    EXPECT_EQ(fixture.pool.startCount, 1);
    EXPECT_FALSE(fixture.client->closed);
    fixture.expectCountersBalanced();
}

// Guards against requests lost with a connection that was closed 1.5 s after a partition had cut a message in
// two, or 2 s after it had stopped the reading of answers.
TEST(LateDelivery, AMessageOfASoundClientMayBeHeldBack) {
    ServerWithClient fixture;
    fixture.client->sendRequest(1);
    fixture.awaitRun(1);
    fixture.finish(1);
    fixture.awaitAnswer(1);
    const std::string bytes = frames::serve(2, ThriftTestClient::requestFields(2), "body");
    fixture.client->send(bytes.substr(0, 20));
    const Timestamp from = net::unixNow();
    fixture.waitUntil([&] { return net::unixNow() - from > 2s; });
    ASSERT_FALSE(fixture.client->closed);
    fixture.client->send(bytes.substr(20));
    fixture.awaitRun(2);
    fixture.finish(2, "ok", "late");
    EXPECT_EQ(fixture.awaitAnswer(2).body, "late");
}

// Guards against connections that were closed as silent or too slow, as the server itself had stood still.
TEST(LateDelivery, AStallOfTheServerIsNoSilenceOfItsClients) {
    ServerWithClient fixture;
    ThriftTestClient client(fixture.loop, fixture.port());
    const std::string bytes = frames::serve(1, ThriftTestClient::requestFields(1), "body");
    client.send(bytes.substr(0, 20));
    fixture.waitUntil([&] { return fixture.server->thriftServer().connections() == 2; });
    std::this_thread::sleep_for(1700ms);  // the machine, with the client on it
    const std::uint64_t batches = fixture.count(Count::EventBatches);
    fixture.waitUntil([&] { return fixture.count(Count::EventBatches) > batches + 4; });
    ASSERT_FALSE(client.closed);
    client.send(bytes.substr(20));
    fixture.awaitRun(1);
    fixture.finish(1, "ok", "done");
    fixture.waitUntil([&] { return client.answers.contains(1); });
    EXPECT_EQ(client.answers[1].body, "done");
}

// Overdue requests are no excuse for malformed ones, which still end their connection.
TEST(LateDelivery, OverdueRequestsDoNotHideProtocolErrors) {
    ServerWithClient fixture;
    for (int number = 1; number <= 8; ++number) {
        fixture.client->send(frames::serve(2 * number, overdueFields(number), "body"));
        fixture.client->send(
            frames::serve(2 * number + 1, ThriftTestClient::requestFields(number, "nothing"), ""));
    }
    fixture.waitUntil([&] { return fixture.client->closed; });
    EXPECT_EQ(fixture.count(net::ConnectionEnd::Malformed), 1U);
}

}  // namespace
}  // namespace cottonwing
