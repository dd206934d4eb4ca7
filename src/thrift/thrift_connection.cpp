#include "thrift/thrift_connection.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "thrift/codec.h"

namespace cottonwing::thrift {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxOpenRequests = 32;
constexpr std::size_t kInputBytes = 32 << 10;
constexpr std::size_t kOutputBytes = 320 << 10;
// Any request with a body of 2 KiB, the largest that is accepted, is read in the guaranteed input; answers to
// health checks and errors fit the guaranteed output.
constexpr std::size_t kGuaranteedInputBytes = 4096;
constexpr std::size_t kGuaranteedOutputBytes = 2048;
// A connection is read while its output is less than half full. What it is then owed fits the other half.
static_assert((kMaxOpenRequests + 1) * kReservedAnswerBytes + kMaxControlFrameBytes <= kOutputBytes / 2);
constexpr int kMaxProtocolErrors = 8;
constexpr Duration kMessageTimeout = 1500ms;  // from the first byte of a message to its last
constexpr Duration kOutputTimeout = 2s;       // without the client reading any output
constexpr Duration kDrainTimeout = 1s;        // for the client to close an idle connection after goaway

}  // namespace

ThriftConnection::ThriftConnection(net::Loop& loop, net::PendingConnection socket, Handler& handler,
                                   std::shared_ptr<net::MemoryBudget> bufferBudget)
    : handler_(handler),
      connection_(loop, socket, *this,
                  {kInputBytes, kOutputBytes, std::move(bufferBudget), kGuaranteedInputBytes,
                   kGuaranteedOutputBytes}),
      acceptedAt_(net::unixNow()),
      lastUsedAt_(acceptedAt_) {}

void ThriftConnection::arrived(net::Connection& /*connection*/) { handler_.inputArrived(*this); }

void ThriftConnection::ended(net::Connection& /*connection*/, net::ConnectionEnd end) {
    handler_.connectionEnded(*this, end);
}

bool ThriftConnection::beginHealthCheck() {
    if (pendingHealthChecks_ >= kMaxPendingHealthChecks) return false;
    ++pendingHealthChecks_;
    return true;
}

void ThriftConnection::inputStarved(net::Connection& /*connection*/) { handler_.inputStarved(*this); }

std::size_t ThriftConnection::bytesBeyondGuarantee() const {
    return connection_.input().bytesBeyondGuarantee() + connection_.output().bytesBeyondGuarantee();
}

std::size_t ThriftConnection::guaranteedBytes() { return kGuaranteedInputBytes + kGuaranteedOutputBytes; }

// Bytes that do not complete a message are not counted as use, and do not extend the message's timeout.
void ThriftConnection::noteIncompleteMessage(bool newMessage, Timestamp now) {
    if (input().empty())
        messageStartedAt_.reset();
    else if (newMessage || !messageStartedAt_)
        messageStartedAt_ = now;
}

bool ThriftConnection::isMessageOverdue(Timestamp now) const {
    return messageStartedAt_ && now - *messageStartedAt_ >= kMessageTimeout;
}

void ThriftConnection::stopReading(net::ConnectionEnd reason) {
    readingStopped_ = reason;
    messageStartedAt_.reset();
    connection_.stopReading();
}

void ThriftConnection::noteServed() {
    protocolErrors_ = 0;
    served_ = true;
}

bool ThriftConnection::hasTooManyProtocolErrors() const { return protocolErrors_ >= kMaxProtocolErrors; }

bool ThriftConnection::canOpenRequest(std::int32_t sequence) const {
    return !openRequests_.contains(sequence) && openRequests_.size() < kMaxOpenRequests;
}

std::optional<RequestId> ThriftConnection::closeRequest(std::int32_t sequence) {
    const auto open = openRequests_.find(sequence);
    if (open == openRequests_.end()) return std::nullopt;
    const RequestId id = open->second.id;
    openRequests_.erase(open);
    return id;
}

std::vector<RequestId> ThriftConnection::closeAllRequests() {
    std::vector<RequestId> ids;
    for (const auto& [sequence, request] : std::exchange(openRequests_, {})) ids.push_back(request.id);
    return ids;
}

bool ThriftConnection::hasCompleteMessage() const {
    std::size_t length = 0;
    return peekFrame(connection_.input(), length) == FrameState::Complete;
}

bool ThriftConnection::isIdle() const {
    return openRequests_.empty() && connection_.input().empty() && !connection_.hasUnreadBytes();
}

void ThriftConnection::send(const std::string& frame) {
    connection_.send(frame);
    if (outputProgressAt_) return;
    outputProgressAt_ = lastUsedAt_;
    outputBytes_ = 0;
}

void ThriftConnection::observeOutput(Timestamp now) {
    const std::size_t bytes = connection_.output().size();
    if (bytes == 0)
        outputProgressAt_.reset();
    else if (bytes < outputBytes_)
        outputProgressAt_ = now;
    outputBytes_ = bytes;
}

bool ThriftConnection::isOutputStalled(Timestamp now) const {
    return outputProgressAt_ && now - *outputProgressAt_ >= kOutputTimeout;
}

// The goaway does not count as use of the connection.
void ThriftConnection::drain(Timestamp now) {
    if (drainingSince_) return;
    const std::string goaway = writeGoaway();
    if (!connection_.canSend(goaway.size())) return;
    drainingSince_ = now;
    connection_.send(goaway);
}

void ThriftConnection::extendTimeouts(Duration by, Timestamp now) {
    acceptedAt_ = std::min(acceptedAt_ + by, now);
    for (std::optional<Timestamp>* const since : {&messageStartedAt_, &outputProgressAt_, &drainingSince_})
        if (*since) *since = std::min(**since + by, now);
}

std::string ThriftConnection::describe() const {
    return "open_requests=" + std::to_string(openRequests_.size()) +
           " served=" + (served_ ? "true" : "false") + " protocol_errors=" + std::to_string(protocolErrors_) +
           " input_bytes=" + std::to_string(connection_.input().size()) +
           " unread=" + (hasUnreadBytes() ? "true" : "false") +
           " output_bytes=" + std::to_string(connection_.output().size());
}

bool ThriftConnection::isDrainOverdue(Timestamp now) const {
    return drainingSince_ && now - *drainingSince_ >= kDrainTimeout && isIdle();
}

}  // namespace cottonwing::thrift
