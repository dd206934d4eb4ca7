/// @file
/// A connection of a soak's client, on a socket of its own that is read only when asked to: a client may be
/// slow, write in pieces, or break off.
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

class ClientConnection {
public:
    enum class State { Connecting, Open, Refused, ClosedByServer, ClosedByClient };

    /// Begins to connect.
    explicit ClientConnection(const net::Address& to);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// Queues bytes; from this time on they may be written.
    /// @param onWritten runs once the system has taken the last of them.
    void write(const std::string& bytes, Duration notBefore, std::function<void()> onWritten = {});
    /// Writes what is due and the system takes.
    void writeDue(Duration now);
    /// Reads what lies there and passes whole messages on.
    /// @param onMessage of each; @return whether all could be read
    bool read(const std::function<void(const testing::frames::Message&)>& onMessage);
    /// Notices that it has opened or was refused.
    void checkConnected();
    /// Notices that the server has ended the connection, without reading what lies before its end.
    void checkEnded();
    /// @param reset by a reset instead of an orderly close
    void close(bool reset);

    State state() const { return state_; }
    bool isOpen() const { return state_ == State::Open; }
    /// @return its local port, and what has happened on it.
    std::string describe() const;
    bool hasOutput() const { return !output_.empty(); }

    // Kept by its client.
    std::int32_t sequence = 0;
    std::map<std::int32_t, std::string> open;  ///< attempts that wait, by sequence number
    std::map<std::int32_t, std::string> sent;  ///< all attempts
    std::deque<std::string> attempts;          ///< all attempts, in order
    bool receivedGoaway = false;
    bool hasReceivedMessage = false;  ///< a message has come
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
