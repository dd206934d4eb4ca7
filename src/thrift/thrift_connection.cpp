#include "thrift/thrift_connection.h"

#include <utility>

#include "net/clock.h"
#include "thrift/codec.h"

namespace cottonwing::thrift {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxOpenRequests = 32;
constexpr std::size_t kInputBytes = 32 << 10;
constexpr std::size_t kOutputBytes = 256 << 10;
constexpr int kMaxProtocolErrors = 8;
constexpr Duration kMessageTimeout = 1500ms;  // from the first byte of a message to its last
constexpr Duration kOutputTimeout = 2s;       // without the client reading any output
constexpr Duration kDrainTimeout = 1s;        // for the client to close an idle connection after goaway

}  // namespace

ThriftConnection::ThriftConnection(net::Loop& loop, net::PendingConnection socket, Handler& handler,
                                   std::shared_ptr<net::MemoryBudget> bufferBudget)
    : handler_(handler),
      connection_(loop, socket, *this, {kInputBytes, kOutputBytes, std::move(bufferBudget)}),
      acceptedAt_(net::unixNow()),
      lastUsedAt_(acceptedAt_) {}

void ThriftConnection::arrived(net::Connection& /*connection*/) { handler_.inputArrived(*this); }

void ThriftConnection::ended(net::Connection& /*connection*/, net::ConnectionEnd end) {
    handler_.connectionEnded(*this, end);
}

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
    const RequestId id = open->second;
    openRequests_.erase(open);
    return id;
}

std::map<std::int32_t, RequestId> ThriftConnection::closeAllRequests() {
    return std::exchange(openRequests_, {});
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
    drainingSince_ = now;
    connection_.send(writeGoaway());
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
