/// @file
/// Settings that differ between deployments: the server starts without settings that only some deployments
/// have, and does not require of requests what only some deployments send.
#include "helpers.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using testing::Json;
using testing::ServerFixture;
using testing::ThriftTestClient;
namespace frames = testing::frames;

Json lastTierConfig() {
    Json file = testing::plainConfigFile();
    file.erase("records");
    Json& instance = file["settings"]["family_info"];
    instance["below"] = "off";
    instance["class_calls"] = {false, false};
    instance["dep_share"] = 0;
    return file;
}

// Regression: instances of the last tier have no dependency address; requiring one kept every such instance
// from starting.
TEST(DeploymentVariants, AnInstanceWithoutDependencyNeedsNoAddressForIt) {
    EXPECT_FALSE(testing::processConfigFrom(lastTierConfig()).dependency.has_value());
    Json file = testing::plainConfigFile();
    file.erase("records");
    EXPECT_THROW(testing::processConfigFrom(file), config::ConfigError);  // required with a dependency
    file = lastTierConfig();
    file["records"] = "nowhere";
    EXPECT_THROW(testing::processConfigFrom(file), config::ConfigError);
}

TEST(DeploymentVariants, ACallWithoutDependencyIsUnreachable) {
    net::Loop loop;
    std::ostringstream logOutput;
    telemetry::Log log(logOutput, telemetry::Level::Debug);
    telemetry::Counters counters;
    const config::ProcessConfig processConfig = testing::processConfigFrom(lastTierConfig());
    request::RequestManager requestManager(loop, processConfig.controller, 1 << 20, 1 << 20, log, counters);
    dependency::HttpDependencyClient dependencyClient(loop, processConfig.dependency, processConfig.limits,
                                                      requestManager, counters);
    dependencyClient.startCall(1, ThriftTestClient::requestId(1), 1s, "call");
    dependencyClient.changeAddress(std::nullopt);
    EXPECT_EQ(counters.of(telemetry::Count::CallsUnreachable), 1U);
    EXPECT_EQ(dependencyClient.callsInFlight(), 0U);
}

TEST(DeploymentVariants, CallsToATierAreServedAsThoseToASharedDependency) {
    Json file = testing::plainConfigFile();
    file["settings"]["family_info"]["below"] = "tier";
    file["settings"]["family_info"]["dep_share"] = 0;
    ServerFixture fixture(file);
    fixture.waitUntilHealthy();
    ThriftTestClient client(fixture.loop, fixture.port());
    client.sendRequest(1);
    fixture.waitUntil([&] { return fixture.pool.running.contains(ThriftTestClient::requestId(1)); });
    fixture.pool.block(ThriftTestClient::requestId(1), "call");
    fixture.waitUntil(
        [&] { return fixture.pool.dependencyResponses.contains(ThriftTestClient::requestId(1)); });
    EXPECT_EQ(fixture.pool.dependencyResponses.at(ThriftTestClient::requestId(1)), "re:call");
}

// Unless the settings say that clients send their timeout, the field is absent.
TEST(DeploymentVariants, ATimeoutIsRequiredOnlyWhereClientsSendIt) {
    testing::FieldMap fields = ThriftTestClient::requestFields(1);
    fields.erase("patience");
    for (const bool clientsSendTimeout : {true, false}) {
        Json file = testing::plainConfigFile();
        file["settings"]["family_info"]["passes_deadline"] = clientsSendTimeout;
        ServerFixture fixture(file);
        fixture.waitUntilHealthy();
        ThriftTestClient client(fixture.loop, fixture.port());
        client.send(frames::serve(1, fields, "body"));
        if (clientsSendTimeout) {
            fixture.waitUntil([&] { return client.answers.contains(1); });
            EXPECT_EQ(client.answers[1].kind, "refusal");
            continue;
        }
        fixture.waitUntil([&] { return fixture.pool.running.contains(ThriftTestClient::requestId(1)); });
        fixture.pool.finish(ThriftTestClient::requestId(1), "ok", "done");
        fixture.waitUntil([&] { return client.answers.contains(1); });
        EXPECT_EQ(client.answers[1].body, "done");
        // A value that is present is still validated.
        testing::FieldMap bad = ThriftTestClient::requestFields(2);
        bad["patience"] = "-4";
        client.send(frames::serve(2, bad, "body"));
        fixture.waitUntil([&] { return client.answers.contains(2); });
        EXPECT_EQ(client.answers[2].kind, "refusal");
    }
    Json file = testing::plainConfigFile();
    file["settings"]["family_info"]["passes_deadline"] = "yes";
    EXPECT_THROW(testing::processConfigFrom(file), config::ConfigError);
}

}  // namespace
}  // namespace cottonwing
