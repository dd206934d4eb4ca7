// A server before others: fronts, the owner of requests with its module, groups of servers behind; joined
// from the operator's file, until it has left.
#pragma once

#include "serve/gateway_config.h"
#include "thrift/thrift_server.h"

namespace cottonwing::serve {

class Gateway {
public:
    Gateway(net::Loop& loop, ServeTerms terms, telemetry::Log& log, telemetry::Counters& counters);
    ~Gateway();

    // The notice to leave, as of the platform's program: all that was read is answered, and the loop stops
    // when nobody is left, or at the last moment.
    void leave();
    // The file again: the groups' servers are taken at once; a file that can't be read is refused whole.
    void readAgain(const std::string& path);
    void print(std::ostream& out) const;

    const request::RequestManager& requestManager() const { return backend_; }
    const scgi::ScgiGroups& groups() const { return groups_; }
    const scgi::ScgiServer* scgi() const { return scgi_.get(); }
    const thrift::ThriftServer* thrift() const { return thrift_.get(); }

private:
    // Servers behind make their calls themselves.
    struct NoCalls : request::DependencyClient {
        void startCall(RequestId, const std::string&, Duration, std::string_view) override {}
        void abandonCall(RequestId) override {}
    };
    void turn();
    void stop();

    net::Loop& loop_;
    const ServeTerms terms_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    request::RequestManager backend_;
    NoCalls noCalls_;
    scgi::ScgiGroups groups_;
    std::unique_ptr<thrift::ThriftServer> thrift_;
    std::unique_ptr<scgi::ScgiServer> scgi_;
    net::Timer drainTimer_, lastCall_, stopTimer_;
    bool leaving_ = false, draining_ = false;
};

}  // namespace cottonwing::serve
