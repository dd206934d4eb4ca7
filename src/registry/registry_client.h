/// @file
/// Reports this server's state to the registry, from which clients learn which servers they may use.
///
/// Sends about one report per second on a dedicated timer and connection, so that no other work delays it:
/// the registry removes a server that has not reported for 3 s.
#pragma once

#include <memory>
#include <string>

#include "net/connection.h"
#include "net/http_response_parser.h"
#include "telemetry/counters.h"
#include "telemetry/log.h"

namespace cottonwing::registry {

/// Sends reports for as long as it exists; failed reports are retried. Not thread-safe.
class RegistryClient : private net::ConnectionHandler {
public:
    /// Sends the first report, which says that the server is ready.
    /// @param name under which the server is registered.
    /// @param log must outlive the client, as must loop and counters.
    RegistryClient(net::Loop& loop, net::Address address, std::string name, telemetry::Log& log,
                   telemetry::Counters& counters);

    /// @param ready whether clients may use this server; false: it is draining. A change is reported at once.
    void reportReady(bool ready);
    /// Sends reports to another address, starting immediately.
    void changeAddress(net::Address address);

private:
    void arrived(net::Connection& connection) override;
    void ended(net::Connection& connection, net::ConnectionEnd end) override;

    void sendReport();
    void connect();
    void handleReply(const net::HttpResponseParser::Response& reply);
    void abandonReport();
    void handleConnectionEnd(net::ConnectionEnd end);

    net::Loop& loop_;
    net::Address address_;
    const std::string name_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    net::Timer reportTimer_;   // until the next report
    net::Timer timeoutTimer_;  // of the report in flight
    std::unique_ptr<net::Connection> connection_;
    std::unique_ptr<net::HttpResponseParser> replyParser_;  // of connection_
    Timestamp lastReplyAt_;                                 // or the start, before the first reply
    bool ready_ = true;
    bool reportInFlight_ = false;
    bool unavailabilityLogged_ = false;
};

}  // namespace cottonwing::registry
