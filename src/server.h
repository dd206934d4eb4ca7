/// @file
/// One server process: its protocol server, request manager and clients, joined from the start until the
/// shutdown has completed.
#pragma once

#include "config/process_config.h"
#include "dependency/http_dependency_client.h"
#include "registry/registry_client.h"
#include "request/request_manager.h"
#include "thrift/thrift_server.h"
#include "worker_pool/worker_pool_client.h"

namespace cottonwing {

/// Owns all parts of the process except the loop, the log and the counters. Not thread-safe.
class Server {
public:
    /// Begins to listen, and to connect to the worker pool and the registry. Throws if the address can't be
    /// listened at.
    /// @param loop must outlive the server, as must log and counters.
    /// @param config as read at the start.
    Server(net::Loop& loop, const config::ProcessConfig& config, telemetry::Log& log,
           telemetry::Counters& counters);

    /// Begins the graceful shutdown; further calls have no effect. The registry is informed at once, all
    /// requests that were read are answered, and connections are drained after the grace period. The loop
    /// stops when all clients have disconnected, and shortly before the end of the shutdown timeout in any
    /// case.
    void beginShutdown();
    /// Reads the configuration again: the clients move to the addresses that it now names. A configuration
    /// with an error is rejected as a whole; changes of other keys are logged as needing a restart.
    void reload(const config::Environment& environment);

    const request::RequestManager& requestManager() const { return requests_; }
    const dependency::HttpDependencyClient& dependencyClient() const { return dependencyClient_; }
    const thrift::ThriftServer& thriftServer() const { return thriftServer_; }

private:
    void turnEnded();
    void beginDraining();
    void stop();
    bool isDrained() const;
    int moveClients(const config::ProcessConfig& next);

    net::Loop& loop_;
    config::ProcessConfig config_;  // as it was last read
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    const Duration shutdownTimeout_;
    const Duration drainGrace_;
    request::RequestManager requests_;
    worker_pool::WorkerPoolClient workerPoolClient_;
    dependency::HttpDependencyClient dependencyClient_;
    thrift::ThriftServer thriftServer_;
    registry::RegistryClient registryClient_;
    net::Timer drainTimer_;
    net::Timer stopTimer_;
    bool shuttingDown_ = false;
    bool draining_ = false;
};

}  // namespace cottonwing
