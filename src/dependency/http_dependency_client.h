/// @file
/// The HTTP client of the dependency: one call at a time on a connection, connections kept for reuse.
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

/// Carries out dependency calls. Each call that is started ends in exactly one report to
/// RequestManager::dependencyCallCompleted, unless it is abandoned. A call that fails before any of it was
/// sent on a reused connection is sent once more on a new one; no other call is repeated here. Not
/// thread-safe.
class HttpDependencyClient : public request::DependencyClient {
public:
    /// @param address of the dependency; without one each call ends as unreachable.
    /// @param limits bound the number of connections and the memory of their buffers.
    /// @param requests receives the reports; must outlive the client, as must loop and counters.
    HttpDependencyClient(net::Loop& loop, std::optional<net::Address> address,
                         const config::ResourceLimits& limits, request::RequestManager& requests,
                         telemetry::Counters& counters);
    ~HttpDependencyClient() override;

    void startCall(RequestId id, const std::string& externalId, Duration timeout,
                   std::string_view body) override;
    void abandonCall(RequestId id) override;
    /// Sends new calls to another address. Calls in flight may still complete where they are; idle
    /// connections are closed.
    /// @param address ignored when absent: calls in flight that may have to be sent again still need one.
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
    std::unordered_map<RequestId, ConnectionList::iterator> callsInFlight_;  // emptied by their ends
    ConnectionList busy_;
    // In the order in which they became idle, those to be closed in front; emptied by reuse, by time and by
    // the other side.
    ConnectionList idle_;
};

}  // namespace cottonwing::dependency
