// The SCGI front: kiosks and gateways bring requests, one on a connection. Each is read in bounded memory and
// time, named by its route, and answered once; then its connection is closed.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "net/connection.h"
#include "request/request_manager.h"
#include "routing/route_table.h"
#include "scgi/message.h"

namespace cottonwing::scgi {

// What a route says of a request. Names of headers are as CGI has them (HTTP_X_CUSTOMER); empty: not read.
struct RouteTarget {
    int requestClass = 0;
    std::string routingKeySource;  // a `:name` of the path, or a header
    std::string tenantHeader;
};

struct ScgiServerConfig {
    net::Address listen;
    RequestLimits requestLimits;
    Duration headTimeout{std::chrono::seconds(2)};      // from the connection to the whole head
    Duration bodyTimeout{std::chrono::seconds(10)};     // from there to the whole body
    Duration responseTimeout{std::chrono::seconds(5)};  // an answer that nobody takes for so long is dropped
    std::size_t maxConnections = 512;
    std::size_t maxBufferedBytes = 32 << 20;  // in rings and bodies that are not whole yet
    std::vector<RouteTarget> routeTargets;
    std::map<std::string, int, std::less<>> tenants;
};

struct ScgiServerCounters {
    std::uint64_t opened = 0, complete = 0, malformed = 0, timedOut = 0, noRoute = 0, noCapacity = 0,
                  disconnected = 0, completed = 0, rejected = 0, failed = 0, cutAtShutdown = 0;
};

class ScgiServer : public request::ResponseSink {
public:
    ScgiServer(net::Loop& loop, ScgiServerConfig config, routing::Routes routes,
               std::vector<RequestClass> requestClasses, std::uint64_t seed,
               request::RequestManager& requests, telemetry::Log& log);
    ~ScgiServer() override;

    void completed(RequestId id, std::string_view result) override;
    void rejected(RequestId id, const Pushback& pushback) override;
    void failed(RequestId id) override;
    void refused(RequestId id) override { failed(id); }
    void setIdleTimeout(Duration) override {}  // no connection is kept here

    // Nothing new is accepted; what is being read goes on, and the module decides what it is worth.
    void drain();
    // What is not whole by now is answered: it can't be any more.
    void rejectIncomplete();
    std::size_t connections() const { return clients_.size(); }
    const ScgiServerCounters& counters() const { return counters_; }
    bool isListening() const { return listener_ != nullptr; }
    int port() const { return port_; }

private:
    struct ClientConnection;
    void accept(net::AcceptedSocket socket);
    void requestComplete(ClientConnection& client);
    std::string submit(ClientConnection& client);
    void respondWithError(ClientConnection& client, int status, const char* code, const std::string& reason);
    void respond(RequestId id, const std::string& bytes);
    void close(ClientConnection& client);
    void checkTimeouts();

    net::Loop& loop_;
    const ScgiServerConfig config_;
    const routing::Routes routes_;
    const std::vector<RequestClass> requestClasses_;
    const std::shared_ptr<net::MemoryBudget> memoryBudget_;
    std::mt19937_64 randomGenerator_;
    request::RequestManager& requests_;
    telemetry::Log& log_;
    ScgiServerCounters counters_;
    std::list<std::unique_ptr<ClientConnection>> clients_;               // emptied by answers and ends
    std::vector<std::unique_ptr<ClientConnection>> closedClients_;       // emptied by the next look
    std::unordered_map<RequestId, ClientConnection*> clientsByRequest_;  // emptied by answers and ends
    std::size_t incompleteBodyBytes_ = 0;                                // bytes of bodies that are not whole
    int port_ = 0;
    net::Timer timeoutTimer_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::scgi
