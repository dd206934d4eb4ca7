/// @file
/// The gateway process in front of other servers: Thrift and SCGI servers, the request manager with its
/// overload controller, and groups of upstream servers, set up from the operator's configuration file.
#pragma once

#include "serve/gateway_config.h"
#include "thrift/thrift_server.h"

namespace cottonwing::serve {

/// Owns all parts of the process except the loop, the log and the counters. Not thread-safe.
class Gateway {
public:
    /// Begins to listen; throws if an address can't be listened at.
    /// @param loop must outlive the gateway, as must log and counters.
    Gateway(net::Loop& loop, GatewayConfig config, telemetry::Log& log, telemetry::Counters& counters);
    ~Gateway();

    /// Begins the graceful shutdown, as Server does; further calls have no effect. All requests that were
    /// read are answered. The loop stops when all clients have disconnected, and shortly before the end of
    /// the shutdown timeout in any case.
    void beginShutdown();
    /// Reads the configuration file again. Changes to the servers of the groups apply at once; a file with an
    /// error is rejected as a whole.
    void reload(const std::string& path);
    /// Prints the counters of the process, of the groups and of the SCGI server.
    void printCounters(std::ostream& out) const;

    const request::RequestManager& requestManager() const { return requests_; }
    const scgi::UpstreamGroups& upstreamGroups() const { return upstreamGroups_; }
    const scgi::ScgiServer* scgiServer() const { return scgiServer_.get(); }
    const thrift::ThriftServer* thriftServer() const { return thriftServer_.get(); }

private:
    // Upstream servers make their dependency calls themselves.
    struct NoDependencyCalls : request::DependencyClient {
        void startCall(RequestId, const std::string&, Duration, std::string_view) override {}
        void abandonCall(RequestId) override {}
    };
    void turnEnded();
    void stop();

    net::Loop& loop_;
    const GatewayConfig config_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    request::RequestManager requests_;
    NoDependencyCalls noDependencyCalls_;
    scgi::UpstreamGroups upstreamGroups_;
    std::unique_ptr<thrift::ThriftServer> thriftServer_;
    std::unique_ptr<scgi::ScgiServer> scgiServer_;
    net::Timer drainTimer_, rejectIncompleteTimer_, stopTimer_;
    bool shuttingDown_ = false, draining_ = false;
};

}  // namespace cottonwing::serve
