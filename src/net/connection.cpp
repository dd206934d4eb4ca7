#include "net/connection.h"

#include <utility>

#include "net/channel.h"

namespace cottonwing::net {

Connection::Connection(Loop& loop, const Address& to, ConnectionHandler& handler, const BufferLimits& limits)
    : channel_(new Channel(loop, this, limits)), handler_(handler) {
    channel_->connect(to);
}

Connection::Connection(Loop& loop, PendingConnection socket, ConnectionHandler& handler,
                       const BufferLimits& limits)
    : channel_(new Channel(loop, this, limits)), handler_(handler) {
    channel_->accept(*socket.listener_);
}

Connection::~Connection() {
    if (channel_ != nullptr) channel_->close();
}

ByteRing& Connection::input() { return channel_->input(); }

const ByteRing& Connection::input() const { return channel_->input(); }

const ByteRing& Connection::output() const { return channel_->output(); }

void Connection::send(std::string_view bytes) { channel_->send(bytes); }

void Connection::deferRead() { channel_->deferRead(); }

void Connection::pauseReading() { channel_->pauseInput(); }

void Connection::resumeReading() { channel_->resumeInput(); }

void Connection::deferReadUntilWritten() { channel_->deferReadUntilWritten(); }

bool Connection::canSend(std::size_t bytes) const { return channel_->output().canWrite(bytes); }

void Connection::stopReading() { channel_->stopInput(); }

bool Connection::hasUnreadBytes() const { return channel_->hasUnreadBytes(); }

bool Connection::hasPeerClosed() const { return channel_->hasPeerClosed(); }

void Connection::discardReceived() { channel_->discardReceived(); }

void Connection::tryFlush() { channel_->tryFlush(); }

void Connection::closeGracefully(std::function<void()> done) {
    std::exchange(channel_, nullptr)->closeGracefully(std::move(done));
}

void Connection::closeWithReset() { std::exchange(channel_, nullptr)->closeWithReset(); }

bool Connection::isOutputHalfFull() const { return channel_->isOutputHalfFull(); }

bool Connection::isOpen() const { return channel_->isConnected(); }

}  // namespace cottonwing::net
