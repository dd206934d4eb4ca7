/// @file
/// A TCP connection with an input and an output buffer.
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

/// The capacity limits of a connection's buffers.
struct BufferLimits {
    std::size_t inputBytes;
    std::size_t outputBytes;
    std::shared_ptr<MemoryBudget> budget = nullptr;  ///< shared with other connections; null: no shared limit
    /// Parts of the budget that are set aside for this connection, see ByteRing.
    std::size_t guaranteedInputBytes = 0;
    std::size_t guaranteedOutputBytes = 0;
};

/// Receives the events of a connection. Each function is called from the event loop and may destroy the
/// connection. One handler may serve several connections.
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;

    /// Called when bytes were added to the connection's input, or as requested by deferRead(). Bytes that the
    /// handler does not drop from the input stay there.
    virtual void arrived(Connection& connection) = 0;

    /// Called when the peer or an error has ended the connection; the handler has to destroy it. Called at
    /// most once, and never after the owner has destroyed the connection or called closeGracefully().
    virtual void ended(Connection& connection, ConnectionEnd end) = 0;

    /// Called when the budget that the connection shares does not allow its input to grow. The handler either
    /// makes room, after which reading goes on, calls pauseReading(), or destroys the connection.
    virtual void inputStarved(Connection& connection) { ended(connection, ConnectionEnd::OutOfMemory); }
};

/// A TCP connection. The owner closes it at once by destroying it, or gracefully with closeGracefully().
class Connection {
public:
    /// Starts to connect. A failure is reported through ConnectionHandler::ended(), never from within the
    /// constructor. send() may be called immediately; the bytes are written once the connection is open.
    /// @param handler must outlive the connection.
    Connection(Loop& loop, const Address& to, ConnectionHandler& handler, const BufferLimits& limits);

    /// Accepts a pending connection of a listener.
    /// @throws std::runtime_error if the system call fails.
    Connection(Loop& loop, PendingConnection socket, ConnectionHandler& handler, const BufferLimits& limits);

    /// Closes at once, without calling the handler. Output that is not written yet is lost. If received bytes
    /// were not read, the system resets the connection, which also discards output that the peer has not read
    /// yet.
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Received bytes that have not been dropped yet. Reading continues while the buffer has space.
    ByteRing& input();
    const ByteRing& input() const;
    /// Bytes that have not been written yet.
    const ByteRing& output() const;

    /// Appends to the output, which is written at the end of the turn. If the bytes do not fit into the
    /// output buffer, the connection ends at that point instead, with ConnectionEnd::TooLong or OutOfMemory.
    void send(std::string_view bytes);

    /// Pauses reading until the next turn, so that other connections are served first. arrived() is called
    /// again in that turn, even if no more bytes were received.
    void deferRead();

    /// Pauses reading until resumeReading().
    void pauseReading();
    void resumeReading();

    /// Pauses reading until all output is written. Then arrived() is called again, even if no more bytes were
    /// received.
    void deferReadUntilWritten();

    /// Whether send() would take this many bytes.
    bool canSend(std::size_t bytes) const;

    /// Stops reading for good. Output is still written.
    void stopReading();

    /// Whether the socket's receive buffer holds bytes that have not been read yet.
    bool hasUnreadBytes() const;

    /// Whether the peer has closed or reset the connection, also while bytes that it sent before are unread.
    bool hasPeerClosed() const;

    /// Discards received bytes that have not been read, for use just before the connection is destroyed: with
    /// unread bytes the system would reset the connection.
    void discardReceived();

    /// Writes as much output as the socket accepts without blocking, for use just before the connection is
    /// destroyed. Errors are not reported.
    void tryFlush();

    /// Closes the connection gracefully: writes the remaining output, shuts down our side, then discards
    /// input until the peer closes its side, for at most 1 second. After this call the object may only be
    /// destroyed; destroying it does not interrupt the graceful close.
    /// @param done called from the loop once the descriptor has been released.
    void closeGracefully(std::function<void()> done);

    /// Closes at once, as the destructor does, but always by a reset: the system forgets the connection and
    /// its local port can be used again, where a close would keep the port for a minute. After this call the
    /// object may only be destroyed.
    void closeWithReset();

    /// Whether more than half of the output buffer is in use. While it is, nothing is read.
    bool isOutputHalfFull() const;

    /// Whether the connection has been established.
    bool isOpen() const;

private:
    friend class Channel;
    Channel* channel_;  // deletes itself once it is closed; null after closeGracefully() or closeWithReset()
    ConnectionHandler& handler_;
};

}  // namespace cottonwing::net
