// Settings that differ between deployments: nothing is refused at start, and nothing is required of a
// request, that only one deployment has.
#include "helpers.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using testing::Json;
using testing::ServerFixture;
using testing::ThriftTestClient;
namespace frames = testing::frames;

Json lastTier() {
    Json all = testing::plainConfigFile();
    all.erase("records");
    Json& mine = all["settings"]["family_info"];
    mine["below"] = "off";
    mine["class_calls"] = {false, false};
    mine["dep_share"] = 0;
    return all;
}

// The last tier is given no dependency address; requiring one once refused the start of every such instance.
TEST(DeploymentVariants, AnInstanceWithoutDependencyNeedsNoAddressForIt) {
    EXPECT_FALSE(testing::processConfigFrom(lastTier()).dependency.has_value());
    Json all = testing::plainConfigFile();
    all.erase("records");
    EXPECT_THROW(testing::processConfigFrom(all), config::ConfigError);  // with a dependency, it does
    all = lastTier();
    all["records"] = "nowhere";
    EXPECT_THROW(testing::processConfigFrom(all), config::ConfigError);
}

TEST(DeploymentVariants, ACallWithoutDependencyIsUnreachable) {
    net::Loop loop;
    std::ostringstream lines;
    telemetry::Log log(lines, telemetry::Level::Debug);
    telemetry::Counters counters;
    const config::ProcessConfig start = testing::processConfigFrom(lastTier());
    request::RequestManager backend(loop, start.controller, 1 << 20, 1 << 20, log, counters);
    dependency::HttpDependencyClient records(loop, start.dependency, start.limits, backend, counters);
    records.startCall(1, ThriftTestClient::trace(1), 1s, "call");
    records.changeAddress(std::nullopt);
    EXPECT_EQ(counters.of(telemetry::Count::CallsUnreachable), 1U);
    EXPECT_EQ(records.callsInFlight(), 0U);
}

TEST(DeploymentVariants, CallsToATierAreServedAsThoseToASharedDependency) {
    Json all = testing::plainConfigFile();
    all["settings"]["family_info"]["below"] = "tier";
    all["settings"]["family_info"]["dep_share"] = 0;
    ServerFixture on(all);
    on.bound();
    ThriftTestClient sidecar(on.loop, on.port());
    sidecar.ask(1);
    on.wait([&] { return on.pool.running.contains(ThriftTestClient::trace(1)); });
    on.pool.block(ThriftTestClient::trace(1), "call");
    on.wait([&] { return on.pool.supplied.contains(ThriftTestClient::trace(1)); });
    EXPECT_EQ(on.pool.supplied.at(ThriftTestClient::trace(1)), "re:call");
}

// Where the settings do not say that clients send how long they wait, the field is absent.
TEST(DeploymentVariants, ATimeoutIsRequiredOnlyWhereClientsSendIt) {
    testing::FieldMap fields = ThriftTestClient::fields(1);
    fields.erase("patience");
    for (const bool clientsSendTimeout : {true, false}) {
        Json all = testing::plainConfigFile();
        all["settings"]["family_info"]["passes_deadline"] = clientsSendTimeout;
        ServerFixture on(all);
        on.bound();
        ThriftTestClient sidecar(on.loop, on.port());
        sidecar.say(frames::serve(1, fields, "body"));
        if (clientsSendTimeout) {
            on.wait([&] { return sidecar.answers.contains(1); });
            EXPECT_EQ(sidecar.answers[1].kind, "refusal");
            continue;
        }
        on.wait([&] { return on.pool.running.contains(ThriftTestClient::trace(1)); });
        on.pool.finish(ThriftTestClient::trace(1), "ok", "done");
        on.wait([&] { return sidecar.answers.contains(1); });
        EXPECT_EQ(sidecar.answers[1].body, "done");
        // A value that is there is read all the same.
        testing::FieldMap bad = ThriftTestClient::fields(2);
        bad["patience"] = "-4";
        sidecar.say(frames::serve(2, bad, "body"));
        on.wait([&] { return sidecar.answers.contains(2); });
        EXPECT_EQ(sidecar.answers[2].kind, "refusal");
    }
    Json all = testing::plainConfigFile();
    all["settings"]["family_info"]["passes_deadline"] = "yes";
    EXPECT_THROW(testing::processConfigFrom(all), config::ConfigError);
}

}  // namespace
}  // namespace cottonwing
