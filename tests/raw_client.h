/// @file
/// A client on a blocking socket outside the event loop: what it sends stays in the kernel until the loop
/// runs, so a test controls the order in which the loop finds events.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

#include "net/loop.h"

namespace cottonwing::testing {

/// A listener on a port chosen by the operating system.
class RawServer {
public:
    RawServer() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
        EXPECT_EQ(::listen(listener_, 16), 0);
        socklen_t size = sizeof at;
        EXPECT_EQ(::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size), 0);
        port = ntohs(at.sin_port);
    }
    ~RawServer() { ::close(listener_); }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;
    /// Accepts the next connection.
    /// @return its socket.
    int accept() const { return ::accept(listener_, nullptr, nullptr); }

    int port = 0;

private:
    int listener_;
};

/// One connection, opened by the client or accepted by a RawServer.
class RawClient {
public:
    /// The socket of an accepted connection.
    struct Accepted {
        int socket;
    };
    explicit RawClient(Accepted accepted) : socket_(accepted.socket) {}
    explicit RawClient(int port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    }
    ~RawClient() { close(); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    void send(const std::string& bytes) const {
        EXPECT_EQ(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }
    /// Reads the available bytes without blocking.
    /// @return their number; 0 once the peer has closed the connection; negative without input or after a
    /// reset.
    ssize_t receive() {
        char bytes[65536];
        const ssize_t count = ::recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count > 0) received.append(bytes, static_cast<std::size_t>(count));
        if (count == 0) peerClosed = true;
        if (count < 0 && errno != EAGAIN) wasReset = true;
        return count;
    }
    /// Reads all available bytes.
    /// @return whether the peer has closed or reset the connection.
    bool hasEnded() {
        while (receive() > 0) {
        }
        return peerClosed || wasReset;
    }
    void close() {
        if (socket_ >= 0) ::close(socket_);
        socket_ = -1;
    }

    std::string received;
    bool peerClosed = false, wasReset = false;

private:
    int socket_;
};

}  // namespace cottonwing::testing
