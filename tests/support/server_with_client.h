/// @file
/// The server under test with its fake peers and one Thrift client.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "server_fixture.h"
#include "thrift_frames.h"
#include "thrift_test_client.h"

namespace cottonwing::testing {

/// Bytes that formats and protocols often treat in a special way.
inline const std::string kAnyBytes("\0\n\r\"\xff\x80{}", 9);

/// A healthy server with one Thrift client.
struct ServerWithClient : ServerFixture {
    explicit ServerWithClient(Json configFile = testing::plainConfigFile())
        : ServerFixture(std::move(configFile)) {
        waitUntilHealthy();
        client = std::make_unique<ThriftTestClient>(loop, port());
    }
    const frames::Message& awaitAnswer(std::int32_t sequence) {
        waitUntil([&] { return client->answers.contains(sequence); });
        return client->answers[sequence];
    }
    void awaitRun(int number) {
        waitUntil([&] { return pool.running.contains(ThriftTestClient::requestId(number)); });
    }
    void finish(int number, const std::string& state = "ok", const std::string& result = "") {
        pool.finish(ThriftTestClient::requestId(number), state, result);
    }
    // Sends a request whose run waits for its dependency call.
    std::int32_t sendRequestWithCall(int number, const std::string& body = "call") {
        const std::int32_t sequence = client->sendRequest(number);
        awaitRun(number);
        pool.block(ThriftTestClient::requestId(number), body);
        return sequence;
    }
    // Closes the connection from a timer, as its own handler must not destroy it.
    void closeAfterHandler(net::Connection& from) {
        closeTimer = std::make_unique<net::Timer>(loop, [&] { dependency.server.closeConnection(from); });
        closeTimer->start(0ns);
    }
    std::unique_ptr<ThriftTestClient> client;
    std::unique_ptr<net::Timer> closeTimer;
};

}  // namespace cottonwing::testing
