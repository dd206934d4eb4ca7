#include "soak/client_connection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <exception>

#include "net/clock.h"

namespace cottonwing::soak {

namespace {
constexpr std::size_t kFrameHeaderBytes = 4;
constexpr std::size_t kMaxFrameBytes = 1 << 20;  // larger than any answer of this service
}  // namespace

ClientConnection::ClientConnection(const net::Address& to)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(to.port));
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        state_ = State::Open;
    else if (errno != EINPROGRESS)
        state_ = State::Refused;
}

ClientConnection::~ClientConnection() {
    if (socket_ >= 0) ::close(socket_);
}

void ClientConnection::checkConnected() {
    if (state_ != State::Connecting) return;
    pollfd ready{socket_, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0) return;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    state_ = error == 0 ? State::Open : State::Refused;
}

void ClientConnection::write(const std::string& bytes, Duration notBefore, std::function<void()> onWritten) {
    output_.push_back({bytes, notBefore, std::move(onWritten)});
}

void ClientConnection::writeDue(Duration now) {
    while (isOpen() && !output_.empty() && output_.front().notBefore <= now) {
        Piece& piece = output_.front();
        const ssize_t count = send(socket_, piece.bytes.data(), piece.bytes.size(), MSG_NOSIGNAL);
        if (count < 0) return;  // the buffer is full, or read() reports the end
        piece.bytes.erase(0, static_cast<std::size_t>(count));
        if (!piece.bytes.empty()) return;
        const auto onWritten = std::move(piece.onWritten);
        output_.pop_front();
        if (onWritten) onWritten();
    }
}

bool ClientConnection::read(const std::function<void(const testing::frames::Message&)>& onMessage) {
    char bytes[65536];
    while (isOpen()) {
        const ssize_t count = recv(socket_, bytes, sizeof bytes, 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) break;
        if (count <= 0)
            state_ = State::ClosedByServer;
        else
            input_.append(bytes, static_cast<std::size_t>(count));
    }
    while (input_.size() >= kFrameHeaderBytes) {
        std::size_t length = 0;
        for (std::size_t at = 0; at < kFrameHeaderBytes; ++at)
            length = length << 8 | static_cast<unsigned char>(input_[at]);
        if (length > kMaxFrameBytes) return false;
        if (input_.size() < kFrameHeaderBytes + length) return true;
        const std::string frame = input_.substr(kFrameHeaderBytes, length);
        input_.erase(0, kFrameHeaderBytes + length);
        hasReceivedMessage = true;
        try {
            onMessage(testing::frames::readMessage(frame));
        } catch (const std::exception&) {
            return false;
        }
    }
    return true;
}

std::string ClientConnection::describe() const {
    sockaddr_in local{};
    socklen_t size = sizeof local;
    getsockname(socket_, reinterpret_cast<sockaddr*>(&local), &size);
    return "port " + std::to_string(ntohs(local.sin_port)) + " (" + std::to_string(attempts.size()) +
           " attempts, " + std::to_string(open.size()) + " open, " + std::to_string(output_.size()) +
           " pieces unwritten" + (hasReceivedMessage ? ", served" : "") + (receivedGoaway ? ", goaway" : "") +
           ")";
}

void ClientConnection::checkEnded() {
    if (!isOpen() || endedByServerAt) return;
    pollfd end{socket_, POLLRDHUP, 0};
    if (poll(&end, 1, 0) > 0) endedByServerAt = net::unixNow();
}

void ClientConnection::close(bool reset) {
    if (socket_ < 0) return;
    if (reset) {
        const linger atOnce{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    }
    ::close(socket_);
    socket_ = -1;
    state_ = State::ClosedByClient;
}

}  // namespace cottonwing::soak
