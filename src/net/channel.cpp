#include "net/channel.h"

#include <poll.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <utility>

#include "net/listener_handle.h"
#include "net/uv_support.h"

namespace cottonwing::net {

namespace {

// The system ends an accepted connection whose host is gone some 10 s after this time without a byte.
constexpr unsigned kKeepaliveSeconds = 30;

constexpr std::size_t kMaxDiscardedBytes = 1 << 20;

// A peer normally closes its side as soon as it reads our end of stream; a peer that does not is not waited
// for any longer.
constexpr Duration kCloseTimeout = std::chrono::seconds(1);

}  // namespace

Channel::Channel(Loop& loop, Connection* connection, const BufferLimits& limits)
    : loop_(loop),
      connection_(connection),
      input_(limits.inputBytes, limits.budget, limits.guaranteedInputBytes),
      output_(limits.outputBytes, limits.budget, limits.guaranteedOutputBytes) {
    uv_tcp_init(loop_.uvLoop(), &tcp_);
    tcp_.data = this;
    connectRequest_.data = this;
    writeRequest_.data = this;
    shutdownRequest_.data = this;
}

void Channel::connect(const Address& address) {
    const sockaddr_in peer = socketAddress(address);
    uv_tcp_nodelay(&tcp_, 1);
    const int error =
        uv_tcp_connect(&connectRequest_, &tcp_, reinterpret_cast<const sockaddr*>(&peer),
                       [](uv_connect_t* request, int status) {
                           auto* self = static_cast<Channel*>(request->data);
                           self->loop_.runGuarded([self, status] { self->onConnected(status); });
                       });
    if (error == 0) return;
    // For example, no file descriptor is available. Reported at the end of the turn, because the Connection
    // is still being constructed.
    pendingEnd_ = ConnectionEnd::ConnectRefused;
    requestFlush();
}

void Channel::accept(ListenerHandle& listener) {
    const int error = uv_accept(asStream(listener.tcp), asStream(tcp_));
    if (error != 0) {
        close();
        throw std::runtime_error(std::string("can't accept connection: ") + uv_strerror(error));
    }
    uv_tcp_nodelay(&tcp_, 1);
    uv_tcp_keepalive(&tcp_, 1, kKeepaliveSeconds);
    state_ = State::Open;
    connected_ = true;
    resumeReading();
}

void Channel::onConnected(int status) {
    if (state_ != State::Connecting) return;
    if (status != 0) return fail(ConnectionEnd::ConnectRefused);
    state_ = State::Open;
    connected_ = true;
    resumeReading();
    if (!output_.empty()) requestFlush();
}

// A peer that does not read our output is not read from either: see isOutputHalfFull().
void Channel::resumeReading() {
    if (reading_ || !connected_ || state_ == State::Closed) return;
    const bool closing = state_ == State::Closing;
    if (closing && peerClosed_) return;
    if (!closing && (inputStopped_ || inputPaused_ || readDeferred_ || isOutputHalfFull())) return;
    reading_ = true;
    uv_read_start(
        asStream(tcp_),
        [](uv_handle_t* handle, std::size_t /*suggestedBytes*/, uv_buf_t* buffer) {
            const auto space = static_cast<Channel*>(handle->data)->input_.prepare();
            *buffer = uv_buf_init(space.data(), static_cast<unsigned>(space.size()));
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* /*buffer*/) {
            auto* self = static_cast<Channel*>(stream->data);
            self->loop_.runGuarded([self, count] { self->onRead(count); });
        });
}

void Channel::pauseReading() {
    if (!reading_) return;
    reading_ = false;
    uv_read_stop(asStream(tcp_));
}

void Channel::onRead(ssize_t count) {
    if (count == 0) return;  // libuv's equivalent of EAGAIN
    if (state_ == State::Closing) return discardInput(count);
    if (count == UV_EOF) return fail(ConnectionEnd::PeerClosed);
    if (count == UV_ENOBUFS) return noInputSpace();
    if (count < 0) return fail(ConnectionEnd::Reset);
    input_.commit(static_cast<std::size_t>(count));
    if (connection_ != nullptr) connection_->handler_.arrived(*connection_);
}

// The input buffer is full, or the budget that it shares does not allow it to grow.
void Channel::noInputSpace() {
    if (input_.freeBytes() == 0) return fail(ConnectionEnd::TooLong);
    if (connection_ != nullptr) connection_->handler_.inputStarved(*connection_);
}

// While closing: a request that is read now could no longer be answered.
void Channel::discardInput(ssize_t count) {
    if (count > 0) {
        input_.commit(static_cast<std::size_t>(count));
        return input_.drop(input_.size());
    }
    if (count != UV_EOF) return close();
    pauseReading();
    peerClosed_ = true;
    if (outputShutDown_) close();
}

// Keeps a peer that never stops sending from starving the others: it is read again in the next turn, after
// them.
void Channel::deferRead() {
    if (readDeferred_ || state_ == State::Closed) return;
    pauseReading();
    readDeferred_ = true;
    inReadQueue_ = true;
    loop_.readInNextTurn(this);
}

void Channel::resumeDeferredRead() {
    inReadQueue_ = false;
    if (isOutputHalfFull()) return;  // outputWritten() schedules it again once the output is flushed
    readDeferred_ = false;
    resumeReading();
    if (connection_ != nullptr) connection_->handler_.arrived(*connection_);
}

void Channel::deferReadUntilWritten() {
    if (output_.empty()) return deferRead();
    if (state_ == State::Closed) return;
    pauseReading();
    readDeferred_ = true;  // outputWritten() schedules the reading
}

void Channel::pauseInput() {
    inputPaused_ = true;
    pauseReading();
}

void Channel::resumeInput() {
    inputPaused_ = false;
    resumeReading();
}

void Channel::stopInput() {
    inputStopped_ = true;
    pauseReading();
}

bool Channel::hasUnreadBytes() const {
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &descriptor) != 0) return false;
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// The end of the stream can be read only after all bytes before it; POLLRDHUP tells it at once.
bool Channel::hasPeerClosed() const {
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &descriptor) != 0) return true;
    pollfd polled{descriptor, POLLRDHUP, 0};
    return poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Channel::discardReceived() const {
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &descriptor) != 0) return;
    // MSG_TRUNC: the bytes are not copied.
    recv(descriptor, nullptr, kMaxDiscardedBytes, MSG_TRUNC | MSG_DONTWAIT);
}

void Channel::send(std::string_view bytes) {
    const bool isTooLong = bytes.size() > output_.freeBytes();
    const bool fits = output_.write(bytes);
    if (!fits && !pendingEnd_) pendingEnd_ = isTooLong ? ConnectionEnd::TooLong : ConnectionEnd::OutOfMemory;
    if (isOutputHalfFull()) pauseReading();
    requestFlush();
}

void Channel::requestFlush() {
    if (inFlushQueue_) return;
    inFlushQueue_ = true;
    loop_.flushAtEndOfTurn(this);
}

// Writes the first contiguous part of the output without blocking. Returns the number of bytes written or a
// libuv error code.
int Channel::tryWrite() {
    const uv_buf_t buffer = bufferOf(output_.front());
    const int taken = uv_try_write(asStream(tcp_), &buffer, 1);
    if (taken > 0) output_.drop(static_cast<std::size_t>(taken));
    return taken;
}

void Channel::tryFlush() {
    if (!connected_ || state_ == State::Closed || writePending_ || pendingEnd_) return;
    while (!output_.empty())
        if (tryWrite() <= 0) return;
}

void Channel::flush() {
    inFlushQueue_ = false;
    if (pendingEnd_) return fail(*pendingEnd_);
    if (!connected_ || state_ == State::Closed || writePending_) return;
    while (!output_.empty()) {
        const int taken = tryWrite();
        if (taken > 0) continue;
        if (taken != UV_EAGAIN) return fail(ConnectionEnd::Reset);
        return startWrite();
    }
    outputWritten();
}

// The socket is not writable: libuv writes the first contiguous part when it becomes writable.
void Channel::startWrite() {
    const std::string_view piece = output_.front();
    const uv_buf_t buffer = bufferOf(piece);
    pendingStorage_ = output_.pin();
    pendingBytes_ = piece.size();
    writePending_ = true;
    uv_write(&writeRequest_, asStream(tcp_), &buffer, 1, [](uv_write_t* request, int status) {
        auto* self = static_cast<Channel*>(request->data);
        self->loop_.runGuarded([self, status] { self->onWritten(status); });
    });
}

void Channel::onWritten(int status) {
    writePending_ = false;
    pendingStorage_.reset();
    if (state_ == State::Closed) return;
    if (status != 0) return fail(ConnectionEnd::Reset);
    output_.drop(pendingBytes_);
    flush();
    resumeReading();
}

void Channel::outputWritten() {
    if (state_ == State::Closing) return shutdownOutput();
    if (readDeferred_ && !inReadQueue_) {
        inReadQueue_ = true;
        loop_.readInNextTurn(this);
    }
    resumeReading();
}

void Channel::closeGracefully(std::function<void()> onClosed) {
    onClosed_ = std::move(onClosed);
    connection_ = nullptr;
    state_ = State::Closing;
    readDeferred_ = false;
    closeTimer_ = std::make_unique<Timer>(loop_, [this] { close(); });
    // A connection that was never open has nothing to flush. It is closed by the timer as well, so never from
    // within this call.
    closeTimer_->start(connected_ ? kCloseTimeout : Duration(0));
    loop_.addClosing(this);
    input_.drop(input_.size());
    resumeReading();
    requestFlush();
}

void Channel::shutdownOutput() {
    if (std::exchange(shutdownRequested_, true)) return;
    const int error = uv_shutdown(&shutdownRequest_, asStream(tcp_), [](uv_shutdown_t* request, int status) {
        static_cast<Channel*>(request->data)->onOutputShutDown(status);
    });
    if (error != 0) closeTimer_->start(Duration(0));
}

void Channel::onOutputShutDown(int status) {
    outputShutDown_ = true;
    const bool waitsForPeer = status == 0 && !peerClosed_;
    if (state_ == State::Closed || waitsForPeer) return;
    loop_.runGuarded([this] { close(); });
}

void Channel::close() {
    if (beginClose()) uv_close(asHandle(tcp_), &Channel::onClosed);
}

void Channel::closeWithReset() {
    if (!beginClose()) return;
    // Fails, for example, on a socket that does not support the option; the close must not.
    if (uv_tcp_close_reset(&tcp_, &Channel::onClosed) != 0) uv_close(asHandle(tcp_), &Channel::onClosed);
}

bool Channel::beginClose() {
    if (state_ == State::Closed) return false;
    const bool isReferencedByLoop = inFlushQueue_ || inReadQueue_ || state_ == State::Closing;
    state_ = State::Closed;
    connection_ = nullptr;
    closeTimer_.reset();
    if (isReferencedByLoop) loop_.remove(this);
    // At once, as others may wait for the memory. A pending write keeps the storage that it reads from.
    input_.release();
    output_.release();
    return true;
}

void Channel::onClosed(uv_handle_t* closed) {
    auto* self = static_cast<Channel*>(closed->data);
    const auto onClosed = std::move(self->onClosed_);
    Loop& loop = self->loop_;
    delete self;
    if (onClosed) loop.runGuarded(onClosed);
}

void Channel::fail(ConnectionEnd end) {
    if (state_ == State::Closing) return close();
    if (connection_ == nullptr) return;
    Connection& connection = *connection_;
    connection.handler_.ended(connection, end);
}

}  // namespace cottonwing::net
