// The parts of one backend joined: from the start it was given until it has left.
#pragma once

#include "config/process_config.h"
#include "dependency/http_dependency_client.h"
#include "registry/registry_client.h"
#include "request/request_manager.h"
#include "thrift/thrift_server.h"
#include "worker_pool/worker_pool_client.h"

namespace cottonwing {

class Server {
public:
    Server(net::Loop& loop, const config::ProcessConfig& start, telemetry::Log& log,
           telemetry::Counters& counters);

    // The notice to leave: the list is told at once, all that was read is answered, and what comes after the
    // grace is drained. The loop stops when nobody is left, and shortly before the stop in any case.
    void leave();
    // The file has changed: the links move to the addresses it has now. One that can't be read is refused
    // whole.
    void readAgain(const config::Environment& environment);

    const request::RequestManager& backend() const { return backend_; }
    const dependency::HttpDependencyClient& records() const { return records_; }
    const thrift::ThriftServer& sidecars() const { return sidecars_; }

private:
    void turn();

    net::Loop& loop_;
    config::ProcessConfig start_;  // as it was last read
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    const Duration stopAfter_, grace_;
    request::RequestManager backend_;
    worker_pool::WorkerPoolClient pool_;
    dependency::HttpDependencyClient records_;
    thrift::ThriftServer sidecars_;
    registry::RegistryClient registry_;
    net::Timer drainTimer_, stopTimer_;
    bool leaving_ = false, draining_ = false;
};

}  // namespace cottonwing
