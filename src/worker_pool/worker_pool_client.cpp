#include "worker_pool/worker_pool_client.h"

#include <utility>
#include <variant>

namespace cottonwing::worker_pool {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr const char* kLogComponent = "worker_pool";
constexpr Duration kVerificationTimeout = 250ms;
// With no message for this long after a poll, the connection is open but dead.
constexpr Duration kPollTimeout = 1s;
// Bounds of the random delay before a connection that could not be opened is tried again.
constexpr int kReconnectMinMillis = 20;
constexpr int kReconnectMaxMillis = 100;
// The input buffer's part of both.
constexpr std::size_t kInputDivisor = 4;
// References of polls. The answer to the second kind stands behind all messages that a new connection has to
// catch up with, and so tells that they have all been read.
constexpr const char* kGaugesReference = "gauges";
constexpr const char* kCaughtUpReference = "caught-up";

}  // namespace

WorkerPoolClient::WorkerPoolClient(net::Loop& loop, net::Address address,
                                   const config::ResourceLimits& limits,
                                   std::vector<std::string> requestClasses,
                                   std::vector<std::string> gaugeNames, std::uint64_t seed,
                                   request::RequestManager& requests, telemetry::Log& log,
                                   telemetry::Counters& counters)
    : loop_(loop),
      address_(std::move(address)),
      bufferBytes_(limits.workerPoolBytes),
      requestClasses_(std::move(requestClasses)),
      gaugeNames_(std::move(gaugeNames)),
      random_(static_cast<std::mt19937::result_type>(seed)),
      requests_(requests),
      log_(log),
      counters_(counters),
      reconnectTimer_(loop, [this] { connect(); }),
      verificationTimer_(loop, [this] { completeVerification(std::nullopt); }) {
    connect();
}

// ---- Messages to the pool -------------------------------------------------------------------------------

void WorkerPoolClient::start(const request::RunSpec& run) {
    const std::string& requestClass = requestClasses_[static_cast<std::size_t>(run.requestClass)];
    sendIfReady(startLine(run.externalId, requestClass, run.body));
}

void WorkerPoolClient::cancel(const std::string& externalId) { sendIfReady(cancelLine(externalId)); }

void WorkerPoolClient::supplyReply(const std::string& externalId, std::string_view reply) {
    sendIfReady(supplyLine(externalId, reply));
}

void WorkerPoolClient::skipDependencyCall(const std::string& externalId) {
    sendIfReady(skipDependencyCallLine(externalId));
}

void WorkerPoolClient::requestGauges() {
    const Timestamp now = net::unixNow();
    const bool pollPending = unansweredPollAt_ > 0ns;
    if (ready_ && pollPending && now - unansweredPollAt_ > kPollTimeout)
        return handleConnectionLost(net::ConnectionEnd::TimedOut);
    if (!pollPending) unansweredPollAt_ = now;
    sendIfReady(pollLine(kGaugesReference));
}

void WorkerPoolClient::verifyWork(std::function<void(std::optional<bool>)> onVerified) {
    verifications_.push_back(std::move(onVerified));
    if (verifications_.size() > 1) return;
    verificationTimer_.start(ready_ ? kVerificationTimeout : 0ns);
    ++verificationCount_;
    sendIfReady(verifyLine(std::to_string(verificationCount_)));
}

void WorkerPoolClient::completeVerification(std::optional<bool> result) {
    verificationTimer_.stop();
    for (const auto& onVerified : std::exchange(verifications_, {})) onVerified(result);
}

// Without a connection nothing is sent: what the pool has to know is repeated once there is one.
void WorkerPoolClient::sendIfReady(const std::string& line) {
    if (ready_) connection_->send(line);
}

// ---- The connection -------------------------------------------------------------------------------------

void WorkerPoolClient::connect() {
    reconnectTimer_.stop();
    scannedBytes_ = 0;
    unansweredPollAt_ = 0ns;
    const std::size_t inputBytes = bufferBytes_ / kInputDivisor;
    const net::BufferLimits bounds{inputBytes, bufferBytes_ - inputBytes};
    // Not by make_unique, which can't see that this is a net::ConnectionHandler.
    connection_.reset(new net::Connection(loop_, address_, *this, bounds));
    connection_->send(bindLine(lastSequenceNumber_));
}

void WorkerPoolClient::changeAddress(net::Address address) {
    address_ = std::move(address);
    log_.info(kLogComponent,
              "worker pool address changed: address=" + address_.host + ":" + std::to_string(address_.port));
    markDisconnected();
    // Closed over messages that were not read yet, the old connection would be reset, and what was sent last
    // would be lost with it.
    if (connection_) connection_->closeGracefully([] {});
    connect();
}

// What was sent shortly before may be lost; that holds from the first such loss until a connection has caught
// up.
void WorkerPoolClient::markDisconnected() {
    if (ready_ && lostAt_ == 0ns) lostAt_ = net::unixNow();
    ready_ = false;
}

void WorkerPoolClient::handleConnectionLost(net::ConnectionEnd end) {
    counters_.addEnd(end);
    if (ready_ || !lossLogged_)
        log_.warn(kLogComponent, std::string(ready_ ? "worker pool connection lost: reason="
                                                    : "worker pool connection failed: reason=") +
                                     net::nameOf(end));
    // A connection that served is opened again at once: runs that end meanwhile delay those that wait for
    // their cores.
    const bool reconnectAtOnce = ready_;
    markDisconnected();
    lossLogged_ = true;
    connection_.reset();
    if (reconnectAtOnce) return reconnectTimer_.start(0ns);
    std::uniform_int_distribution<int> millis(kReconnectMinMillis, kReconnectMaxMillis);
    reconnectTimer_.start(1ms * millis(random_));
}

void WorkerPoolClient::arrived(net::Connection& connection) {
    net::ByteRing& input = connection.input();
    std::string scratch;
    for (;;) {
        const std::size_t lineEnd = input.find('\n', scannedBytes_);
        if (lineEnd == input.size()) {
            scannedBytes_ = lineEnd;
            return;
        }
        const std::optional<PoolMessage> message = parsePoolMessage(input.peek(lineEnd, scratch));
        input.drop(lineEnd + 1);
        scannedBytes_ = 0;
        if (message) {
            handle(*message);
        } else {
            counters_.add(Count::WorkerPoolMalformedMessages);
            log_.warn(kLogComponent, "message from the worker pool ignored: reason=malformed");
        }
    }
}

void WorkerPoolClient::ended(net::Connection& /*connection*/, net::ConnectionEnd end) {
    handleConnectionLost(end);
}

// ---- Messages from the pool -----------------------------------------------------------------------------

void WorkerPoolClient::handle(const PoolMessage& message) {
    unansweredPollAt_ = 0ns;
    if (message.sequenceNumber != 0) {
        if (message.sequenceNumber <= lastSequenceNumber_) return;  // was read on an earlier connection
        lastSequenceNumber_ = message.sequenceNumber;
    }
    std::visit([this](const auto& content) { handle(content); }, message.content);
}

void WorkerPoolClient::handle(const ConnectionAccepted& message) {
    ready_ = true;
    lossLogged_ = false;
    counters_.add(Count::WorkerPoolConnections);
    if (wasEverReady_) {
        log_.info(kLogComponent,
                  "worker pool connection restored: last_number=" + std::to_string(lastSequenceNumber_));
        sendIfReady(pollLine(kCaughtUpReference));
    }
    wasEverReady_ = true;
    requests_.executorReady(message.cold, message.uptime);
}

void WorkerPoolClient::handle(const RunFinished& message) {
    const std::optional<RequestId> id = request::parseRequestId(message.job);
    if (id) requests_.runCompleted(*id, outcomeOf(message.end), message.elapsed, message.result);
}

void WorkerPoolClient::handle(const RunBlocked& message) {
    const std::optional<RequestId> id = request::parseRequestId(message.job);
    if (id) requests_.runWaitsForDependency(*id, message.callBody);
}

void WorkerPoolClient::handle(const PollAnswered& message) {
    if (message.reference == kCaughtUpReference) return requests_.resumeRuns(std::exchange(lostAt_, 0ns));
    requests_.updateGauges(gaugesOf(gaugeNames_, message.gauges));
}

void WorkerPoolClient::handle(const WorkVerified& message) {
    // An answer to an earlier check, which has timed out, proves nothing about this one.
    if (message.reference == std::to_string(verificationCount_)) completeVerification(message.succeeded);
}

// A refused start tells that nothing of the request runs, which says something about its client and nothing
// about the health of runs. Other messages that were refused leave a run as it is.
void WorkerPoolClient::handle(const MessageRejected& message) {
    counters_.add(Count::WorkerPoolUnknownRequests);
    log_.warn(kLogComponent,
              "message refused by the worker pool: type=" + message.messageType + " request=" + message.job);
    const std::optional<RequestId> id = request::parseRequestId(message.job);
    if (id && message.isStart) requests_.runUnknownToExecutor(*id);
}

void WorkerPoolClient::handle(const InformationalMessage& /*message*/) {}

}  // namespace cottonwing::worker_pool
