#include "net/connection.h"

#include <utility>

#include "net/channel.h"

namespace cottonwing::net {

Connection::Connection(Loop& loop, const Address& to, ConnectionHandler& handler, const BufferLimits& limits)
    : channel_(new Channel(loop, this, limits)), handler_(handler) {
    channel_->connect(to);
}

Connection::Connection(Loop& loop, AcceptedSocket socket, ConnectionHandler& handler,
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

void Connection::readOnLater() { channel_->deferRead(); }

void Connection::stopReading() { channel_->stopInput(); }

bool Connection::hasUnread() const { return channel_->hasUnreadBytes(); }

void Connection::writeLast() { channel_->writeWhatFits(); }

void Connection::finish(std::function<void()> done) {
    std::exchange(channel_, nullptr)->finish(std::move(done));
}

bool Connection::halfFull() const { return channel_->outputHalfFull(); }

bool Connection::isOpen() const { return channel_->isConnected(); }

}  // namespace cottonwing::net
