/// @file
/// A connection of a soak client, on a socket that is read only on request, so that a client can read slowly,
/// write in pieces or disconnect.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "net/address.h"
#include "support/thrift_frames.h"

namespace cottonwing::soak {

/// A non-blocking client connection outside the event loop.
class ClientConnection {
public:
    enum class State { Connecting, Open, Refused, ClosedByServer, ClosedByClient };

    /// Starts to connect.
    explicit ClientConnection(const net::Address& to);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// Queues bytes.
    /// @param notBefore earliest time at which they are written
    /// @param onWritten called when the last byte has been written to the socket
    void write(const std::string& bytes, Duration notBefore, std::function<void()> onWritten = {});
    /// Writes the bytes that are due, as far as the socket accepts them.
    void writeDue(Duration now);
    /// Reads the available input.
    /// @param onMessage called for each complete message
    /// @return false if the input is malformed
    bool read(const std::function<void(const testing::frames::Message&)>& onMessage);
    /// Updates the state of a connection that is being established.
    void checkConnected();
    /// Records when the server closed the connection, without reading the input before the close.
    void checkEnded();
    /// @param reset closes with a reset instead of gracefully
    void close(bool reset);

    State state() const { return state_; }
    bool isOpen() const { return state_ == State::Open; }
    /// @return its local port and state, for the timeline.
    std::string describe() const;
    bool hasOutput() const { return !output_.empty(); }

    // Maintained by Clients.
    std::int32_t sequence = 0;
    std::map<std::int32_t, std::string> open;  ///< unanswered attempts, by sequence number
    std::map<std::int32_t, std::string> sent;  ///< all attempts, by sequence number
    std::deque<std::string> attempts;          ///< all attempts, in order
    bool receivedGoaway = false;
    bool hasReceivedMessage = false;  ///< at least one message was received
    bool outcomeRecorded = false;
    std::optional<Duration> endedByServerAt;

private:
    struct Piece {
        std::string bytes;
        Duration notBefore;
        std::function<void()> onWritten;
    };
    int socket_ = -1;
    State state_ = State::Connecting;
    std::deque<Piece> output_;
    std::string input_;
};

}  // namespace cottonwing::soak
