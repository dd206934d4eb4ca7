/// @file
/// The HTTP client of the dependency: each call has a connection of its own.
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
/// RequestManager::dependencyCallCompleted, unless it is abandoned. A call that is refused by an address that
/// is no longer configured is sent to the current one; no other call is retried here. Not thread-safe.
///
/// A connection is used for one call. A response does not say to which call it belongs, and bytes of an
/// earlier response, such as a second copy of it, may arrive at any later time: on a connection that is
/// reused they would be taken for the response to the next call.
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
    /// Sends new calls to another address. Calls in flight may complete on their current connections.
    /// @param address ignored if absent, because calls in flight may have to be resent and need an address.
    void changeAddress(std::optional<net::Address> address);

    std::size_t callsInFlight() const { return callsInFlight_.size(); }

private:
    struct Call;
    struct CallConnection;
    using ConnectionList = std::list<std::unique_ptr<CallConnection>>;

    void send(const Call& call, const std::string& request);
    void completeCall(CallConnection& connection);
    void handleConnectionEnd(CallConnection& connection, net::ConnectionEnd end);
    static bool isSafeToResend(const CallConnection& connection, net::ConnectionEnd end);
    void resend(CallConnection& connection);
    void report(RequestId id, Outcome outcome, Duration elapsed, std::string_view reply);

    net::Loop& loop_;
    std::optional<net::Address> address_;
    const std::size_t maxConnections_;
    const std::shared_ptr<net::MemoryBudget> bufferBytes_;  // shared by the buffers of all connections
    request::RequestManager& requests_;
    telemetry::Counters& counters_;
    ConnectionList connections_;  // one for each call in flight
    std::unordered_map<RequestId, ConnectionList::iterator> callsInFlight_;
};

}  // namespace cottonwing::dependency
