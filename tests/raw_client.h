// A client on a blocking socket of its own: what it sends lies in the system until the loop turns, so a test
// chooses the order in which the loop finds things.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

#include "net/loop.h"

namespace cottonwing::testing {

// The other side, on a port that the system chooses.
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
    // Waits for the next connection, which the other side has opened.
    int accept() const { return ::accept(listener_, nullptr, nullptr); }

    int port = 0;

private:
    int listener_;
};

class RawClient {
public:
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
    // Takes what has come: more than 0 bytes, 0 at the other side's end, less on nothing or a reset.
    ssize_t receive() {
        char bytes[65536];
        const ssize_t count = ::recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT);
        if (count > 0) received.append(bytes, static_cast<std::size_t>(count));
        if (count == 0) peerClosed = true;
        if (count < 0 && errno != EAGAIN) wasReset = true;
        return count;
    }
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
