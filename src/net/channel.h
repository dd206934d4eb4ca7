/// @file
/// Internal to net: the handle and the buffers behind a Connection.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "net/byte_ring.h"
#include "net/connection.h"

namespace cottonwing::net {

/// The part of a connection that outlives the Connection object: libuv uses the handle and the buffers until
/// the close callback has run, and a connection that closes gracefully still writes its output after the
/// Connection was destroyed. A channel is created by its Connection and deletes itself in the close callback.
///
/// Any call of the handler may destroy the Connection and thereby close the channel; the channel itself is
/// deleted only in a later turn of the loop.
class Channel {
public:
    Channel(Loop& loop, Connection* connection, const BufferLimits& limits);

    /// Starts to connect. A failure is reported to the handler at the end of the turn or later, never from
    /// within this call.
    void connect(const Address& address);
    /// Accepts the pending connection of the listener.
    /// @throws std::runtime_error after closing the channel, if the system call fails.
    void accept(ListenerHandle& listener);

    /// Appends to the output, which is written at the end of the turn. If the bytes do not fit, the
    /// connection ends at that point instead, with ConnectionEnd::TooLong or OutOfMemory.
    void send(std::string_view bytes);
    /// Writes as much output as the socket accepts without blocking. Unlike flush(), reports no errors and
    /// does not schedule the rest.
    void tryFlush();
    /// Writes the output, the rest of it as soon as the socket becomes writable. Called at the end of a turn.
    void flush();

    /// Pauses reading until the next turn, in which arrived() is called even if no more bytes were received.
    void deferRead();
    /// Called by the loop in the turn after deferRead().
    void resumeDeferredRead();
    /// Pauses reading until all output is written, as deferRead() does until the next turn.
    void deferReadUntilWritten();
    /// Pauses reading until resumeInput().
    void pauseInput();
    void resumeInput();
    /// Stops reading for good.
    void stopInput();

    /// Detaches from the Connection and closes gracefully (see Connection::closeGracefully()).
    void closeGracefully(std::function<void()> onClosed);
    /// Closes the handle at once. Idempotent.
    void close();
    /// Closes at once by a reset (see Connection::closeWithReset()).
    void closeWithReset();

    ByteRing& input() { return input_; }
    const ByteRing& output() const { return output_; }
    /// Whether more than half of the output buffer is in use.
    bool isOutputHalfFull() const { return output_.size() > output_.freeBytes(); }
    bool isConnected() const { return connected_; }
    /// Whether the peer has closed or reset the connection.
    bool hasPeerClosed() const;
    /// Discards bytes in the socket's receive buffer, up to 1 MiB.
    void discardReceived() const;
    /// Whether the socket's receive buffer holds bytes that have not been read yet.
    bool hasUnreadBytes() const;

private:
    enum class State {
        Connecting,  // not readable or writable yet
        Open,
        Closing,  // detached from its Connection: output is written, input discarded
        Closed    // waiting for libuv's close callback
    };

    ~Channel() = default;
    void resumeReading();
    void pauseReading();
    void onConnected(int status);
    void onRead(ssize_t count);
    void noInputSpace();
    void discardInput(ssize_t count);
    void requestFlush();
    int tryWrite();
    void startWrite();
    void onWritten(int status);
    void outputWritten();
    void shutdownOutput();
    /// @return whether the handle has to be closed; false if it already is.
    bool beginClose();
    static void onClosed(uv_handle_t* closed);
    void onOutputShutDown(int status);
    void fail(ConnectionEnd end);

    uv_tcp_t tcp_;
    uv_connect_t connectRequest_;
    uv_write_t writeRequest_;
    uv_shutdown_t shutdownRequest_;
    Loop& loop_;
    Connection* connection_;  // null while closing or closed
    ByteRing input_;
    ByteRing output_;

    State state_ = State::Connecting;
    bool connected_ = false;                   // stays true once the connection was open
    std::optional<ConnectionEnd> pendingEnd_;  // a failure for flush() to report

    bool reading_ = false;
    bool readDeferred_ = false;               // until the next turn
    bool inReadQueue_ = false;                // resumeDeferredRead() is scheduled
    bool inputPaused_ = false;                // until resumeInput()
    bool inputStopped_ = false;               // permanently
    bool inFlushQueue_ = false;               // flush() is scheduled
    bool writePending_ = false;               // the socket was not writable; libuv writes when it is
    std::size_t pendingBytes_ = 0;            // size of that write
    std::shared_ptr<char[]> pendingStorage_;  // the storage that it reads from

    // While closing gracefully.
    bool shutdownRequested_ = false;
    bool outputShutDown_ = false;        // our side is shut down, after the last byte of output
    bool peerClosed_ = false;            // the peer has shut down its side
    std::unique_ptr<Timer> closeTimer_;  // limits the wait for the peer to close
    std::function<void()> onClosed_;
};

}  // namespace cottonwing::net
