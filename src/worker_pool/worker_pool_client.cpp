#include "worker_pool/worker_pool_client.h"

#include <utility>
#include <variant>

namespace cottonwing::worker_pool {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr const char* kLogComponent = "worker_pool";
constexpr Duration kVerificationTimeout = 250ms;
// If no message arrives for this long after a poll, the connection is considered dead although it is open.
constexpr Duration kPollTimeout = 1s;
// Range of the random delay before another attempt to open a connection.
constexpr int kReconnectMinMillis = 20;
constexpr int kReconnectMaxMillis = 100;
// The input buffer gets this fraction (1/n) of the memory, the output buffer the rest.
constexpr std::size_t kInputDivisor = 4;
// Reference of a poll. The answer to a caught-up poll follows all messages that the pool repeats on a new
// connection, and so confirms that they have all been read.
constexpr const char* kCaughtUpReference = "caught-up";
// Prefix of the references of polls for Executor::confirmReports; the id of the request follows.
constexpr std::string_view kReportsReferencePrefix = "reports-";
// Messages sent within this time before a connection breaks may be lost with it, in any order.
constexpr Duration kLossWindow = 50ms;

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

bool WorkerPoolClient::start(const request::RunSpec& run) {
    const std::string& requestClass = requestClasses_[static_cast<std::size_t>(run.requestClass)];
    return sendIfReady(startLine(run.externalId, requestClass, run.body));
}

void WorkerPoolClient::cancel(const std::string& externalId) { sendIfReady(cancelLine(externalId)); }

bool WorkerPoolClient::supplyReply(const std::string& externalId, std::string_view reply) {
    return sendIfReady(supplyLine(externalId, reply));
}

bool WorkerPoolClient::skipDependencyCall(const std::string& externalId) {
    return sendIfReady(skipDependencyCallLine(externalId));
}

// The pool answers polls in order with its reports, so the answer follows all reports made before it.
void WorkerPoolClient::confirmReports(RequestId id) {
    sendIfReady(pollLine(std::string(kReportsReferencePrefix) + request::formatRequestId(id)));
}

void WorkerPoolClient::requestGauges() {
    const Timestamp now = net::unixNow();
    const bool pollPending = unansweredPollAt_ > 0ns;
    if (ready_ && pollPending && now - unansweredPollAt_ > kPollTimeout)
        return handleConnectionLost(net::ConnectionEnd::TimedOut);
    if (!pollPending) unansweredPollAt_ = now;
    ++gaugePollCount_;
    const std::string reference = std::to_string(gaugePollCount_);
    if (sendIfReady(pollLine(reference)) && !deliveryProbe_) deliveryProbe_ = DeliveryProbe{reference, now};
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

// Without a connection the message is dropped: RequestManager::resumeRuns resends what the pool needs later.
bool WorkerPoolClient::sendIfReady(const std::string& line) {
    if (ready_) connection_->send(line);
    return ready_;
}

// ---- The connection -------------------------------------------------------------------------------------

void WorkerPoolClient::connect() {
    reconnectTimer_.stop();
    scannedBytes_ = 0;
    unansweredPollAt_ = 0ns;
    deliveryProbe_.reset();
    const std::size_t inputBytes = bufferBytes_ / kInputDivisor;
    const net::BufferLimits bounds{inputBytes, bufferBytes_ - inputBytes};
    // Not make_unique, which has no access to the private base class net::ConnectionHandler.
    connection_.reset(new net::Connection(loop_, address_, *this, bounds));
    connection_->send(bindLine(lastSequenceNumber_));
}

void WorkerPoolClient::changeAddress(net::Address address) {
    address_ = std::move(address);
    log_.info(kLogComponent,
              "worker pool address changed: address=" + address_.host + ":" + std::to_string(address_.port));
    markDisconnected();
    // Not destroyed at once: closing a connection with unread input would reset it, and the messages sent
    // last would be lost.
    if (connection_) connection_->closeGracefully([] {});
    connect();
}

void WorkerPoolClient::markDisconnected() {
    if (std::exchange(ready_, false)) requests_.executorConnectionLost();
}

void WorkerPoolClient::handleConnectionLost(net::ConnectionEnd end) {
    counters_.addEnd(end);
    if (ready_ || !lossLogged_)
        log_.warn(kLogComponent, std::string(ready_ ? "worker pool connection lost: reason="
                                                    : "worker pool connection failed: reason=") +
                                     net::nameOf(end));
    // A connection that was in use is reopened at once: until then no end of a run is reported, which delays
    // the runs that wait for its core.
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
        if (message.sequenceNumber <= lastSequenceNumber_) return;  // already read on an earlier connection
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
    const std::string_view reference = message.reference;
    if (reference == kCaughtUpReference) return requests_.resumeRuns();
    if (reference.starts_with(kReportsReferencePrefix)) {
        const auto id = request::parseRequestId(reference.substr(kReportsReferencePrefix.size()));
        if (id) requests_.reportsDelivered(*id);
        return;
    }
    if (deliveryProbe_ && deliveryProbe_->reference == reference) {
        requests_.messagesReceived(deliveryProbe_->sentAt - kLossWindow);
        deliveryProbe_.reset();
    }
    requests_.updateGauges(gaugesOf(gaugeNames_, message.gauges));
}

void WorkerPoolClient::handle(const WorkVerified& message) {
    // The answer to an earlier check that has timed out says nothing about the current one.
    if (message.reference == std::to_string(verificationCount_)) completeVerification(message.succeeded);
}

// A rejected start means that nothing runs for the request. That is a fault of its client, not a sign that
// runs fail. Other rejected messages do not affect the run.
void WorkerPoolClient::handle(const MessageRejected& message) {
    counters_.add(Count::WorkerPoolUnknownRequests);
    log_.warn(kLogComponent,
              "message rejected by the worker pool: type=" + message.messageType + " request=" + message.job);
    const std::optional<RequestId> id = request::parseRequestId(message.job);
    if (id && message.isStart) requests_.runUnknownToExecutor(*id);
}

void WorkerPoolClient::handle(const InformationalMessage& /*message*/) {}

}  // namespace cottonwing::worker_pool
