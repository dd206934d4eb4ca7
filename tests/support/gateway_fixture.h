/// @file
/// The gateway under test between SCGI clients and emulated SCGI servers.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "loadtest/emulators/scgi_server.h"
#include "net/connection.h"
#include "scgi/message.h"
#include "serve/gateway.h"
#include "support/event_loop_helpers.h"

namespace cottonwing::testing {

/// Sends one request over its connection and keeps the response.
struct ScgiClient : net::ConnectionHandler {
    ScgiClient(net::Loop& loop, int port)
        : connection(std::make_unique<net::Connection>(loop, net::Address{"127.0.0.1", port}, *this,
                                                       net::BufferLimits{1 << 20, 1 << 20})) {}
    void sendRequest(const std::string& path, const std::string& method = "GET", scgi::Headers more = {},
                     const std::string& body = "") {
        more.insert(more.begin(), {{"REQUEST_METHOD", method}, {"REQUEST_URI", path}});
        connection->send(scgi::writeRequest(more, body));
    }
    void arrived(net::Connection& from) override {
        std::string scratch;
        const std::size_t size = from.input().size();
        text += from.input().peek(size, scratch);
        from.input().drop(size);
    }
    void ended(net::Connection&, net::ConnectionEnd) override { closed = true, connection.reset(); }
    int status() const { return text.starts_with("Status: ") ? std::atoi(text.c_str() + 8) : 0; }
    std::unique_ptr<net::Connection> connection;
    std::string text;
    bool closed = false;
};

inline constexpr const char* kRoutes = R"(
        route "/board/:hall" GET profile="board-item" subject="hall"
        route "/list/*" profile="cause-list" customer="HTTP_X_CUSTOMER"
        route "/filing/*" POST profile="filing"
    }
    profile "board-item" { worth 5; promised 400ms; hard-stop 2s; repeat repeatable }
    profile "cause-list" { worth 2; promised 1s; hard-stop 2s; repeat repeatable }
    profile "filing" { worth 8; promised 1s; hard-stop 2s; repeat once-only }
    customer "acme"
)";

/// A gateway with emulated SCGI servers behind it, on one event loop.
class GatewayFixture {
public:
    explicit GatewayFixture(const std::vector<loadtest::EmulatedScgiServerConfig>& serverConfigs,
                            const std::string& scgiProperties = "", const std::string& groupNodes = "",
                            std::string serveNodes = "")
        : log(logLines, telemetry::Level::Debug), moreNodes(std::move(serveNodes)) {
        loop.onUncaughtException([](const std::string& what) { ADD_FAILURE() << what; });
        for (const auto& config : serverConfigs)
            servers.push_back(
                std::make_unique<loadtest::EmulatedScgiServer>(loop, net::Address{"127.0.0.1", 0}, config));
        path = ::testing::TempDir() + "cottonwing-serve-" + std::to_string(getpid()) + ".kdl";
        writeFile(scgiProperties, groupNodes);
        gateway = std::make_unique<serve::Gateway>(loop, serve::readGatewayConfig(path), log, counters);
    }
    ~GatewayFixture() { std::remove(path.c_str()); }
    void writeFile(const std::string& scgiProperties, const std::string& groupNodes) {
        std::string text = "serve \"hall\" {\n " + moreNodes +
                           "\n leave stop=1500ms grace=300ms; seed "
                           "7; thrift listen=\"127.0.0.1:0\"\n scgi "
                           "listen=\"127.0.0.1:0\" " +
                           scgiProperties + " {" + kRoutes + " group \"halls\" {" + groupNodes + "\n";
        for (const auto& server : servers)
            text += " server \"127.0.0.1:" + std::to_string(server->address().port) + "\"\n";
        std::ofstream(path) << text + " }\n}\n";
    }
    int port() const { return gateway->scgiServer()->port(); }
    std::unique_ptr<ScgiClient> newClient() { return std::make_unique<ScgiClient>(loop, port()); }
    // Sends a request and waits for the complete response.
    std::string exchange(const std::string& what, const std::string& method = "GET",
                         const std::string& body = "") {
        const auto one = newClient();
        one->sendRequest(what, method, {}, body);
        runUntil(loop, [&] { return one->closed; });
        return one->text;
    }
    void expectEveryRequestEnded() const {
        using telemetry::Count;
        EXPECT_EQ(counters.of(Count::RequestsRead),
                  counters.of(Count::Completed) + counters.of(Count::Rejected) + counters.of(Count::Failed) +
                      counters.of(Count::ClientCancellations));
    }

    net::Loop loop;
    std::ostringstream logLines;
    telemetry::Log log;
    std::string moreNodes;  // of the file, in its `serve` node
    telemetry::Counters counters;
    std::vector<std::unique_ptr<loadtest::EmulatedScgiServer>> servers;
    std::string path;
    std::unique_ptr<serve::Gateway> gateway;
};

}  // namespace cottonwing::testing
