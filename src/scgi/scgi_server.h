/// @file
/// SCGI server. Clients send one request per connection. Each request is read in bounded memory and time,
/// assigned a request class by its route, and answered exactly once; then its connection is closed.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "net/connection.h"
#include "net/stall_meter.h"
#include "request/request_manager.h"
#include "routing/route_table.h"
#include "scgi/message.h"

namespace cottonwing::scgi {

/// Where a route sends its requests. Header names are in CGI form (HTTP_X_CUSTOMER); an empty name is not
/// read.
struct RouteTarget {
    int requestClass = 0;
    std::string routingKeySource;  // a `:name` parameter of the path, or a header
    std::string tenantHeader;
};

/// Configuration of the SCGI server, defaults included.
struct ScgiServerConfig {
    net::Address listen;
    RequestLimits requestLimits;
    Duration headTimeout{std::chrono::seconds(2)};      // from accept to the end of the head
    Duration bodyTimeout{std::chrono::seconds(10)};     // from there to the end of the body
    Duration responseTimeout{std::chrono::seconds(5)};  // until an unread response is dropped
    std::size_t maxConnections = 512;
    std::size_t maxBufferedBytes = 32 << 20;  // in input and output buffers and in incomplete bodies
    std::vector<RouteTarget> routeTargets;
    std::map<std::string, int, std::less<>> tenants;
};

/// Counted since the start; the gateway prints them under names of their own.
struct ScgiServerCounters {
    std::uint64_t opened = 0, complete = 0, malformed = 0, timedOut = 0, noRoute = 0, noCapacity = 0,
                  disconnected = 0, completed = 0, rejected = 0, failed = 0, cutAtShutdown = 0, gaveWay = 0,
                  repeatedIds = 0;
};

/// Accepts SCGI requests and passes them to the request manager. Not thread-safe.
class ScgiServer : public request::ResponseSink {
public:
    ScgiServer(net::Loop& loop, ScgiServerConfig config, routing::RouteTable routes,
               std::vector<RequestClass> requestClasses, std::uint64_t seed,
               request::RequestManager& requests, telemetry::Log& log);
    ~ScgiServer() override;

    void completed(RequestId id, std::string_view result) override;
    void rejected(RequestId id, const Pushback& pushback) override;
    void failed(RequestId id) override;
    void failedByClient(RequestId id) override { failed(id); }
    bool isClientConnected(RequestId id) override;
    void setIdleTimeout(Duration) override {}  // connections are never idle: each ends with its response

    /// Stops accepting connections. Requests that are still being read are read to their end, and the
    /// overload controller decides whether they are admitted.
    void drain();
    /// Rejects requests that are still incomplete, as they can no longer be completed before the process
    /// stops.
    void rejectIncomplete();
    /// Open connections.
    std::size_t connections() const { return clients_.size(); }
    const ScgiServerCounters& counters() const { return counters_; }
    bool isListening() const { return listener_ != nullptr; }
    int port() const { return port_; }

private:
    struct ClientConnection;
    void accept(net::PendingConnection socket);
    bool hasPlace() const;
    bool ensurePlace();
    void resumeAccepting();
    bool reserveBody(ClientConnection& client);
    void shed(ClientConnection& client, const char* reason);
    void requestComplete(ClientConnection& client);
    enum class SubmitError { NoRoute, IdUsedBefore };
    std::optional<SubmitError> submit(ClientConnection& client);
    void respondWithError(ClientConnection& client, int status, const char* code, const std::string& reason);
    void respond(RequestId id, const std::string& bytes);
    void close(ClientConnection& client);
    void checkTimeouts();
    void excuseStall(Timestamp now);

    net::Loop& loop_;
    const ScgiServerConfig config_;
    const routing::RouteTable routes_;
    const std::vector<RequestClass> requestClasses_;
    const std::shared_ptr<net::MemoryBudget> memoryBudget_;  // of the buffers of connections
    const std::shared_ptr<net::MemoryBudget> bodyBudget_;    // of heads and bodies of incomplete requests
    std::mt19937_64 randomGenerator_;
    request::RequestManager& requests_;
    telemetry::Log& log_;
    ScgiServerCounters counters_;
    // Open connections, and those that wait for a response by the id of their request.
    std::list<std::unique_ptr<ClientConnection>> clients_;
    std::vector<std::unique_ptr<ClientConnection>> closedClients_;  // destroyed by the next timeout check
    std::unordered_map<RequestId, ClientConnection*> clientsByRequest_;
    int port_ = 0;
    net::StallMeter stallMeter_;
    net::Timer timeoutTimer_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::scgi
