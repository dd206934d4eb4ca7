/// @file
/// A connection of a client to the Thrift server: its state and its timeouts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "overload/types.h"

namespace cottonwing::thrift {

class ThriftConnection;

/// The memory that is set aside for the answer to an open request: a result of 4 KiB with its fields.
inline constexpr std::size_t kReservedAnswerBytes = 4096 + 512;
/// The largest answer to a message that is not a request, or is not accepted as one.
inline constexpr std::size_t kMaxControlFrameBytes = 1024;

/// The largest number of health checks of one connection that wait for the worker pool.
inline constexpr int kMaxPendingHealthChecks = 16;

/// The connections of a server, in the order that ConnectionTable maintains.
using ConnectionList = std::list<std::shared_ptr<ThriftConnection>>;

/// An accepted connection. It is new until its first complete message, then identified. In addition it may be
/// draining (the client was asked to send no new requests), and reading may be stopped (the client exceeded a
/// limit on errors or time, or the server is shutting down); in the latter case the server closes it once its
/// open requests are answered.
class ThriftConnection : public std::enable_shared_from_this<ThriftConnection>,
                         private net::ConnectionHandler {
public:
    /// Receives the events of a connection. Both functions may destroy the connection.
    class Handler {
    public:
        virtual ~Handler() = default;
        /// Bytes were added to the input.
        virtual void inputArrived(ThriftConnection& connection) = 0;
        /// The peer or an error has ended the connection.
        virtual void connectionEnded(ThriftConnection& connection, net::ConnectionEnd end) = 0;
        /// The shared memory does not allow the input to grow, see net::ConnectionHandler::inputStarved().
        virtual void inputStarved(ThriftConnection& connection) = 0;
    };

    /// Accepts a pending connection of a listener.
    /// @param bufferBudget  limits the buffers of all connections together
    ThriftConnection(net::Loop& loop, net::PendingConnection socket, Handler& handler,
                     std::shared_ptr<net::MemoryBudget> bufferBudget);

    // Input.
    net::ByteRing& input() { return connection_.input(); }
    /// Whether the socket's receive buffer holds bytes that have not been read yet.
    bool hasUnreadBytes() const { return connection_.hasUnreadBytes(); }
    /// Whether the client has closed the connection, also while bytes that it sent before are unread.
    bool hasPeerClosed() const { return connection_.hasPeerClosed(); }
    /// Pauses reading until the next turn of the loop, in which inputArrived() is called again.
    void deferRead() { connection_.deferRead(); }
    /// Records that the input is empty or ends with an incomplete message, and starts or clears its timeout.
    /// @param newMessage  whether complete messages were read before it in this turn, so that the incomplete
    ///                    one is a new one
    void noteIncompleteMessage(bool newMessage, Timestamp now);
    /// Whether the current message was started too long ago and is still incomplete.
    bool isMessageOverdue(Timestamp now) const;
    /// Stops reading for good. Open requests are still answered, so that one malformed message does not lose
    /// the client's earlier requests.
    void stopReading(net::ConnectionEnd reason);
    /// Why reading was stopped, if it was; the connection will then be closed for this reason.
    std::optional<net::ConnectionEnd> readingStopped() const { return readingStopped_; }

    // Protocol errors: messages that were rejected.
    void addProtocolError() { ++protocolErrors_; }
    /// Called when a request completes. Clears the protocol errors, so that a long-lived connection is not
    /// closed for errors that are far apart.
    void noteServed();
    /// Whether a request has completed, which shows that the client is sound.
    bool hasBeenServed() const { return served_; }
    /// Whether the client keeps sending malformed requests, or repeats rejected ones immediately.
    bool hasTooManyProtocolErrors() const;

    // Open requests, by sequence number.
    bool canOpenRequest(std::int32_t sequence) const;
    /// @param answerMemory  set aside for the answer until the request is closed
    void openRequest(std::int32_t sequence, RequestId id, net::MemoryReservation answerMemory = {}) {
        openRequests_.emplace(sequence, OpenRequest{id, std::move(answerMemory)});
    }
    /// Removes an open request and returns its id; nothing if it was not open.
    std::optional<RequestId> closeRequest(std::int32_t sequence);
    /// Removes all open requests and returns their ids.
    std::vector<RequestId> closeAllRequests();
    bool hasOpenRequests() const { return !openRequests_.empty(); }
    /// Whether the input begins with a complete message, which is processed in the next turn.
    bool hasCompleteMessage() const;
    /// Whether there are no open requests and no unprocessed or unread input.
    bool isIdle() const;

    // Health checks that wait for the worker pool.
    /// Begins one, which endHealthCheck() ends.
    /// @return false if too many are pending.
    bool beginHealthCheck();
    void endHealthCheck() { --pendingHealthChecks_; }

    // Shared memory.
    /// The bytes of its buffers beyond those that are guaranteed to each connection.
    std::size_t bytesBeyondGuarantee() const;
    /// The memory that is guaranteed to each connection.
    static std::size_t guaranteedBytes();
    /// When the incomplete message at the end of the input began; nothing if there is none.
    std::optional<Timestamp> messageStartedAt() const { return messageStartedAt_; }
    /// Pauses reading until resumeReading(), as the input can't grow.
    void pauseReading() { connection_.pauseReading(); }
    void resumeReading() { connection_.resumeReading(); }

    // Output.
    /// Whether the buffer and the shared memory have room for a frame.
    bool canSend(std::size_t bytes) const { return connection_.canSend(bytes); }
    /// Pauses reading until all output is written; then inputArrived() is called again.
    void deferReadUntilWritten() { connection_.deferReadUntilWritten(); }
    /// Sends a frame and starts to monitor that the client reads it.
    void send(const std::string& frame);
    bool hasOutput() const { return !connection_.output().empty(); }
    bool isOutputHalfFull() const { return connection_.isOutputHalfFull(); }
    /// Checks whether output was written since the last call; called at every sweep.
    void observeOutput(Timestamp now);
    /// Whether the client has read no output for too long.
    bool isOutputStalled(Timestamp now) const;

    // Draining.
    /// Sends a goaway, once, which asks the client to send no new requests. Requests that the client sent
    /// before it read the goaway are still served. Without effect while there is no room for the goaway.
    void drain(Timestamp now);
    bool isDraining() const { return drainingSince_.has_value(); }
    /// Whether the connection is idle, and the client has not closed it in time after the goaway.
    bool isDrainOverdue(Timestamp now) const;

    /// Extends all timeouts by a time in which this process stood still, and perhaps its client with it.
    void extendTimeouts(Duration by, Timestamp now);

    // Closing.
    /// Writes as much output as the socket accepts without blocking, for use just before the connection is
    /// destroyed.
    void tryFlush() { connection_.tryFlush(); }
    /// Closes gracefully: pending output is still written. The connection may be destroyed meanwhile.
    /// @param done  called from the loop once the descriptor has been released
    void closeGracefully(std::function<void()> done) { connection_.closeGracefully(std::move(done)); }

    /// Its state in fields for the log, as "open_requests=2 input_bytes=0 …".
    std::string describe() const;

    bool isIdentified() const { return identified_; }
    Timestamp acceptedAt() const { return acceptedAt_; }
    /// The time of the last message or response, initially the time of acceptance.
    Timestamp lastUsedAt() const { return lastUsedAt_; }

private:
    friend class ConnectionTable;  // maintains position_, identified_ and lastUsedAt_

    struct OpenRequest {
        RequestId id;
        net::MemoryReservation answerMemory;
    };

    void arrived(net::Connection& connection) override;
    void inputStarved(net::Connection& connection) override;
    void ended(net::Connection& connection, net::ConnectionEnd end) override;

    Handler& handler_;
    net::Connection connection_;
    ConnectionList::iterator position_;
    bool identified_ = false;
    Timestamp acceptedAt_;
    Timestamp lastUsedAt_;
    std::map<std::int32_t, OpenRequest> openRequests_;
    std::optional<Timestamp> messageStartedAt_;  // of the incomplete message
    std::optional<Timestamp> outputProgressAt_;  // last progress of the output; empty without output
    std::size_t outputBytes_ = 0;                // pending at the last observeOutput()
    std::optional<Timestamp> drainingSince_;
    std::optional<net::ConnectionEnd> readingStopped_;
    int protocolErrors_ = 0;
    int pendingHealthChecks_ = 0;
    bool served_ = false;
};

}  // namespace cottonwing::thrift
