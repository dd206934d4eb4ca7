/// @file
/// The client of the worker pool, which runs the requests of this server.
///
/// Holds one connection open: start, cancel and continue messages go out, reports of runs come in. When the
/// connection is lost it is opened again after a short jittered delay. The pool then receives the number of
/// the last report that was read, repeats the later ones, and is sent again what it may have missed.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/process_config.h"
#include "net/connection.h"
#include "request/request_manager.h"
#include "worker_pool/protocol.h"

namespace cottonwing::worker_pool {

/// Runs requests in the worker pool. While there is no connection, messages are dropped rather than queued:
/// RequestManager::resumeRuns restores what matters once a connection is back. Not thread-safe.
class WorkerPoolClient : public request::Executor, private net::ConnectionHandler {
public:
    /// Begins to connect.
    /// @param limits of which the share for the worker pool bounds both buffers of the connection.
    /// @param requestClasses names by index, as the pool knows them.
    /// @param gaugeNames in the order in which the pool reports gauges.
    /// @param seed of the jitter.
    /// @param requests receives the reports; must outlive the client, as must loop, log and counters.
    WorkerPoolClient(net::Loop& loop, net::Address address, const config::ResourceLimits& limits,
                     std::vector<std::string> requestClasses, std::vector<std::string> gaugeNames,
                     std::uint64_t seed, request::RequestManager& requests, telemetry::Log& log,
                     telemetry::Counters& counters);

    void start(const request::RunSpec& run) override;
    void cancel(const std::string& externalId) override;
    void supplyReply(const std::string& externalId, std::string_view reply) override;
    void skipDependencyCall(const std::string& externalId) override;
    /// Also treats the connection as lost when earlier requests have gone unanswered for too long.
    void requestGauges() override;
    /// One check at a time serves all that ask for it meanwhile.
    void verifyWork(std::function<void(std::optional<bool>)> onVerified) override;
    /// Connects to another address at once. Runs go on, and what was missed is repeated.
    void changeAddress(net::Address address);

private:
    void arrived(net::Connection& connection) override;
    void ended(net::Connection& connection, net::ConnectionEnd end) override;

    void connect();
    void markDisconnected();
    void handleConnectionLost(net::ConnectionEnd end);
    void sendIfReady(const std::string& line);
    void completeVerification(std::optional<bool> result);

    void handle(const PoolMessage& message);
    void handle(const ConnectionAccepted& message);
    void handle(const RunFinished& message);
    void handle(const RunBlocked& message);
    void handle(const PollAnswered& message);
    void handle(const WorkVerified& message);
    void handle(const MessageRejected& message);
    void handle(const InformationalMessage& message);

    net::Loop& loop_;
    net::Address address_;
    const std::size_t bufferBytes_;  // of both directions together
    const std::vector<std::string> requestClasses_;
    const std::vector<std::string> gaugeNames_;
    std::mt19937 random_;
    request::RequestManager& requests_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    net::Timer reconnectTimer_;
    net::Timer verificationTimer_;
    std::unique_ptr<net::Connection> connection_;
    std::vector<std::function<void(std::optional<bool>)>> verifications_;  // emptied by result or timeout
    std::uint64_t verificationCount_ = 0;   // sent so far; the last one's reference
    std::uint64_t lastSequenceNumber_ = 0;  // of the last numbered message that was read
    std::size_t scannedBytes_ = 0;          // of the input, in which there is no end of line
    Timestamp unansweredPollAt_{0};  // when the first poll was sent that no message has followed; 0: none was
    Timestamp lostAt_{0};            // when the connection was lost that is not caught up with; 0: none was
    bool ready_ = false;             // the pool has accepted the connection
    bool wasEverReady_ = false;
    bool lossLogged_ = false;  // a loss has been logged since the pool last accepted a connection
};

}  // namespace cottonwing::worker_pool
