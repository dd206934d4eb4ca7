/// @file
/// The client of the worker pool, which runs the requests of this server.
///
/// Keeps one connection open: it sends start, cancel and continue messages and receives reports about runs. A
/// lost connection is reopened at once; if that fails, further attempts follow after short random delays. On
/// the new connection the client sends the sequence number of the last report it read, the pool repeats the
/// later ones, and messages that the pool may have missed are resent.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/process_config.h"
#include "net/connection.h"
#include "request/request_manager.h"
#include "worker_pool/protocol.h"

namespace cottonwing::worker_pool {

/// Runs requests in the worker pool. Without a connection, messages are dropped instead of queued:
/// RequestManager::resumeRuns resends what is needed once the connection is restored. Not thread-safe.
class WorkerPoolClient : public request::Executor, private net::ConnectionHandler {
public:
    /// Starts connecting.
    /// @param limits workerPoolBytes is the limit for both buffers of the connection together.
    /// @param requestClasses names by index, as used by the pool.
    /// @param gaugeNames in the order in which the pool reports gauges.
    /// @param seed of the jitter.
    /// @param requests receives the reports; must outlive the client, as must loop, log and counters.
    WorkerPoolClient(net::Loop& loop, net::Address address, const config::ResourceLimits& limits,
                     std::vector<std::string> requestClasses, std::vector<std::string> gaugeNames,
                     std::uint64_t seed, request::RequestManager& requests, telemetry::Log& log,
                     telemetry::Counters& counters);

    bool start(const request::RunSpec& run) override;
    void cancel(const std::string& externalId) override;
    bool supplyReply(const std::string& externalId, std::string_view reply) override;
    bool skipDependencyCall(const std::string& externalId) override;
    void confirmReports(RequestId id) override;
    /// Also treats the connection as lost if an earlier poll has gone unanswered for too long.
    void requestGauges() override;
    /// Calls made while a check is in progress share its result.
    void verifyWork(std::function<void(std::optional<bool>)> onVerified) override;
    /// Reconnects to another address immediately. Runs continue, and missed messages are repeated.
    void changeAddress(net::Address address);

private:
    void arrived(net::Connection& connection) override;
    void ended(net::Connection& connection, net::ConnectionEnd end) override;

    /// A poll whose answer shows that the pool has received all earlier messages.
    struct DeliveryProbe {
        std::string reference;
        Timestamp sentAt{0};
    };

    void connect();
    void markDisconnected();
    void handleConnectionLost(net::ConnectionEnd end);
    /// @return whether there is a connection to send on.
    bool sendIfReady(const std::string& line);
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
    std::vector<std::function<void(std::optional<bool>)>> verifications_;  // cleared by result or timeout
    std::uint64_t verificationCount_ = 0;   // sent so far; also the reference of the last one
    std::uint64_t lastSequenceNumber_ = 0;  // of the last numbered message that was read
    std::size_t scannedBytes_ = 0;          // prefix of the input without an end of line
    Timestamp unansweredPollAt_{0};  // when the first poll after the last received message was sent; 0: none
    std::uint64_t gaugePollCount_ = 0;            // sent so far; also the reference of the last one
    std::optional<DeliveryProbe> deliveryProbe_;  // at most one at a time
    bool ready_ = false;                          // the pool has accepted the connection
    bool wasEverReady_ = false;
    bool lossLogged_ = false;  // a loss has been logged since the pool last accepted a connection
};

}  // namespace cottonwing::worker_pool
