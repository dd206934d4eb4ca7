// A server before others: fronts, the owner of requests with its module, groups of servers behind; joined
// from the operator's file, until it has left.
#pragma once

#include "serve/gateway_config.h"
#include "thrift/thrift_server.h"

namespace cottonwing::serve {

class Gateway {
public:
    Gateway(net::Loop& loop, GatewayConfig config, telemetry::Log& log, telemetry::Counters& counters);
    ~Gateway();

    // The notice to leave, as of the platform's program: all that was read is answered, and the loop stops
    // when nobody is left, or at the last moment.
    void beginShutdown();
    // The file again: the groups' servers are taken at once; a file that can't be read is refused whole.
    void reload(const std::string& path);
    void printCounters(std::ostream& out) const;

    const request::RequestManager& requestManager() const { return requests_; }
    const scgi::ScgiGroups& upstreamGroups() const { return upstreamGroups_; }
    const scgi::ScgiServer* scgiServer() const { return scgiServer_.get(); }
    const thrift::ThriftServer* thriftServer() const { return thriftServer_.get(); }

private:
    // Servers behind make their calls themselves.
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
    scgi::ScgiGroups upstreamGroups_;
    std::unique_ptr<thrift::ThriftServer> thriftServer_;
    std::unique_ptr<scgi::ScgiServer> scgiServer_;
    net::Timer drainTimer_, rejectIncompleteTimer_, stopTimer_;
    bool shuttingDown_ = false, draining_ = false;
};

}  // namespace cottonwing::serve
