/// @file
/// The HTTP client of the dependency: one call at a time per connection, with a pool of reusable connections.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/process_config.h"
#include "net/connection.h"
#include "net/http_response_parser.h"
#include "request/request_manager.h"

namespace cottonwing::dependency {

/// Makes dependency calls. Each started call results in exactly one report to
/// RequestManager::dependencyCallCompleted, unless it is abandoned. A call that fails on a reused connection
/// before any of it was sent is resent on a new one, as is one refused by an address that is no longer
/// configured; no other call is retried here. Not thread-safe.
class HttpDependencyClient : public request::DependencyClient {
public:
    /// @param address of the dependency; without one each call ends as unreachable.
    /// @param limits dependencyConnections and dependencyBytes, the memory of all buffers, apply.
    /// @param requests receives the reports; must outlive the client, as must loop and counters.
    HttpDependencyClient(net::Loop& loop, std::optional<net::Address> address,
                         const config::ResourceLimits& limits, request::RequestManager& requests,
                         telemetry::Counters& counters);
    ~HttpDependencyClient() override;

    void startCall(RequestId id, const std::string& externalId, Duration timeout,
                   std::string_view body) override;
    void abandonCall(RequestId id) override;
    /// Sends new calls to another address. Calls in flight may complete on their current connections; idle
    /// connections are closed.
    /// @param address ignored if absent, because calls in flight may have to be resent and need an address.
    void changeAddress(std::optional<net::Address> address);

    std::size_t callsInFlight() const { return callsInFlight_.size(); }
    std::size_t idleConnections() const { return idle_.size(); }

private:
    struct Call;
    struct PooledConnection;
    using ConnectionList = std::list<std::unique_ptr<PooledConnection>>;

    ConnectionList::iterator findReusable();
    bool isAtConnectionLimit() const;
    ConnectionList::iterator openConnection();
    void send(ConnectionList::iterator position, const Call& call, const std::string& request);
    void handleReply(PooledConnection& connection, net::HttpResponseParser::Response&& reply);
    void handleConnectionEnd(PooledConnection& connection, net::ConnectionEnd end);
    static bool isSafeToResend(const PooledConnection& connection, net::ConnectionEnd end);
    void resend(PooledConnection& connection);
    void report(RequestId id, Outcome outcome, Duration elapsed, std::string_view reply);
    void closeIdleConnections();

    net::Loop& loop_;
    std::optional<net::Address> address_;
    const std::size_t maxConnections_;
    const std::shared_ptr<net::MemoryBudget> bufferBytes_;  // shared by the buffers of all connections
    request::RequestManager& requests_;
    telemetry::Counters& counters_;
    net::Timer closeIdleTimer_;
    std::unordered_map<RequestId, ConnectionList::iterator> callsInFlight_;  // erased at call end
    ConnectionList busy_;
    // In the order in which they became idle, preceded by the discarded ones. Removed on reuse, on timeout,
    // or when the peer closes them.
    ConnectionList idle_;
};

}  // namespace cottonwing::dependency
