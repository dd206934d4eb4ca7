/// @file
/// A TCP connection with one buffer for each direction.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "net/address.h"
#include "net/byte_ring.h"
#include "net/connection_end.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "net/timer.h"

namespace cottonwing::net {

class Channel;
class Connection;

/// What the buffers of a connection may hold.
struct BufferLimits {
    std::size_t inputBytes;
    std::size_t outputBytes;
    std::shared_ptr<MemoryBudget> budget = nullptr;  ///< shared with other connections; none: no common limit
};

/// Hears of the events of a connection. Each function is called from the loop and may destroy the connection.
/// One handler may serve several connections.
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;

    /// Bytes were added to the connection's input, or deferRead() asked for this call. What the handler
    /// does not drop from the input stays there.
    virtual void arrived(Connection& connection) = 0;

    /// The connection has ended by itself; the handler destroys it. Called once, and never because the owner
    /// destroyed or finished the connection.
    virtual void ended(Connection& connection, ConnectionEnd end) = 0;
};

/// A connection that its owner ends by destroying it or by closeGracefully().
class Connection {
public:
    /// Begins to connect. A failure is reported by ended(), never from within the constructor. Bytes may be
    /// sent at once; they are written when the connection has opened.
    /// @param handler has to outlive the connection.
    Connection(Loop& loop, const Address& to, ConnectionHandler& handler, const BufferLimits& limits);

    /// Accepts a connection that waits at a listener.
    /// @throws std::runtime_error when the system refuses.
    Connection(Loop& loop, PendingConnection socket, ConnectionHandler& handler, const BufferLimits& limits);

    /// Closes at once; the handler hears nothing. Output that is not written yet is lost. Over bytes that
    /// were not read the system resets the connection, which takes what the peer has yet to read with it.
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Bytes that have been read and not dropped yet. The connection reads on while there is space.
    ByteRing& input();
    const ByteRing& input() const;
    /// Bytes that wait to be written.
    const ByteRing& output() const;

    /// Appends to the output, which is written at the end of the turn. When it does not fit into the output
    /// buffer, the connection ends there instead, with ConnectionEnd::TooLong.
    void send(std::string_view bytes);

    /// Ends this connection's share of the turn: arrived() is called again in the next turn, also if nothing
    /// more arrives, after other connections have had theirs.
    void deferRead();

    /// Nothing more is read, for good. Output is still written.
    void stopReading();

    /// Whether bytes wait in the system that no turn has read yet.
    bool hasUnreadBytes() const;

    /// Writes what the system takes at once, for use just before the connection is destroyed.
    void tryFlush();

    /// Ends the connection in order. It is the last call: the object is only to be destroyed after it. The
    /// rest of the output is written, then our side is closed; input is dropped until the peer closes its
    /// side too, for 1 second at most.
    /// @param done runs from the loop when the descriptor is free again.
    void closeGracefully(std::function<void()> done);

    /// Whether more of the output buffer is used than free. Until that changes nothing is read.
    bool isOutputHalfFull() const;

    /// Whether it has opened.
    bool isOpen() const;

private:
    friend class Channel;
    Channel* channel_;  // deletes itself once it is closed; none after closeGracefully()
    ConnectionHandler& handler_;
};

}  // namespace cottonwing::net
