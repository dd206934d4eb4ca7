/// @file
/// One connection of a client to the Thrift server: its state, and how long each part of it may last.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "net/connection.h"
#include "overload/types.h"

namespace cottonwing::thrift {

class ThriftConnection;

/// The connections of a server, in an order that its ConnectionTable keeps.
using ConnectionList = std::list<std::shared_ptr<ThriftConnection>>;

/// A connection that a listener accepted. It is new until its first whole message, then identified. Besides
/// it may be draining, as it was asked to send no new requests, and reading may be stopped, as it
/// exceeded a limit on errors or on time; then it ends once its open requests are answered.
class ThriftConnection : public std::enable_shared_from_this<ThriftConnection>,
                         private net::ConnectionHandler {
public:
    /// Receives what happens on a connection. Both calls may destroy the connection.
    class Handler {
    public:
        virtual ~Handler() = default;
        /// Bytes were added to the input.
        virtual void inputArrived(ThriftConnection& connection) = 0;
        /// The connection ended by the other side or by an error.
        virtual void connectionEnded(ThriftConnection& connection, net::ConnectionEnd end) = 0;
    };

    /// Takes a connection that waits at a listener.
    /// @param bufferBudget  the bytes that the buffers of all connections share
    ThriftConnection(net::Loop& loop, net::PendingConnection socket, Handler& handler,
                     std::shared_ptr<net::MemoryBudget> bufferBudget);

    // Input.
    net::ByteRing& input() { return connection_.input(); }
    /// Bytes wait in the system that no turn has read yet.
    bool hasUnreadBytes() const { return connection_.hasUnreadBytes(); }
    /// Enough for this turn of the loop: the input is offered again in the next one.
    void deferRead() { connection_.deferRead(); }
    /// The input ends in a part of a message, or is empty.
    /// @param newMessage  whole messages were read before it in this turn
    void noteIncompleteMessage(bool newMessage, Timestamp now);
    /// A message was begun too long ago and is not whole yet.
    bool isMessageOverdue(Timestamp now) const;
    /// Reads nothing more. Requests that are open are still answered: a client's
    /// earlier requests are not lost for one malformed message.
    void stopReading(net::ConnectionEnd reason);
    /// Why reading was stopped, and the connection will end.
    std::optional<net::ConnectionEnd> readingStopped() const { return readingStopped_; }

    // Messages that were refused.
    void addProtocolError() { ++protocolErrors_; }
    /// A completed request resets the count, so that a long-lived connection is not closed for errors far
    /// apart.
    void resetProtocolErrors() { protocolErrors_ = 0; }
    /// The client keeps sending malformed requests, or repeats refused ones at once.
    bool hasTooManyProtocolErrors() const;

    // Open requests, by sequence number.
    bool canOpenRequest(std::int32_t sequence) const;
    void openRequest(std::int32_t sequence, RequestId id) { openRequests_.emplace(sequence, id); }
    /// The request, which is not open any more; nothing when it was not.
    std::optional<RequestId> closeRequest(std::int32_t sequence);
    /// All of them, none of which is open any more.
    std::map<std::int32_t, RequestId> closeAllRequests();
    bool hasOpenRequests() const { return !openRequests_.empty(); }
    /// Nothing is open on it, and nothing has arrived that was not read yet.
    bool isIdle() const;

    // Output.
    /// Writes a frame and watches that the client takes it.
    void send(const std::string& frame);
    bool hasOutput() const { return !connection_.output().empty(); }
    bool isOutputHalfFull() const { return connection_.isOutputHalfFull(); }
    /// Looks whether output was taken since the last look; called at every sweep.
    void observeOutput(Timestamp now);
    /// The client has taken no output for too long.
    bool isOutputStalled(Timestamp now) const;

    // Draining.
    /// Asks the client once to send no new requests. A request that crosses is still served.
    void drain(Timestamp now);
    bool isDraining() const { return drainingSince_.has_value(); }
    /// It was asked long enough ago, is idle, and the client has not closed it.
    bool isDrainOverdue(Timestamp now) const;

    // End.
    /// Before it is destroyed: what the system takes of its output at once still goes.
    void tryFlush() { connection_.tryFlush(); }
    /// Ends in order: output that is on its way still goes. The connection may be destroyed meanwhile.
    /// @param done  called from the loop when its descriptor is free
    void closeGracefully(std::function<void()> done) { connection_.closeGracefully(std::move(done)); }

    bool isIdentified() const { return identified_; }
    Timestamp acceptedAt() const { return acceptedAt_; }
    /// The last message or answer, or its acceptance.
    Timestamp lastUsedAt() const { return lastUsedAt_; }

private:
    friend class ConnectionTable;  // keeps the position, the identification and the time of the last use

    void arrived(net::Connection& connection) override;
    void ended(net::Connection& connection, net::ConnectionEnd end) override;

    Handler& handler_;
    net::Connection connection_;
    ConnectionList::iterator position_;
    bool identified_ = false;
    Timestamp acceptedAt_;
    Timestamp lastUsedAt_;
    std::map<std::int32_t, RequestId> openRequests_;
    std::optional<Timestamp> messageStartedAt_;  // of the message that is not whole yet
    std::optional<Timestamp>
        outputProgressAt_;         // the last sign of output being taken; nothing without output
    std::size_t outputBytes_ = 0;  // at that time
    std::optional<Timestamp> drainingSince_;
    std::optional<net::ConnectionEnd> readingStopped_;
    int protocolErrors_ = 0;
};

}  // namespace cottonwing::thrift
