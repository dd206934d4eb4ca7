/// @file
/// The registry client in the complete server with fake peers on loopback.
#include "registry/registry_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "support/server_with_client.h"

namespace cottonwing::registry {
namespace {

using namespace std::chrono_literals;
using telemetry::Count;
using testing::FakeHttpServer;
using testing::runUntil;
using testing::ServerWithClient;

TEST(RegistryClient, ReportsPeriodicallyAndSoonAfterAFailure) {
    ServerWithClient fixture;
    fixture.waitUntil([&] { return fixture.registry.requestHeads.size() >= 2; });
    EXPECT_EQ(fixture.registry.requestHeads[0].substr(0, fixture.registry.requestHeads[0].find("\r\n")),
              "PUT /v1/instances/n3 HTTP/1.1");
    EXPECT_EQ(fixture.registry.requestBodies[0], R"({"state":"ready"})");
    EXPECT_EQ(fixture.registry.server.acceptedCount, 1);
    // The registry does not answer for a while: the next report comes well before the registration expires.
    fixture.registry.handler = [](net::Connection&, const std::string&, const std::string&) {
        return std::string();
    };
    const Duration from = net::unixNow();
    fixture.waitUntil([&] { return fixture.count(Count::RegistryReportsFailed) > 0; });
    fixture.registry.handler = [](net::Connection&, const std::string&, const std::string&) {
        return FakeHttpServer::reply(204);
    };
    const std::size_t before = fixture.registry.requestHeads.size();
    fixture.waitUntil([&] { return fixture.registry.requestHeads.size() > before; });
    EXPECT_LT(net::unixNow() - from, 3s);
    EXPECT_GE(fixture.registry.server.acceptedCount, 2);
}

TEST(RegistryClient, ANewReportReplacesOneWithoutAnswer) {
    net::Loop loop;
    FakeHttpServer registry(
        loop, [](net::Connection&, const std::string&, const std::string&) { return std::string(); });
    std::ostringstream lines;
    telemetry::Log log(lines, telemetry::Level::Debug);
    telemetry::Counters counters;
    registry::RegistryClient reports(loop, registry.server.address(), "n3", log, counters);
    const Duration from = net::unixNow();
    for (const bool ready : {false, true}) {
        const std::size_t before = registry.requestBodies.size();
        runUntil(loop, [&] { return registry.requestBodies.size() == std::max<std::size_t>(before, 1); });
        reports.reportReady(ready);
        runUntil(loop, [&] { return registry.requestBodies.size() == std::max<std::size_t>(before, 1) + 1; });
        EXPECT_EQ(registry.requestBodies.back(), ready ? R"({"state":"ready"})" : R"({"state":"draining"})");
    }
    EXPECT_LT(net::unixNow() - from, 400ms);  // earlier than the timeout of a report
    EXPECT_EQ(counters.of(Count::RegistryReportsFailed), 2U);
    EXPECT_EQ(lines.str().find("registry unavailable"),
              std::string::npos);  // an unanswered report may have been accepted
}

}  // namespace
}  // namespace cottonwing::registry
