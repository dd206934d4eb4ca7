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

/// What of a connection has to outlive the Connection object: libuv uses the handle and the buffers until its
/// close callback has run, and a connection that ends in order still writes its output when its owner has
/// gone. A channel is created by its Connection and deletes itself in the close callback.
///
/// Any call of the handler may destroy the Connection, and with that close the channel; the channel itself is
/// deleted only in a later turn.
class Channel {
public:
    Channel(Loop& loop, Connection* connection, const BufferLimits& limits);

    /// Begins to connect. A failure is reported to the handler at the end of the turn.
    void connect(const Address& address);
    /// Takes over the connection that waits at the listener. Closes the channel when it throws.
    void accept(ListenerHandle& listener);

    /// Appends to the output, which is written at the end of the turn. Where it does not fit the connection
    /// ends there instead, with ConnectionEnd::TooLong.
    void send(std::string_view bytes);
    /// Writes what the system takes at once. Unlike flush() it reports no error.
    void tryFlush();
    /// Writes what the system takes now, and goes on when it takes more; called at the end of a turn.
    void flush();

    /// Stops reading until the next turn, in which the handler is called even if no byte arrives.
    void deferRead();
    /// The loop's answer to deferRead(), in the next turn.
    void resumeDeferredRead();
    /// Nothing more is read for the handler.
    void stopInput();

    /// Ends in order, without an owner from here on (see Connection::closeGracefully).
    void closeGracefully(std::function<void()> onClosed);
    /// Closes the handle at once; a second call does nothing.
    void close();

    ByteRing& input() { return input_; }
    const ByteRing& output() const { return output_; }
    /// Whether more of the output buffer is used than free.
    bool isOutputHalfFull() const { return output_.size() > output_.freeBytes(); }
    bool isConnected() const { return connected_; }
    /// Whether bytes wait in the system that no turn has read yet.
    bool hasUnreadBytes() const;

private:
    enum class State {
        Connecting,  // no byte can be read or written yet
        Open,
        Closing,  // its owner has gone: the output is written, the input dropped
        Closed    // waits for libuv's close callback
    };

    ~Channel() = default;
    void resumeReading();
    void pauseReading();
    void onConnected(int status);
    void onRead(ssize_t count);
    void discardInput(ssize_t count);
    void requestFlush();
    int tryWrite();
    void startWrite();
    void onWritten(int status);
    void outputWritten();
    void shutdownOutput();
    void onOutputShutDown(int status);
    void fail(ConnectionEnd end);

    uv_tcp_t tcp_;
    uv_connect_t connectRequest_;
    uv_write_t writeRequest_;
    uv_shutdown_t shutdownRequest_;
    Loop& loop_;
    Connection* connection_;  // none while finishing or closed
    ByteRing input_;
    ByteRing output_;

    State state_ = State::Connecting;
    bool connected_ = false;                   // it has been open, and stays true
    std::optional<ConnectionEnd> pendingEnd_;  // a failure that flush() reports

    bool reading_ = false;
    bool readDeferred_ = false;               // until the next turn
    bool inReadQueue_ = false;                // the loop will call resumeDeferredRead()
    bool inputStopped_ = false;               // for good
    bool inFlushQueue_ = false;               // the loop will call flush()
    bool writePending_ = false;               // the system took less than all; libuv writes the rest
    std::size_t pendingBytes_ = 0;            // of that write
    std::shared_ptr<char[]> pendingStorage_;  // that it reads from

    // While finishing.
    bool shutdownRequested_ = false;
    bool outputShutDown_ = false;  // our side of the connection is closed, behind the last byte of output
    bool peerClosed_ = false;      // so is the peer's
    std::unique_ptr<Timer> closeTimer_;  // limits the wait for the peer's end
    std::function<void()> onClosed_;
};

}  // namespace cottonwing::net
