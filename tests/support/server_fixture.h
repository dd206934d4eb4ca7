/// @file
/// The server under test with its fake peers: worker pool, dependency and registry.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <sstream>
#include <string>

#include "event_loop_helpers.h"
#include "fake_http_server.h"
#include "fake_worker_pool.h"
#include "plain_config.h"
#include "server.h"

namespace cottonwing::testing {

/// A server and all its peers on one event loop.
class ServerFixture {
public:
    explicit ServerFixture(const Json& configFile = plainConfigFile())
        : pool(loop),
          dependency(loop, [](net::Connection&, const std::string&,
                              const std::string& body) { return FakeHttpServer::reply(200, "re:" + body); }),
          registry(loop, [](net::Connection&, const std::string&,
                            const std::string&) { return FakeHttpServer::reply(204); }),
          log(logOutput, telemetry::Level::Debug),
          processConfig([&]() -> config::ProcessConfig {
              config::ProcessConfig loaded = processConfigFrom(configFile);
              loaded.workerPool = pool.server.address();
              loaded.dependency = dependency.server.address();
              loaded.registry = registry.server.address();
              return loaded;
          }()) {
        loop.onUncaughtException([](const std::string& what) { ADD_FAILURE() << what; });
        server = std::make_unique<Server>(loop, processConfig, log, counters);
    }
    /// Waits until the worker pool is connected and the server is healthy.
    void waitUntilHealthy() {
        runUntil(loop, [&] { return server->requestManager().healthy(); });
    }
    template <typename Condition>
    void waitUntil(Condition&& condition) {
        runUntil(loop, condition);
    }
    /// Replaces the configuration file and has the server reload it.
    void reloadWith(const Json& file) {
        withConfigFile(file, [&](const auto& environment) { server->reload(environment); });
    }
    int port() const { return server->thriftServer().port(); }
    std::uint64_t count(telemetry::Count kind) const { return counters.of(kind); }
    std::uint64_t count(net::ConnectionEnd end) const { return counters.of(end); }
    /// Checks that every request has been counted with exactly one kind of end and every dependency call with
    /// one outcome, and that none is tracked any longer.
    void expectCountersBalanced() const {
        using telemetry::Count;
        EXPECT_EQ(count(Count::RequestsRead), count(Count::Completed) + count(Count::Rejected) +
                                                  count(Count::Failed) + count(Count::ClientCancellations));
        EXPECT_EQ(count(Count::CallsStarted),
                  count(Count::CallsOk) + count(Count::CallsError) + count(Count::CallsResourceExhausted) +
                      count(Count::CallsTimedOut) + count(Count::CallsUnreachable) +
                      count(Count::CallsConnectionLost) + count(Count::CallsSuperseded) +
                      count(Count::CallsAbandoned) + count(Count::CallsLocalLimit) +
                      count(Count::CallsMalformedResponse));
        EXPECT_EQ(server->requestManager().trackedCount(), 0U);
        EXPECT_EQ(server->dependencyClient().callsInFlight(), 0U);
    }

    net::Loop loop;
    FakeWorkerPool pool;
    FakeHttpServer dependency, registry;
    std::ostringstream logOutput;
    telemetry::Log log;
    telemetry::Counters counters;
    config::ProcessConfig processConfig;
    std::unique_ptr<Server> server;
};

}  // namespace cottonwing::testing
