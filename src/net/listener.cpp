#include "net/listener.h"

#include <stdexcept>
#include <utility>

#include "net/listener_handle.h"
#include "net/uv_support.h"

namespace cottonwing::net {

namespace {

constexpr int kBacklogConnections = 511;  // the length of the system's accept queue

}  // namespace

void ListenerHandle::acceptPendingUnlessFull() {
    hasPendingConnection = isFull();
    // A connection that is not accepted stays in the system's accept queue, and libuv stops polling the
    // listening socket until it is accepted.
    if (!hasPendingConnection) onConnection(PendingConnection(*this));
}

Listener::Listener(Loop& loop, const Address& address, std::function<void(PendingConnection)> onConnection,
                   std::function<bool()> isFull)
    : handle_(new ListenerHandle{{}, std::move(onConnection), std::move(isFull)}) {
    uv_tcp_init(loop.uvLoop(), &handle_->tcp);
    handle_->tcp.data = handle_;
    const sockaddr_in bindTo = socketAddress(address);
    int error = uv_tcp_bind(&handle_->tcp, reinterpret_cast<const sockaddr*>(&bindTo), 0);
    if (error == 0) {
        error = uv_listen(asStream(handle_->tcp), kBacklogConnections, [](uv_stream_t* stream, int status) {
            if (status != 0) return;  // no descriptors left: libuv has closed the pending connection
            auto* handle = static_cast<ListenerHandle*>(stream->data);
            Loop::of(stream->loop).runGuarded([handle] { handle->acceptPendingUnlessFull(); });
        });
    }
    if (error == 0) return;
    closeThenDelete<ListenerHandle>(asHandle(handle_->tcp));
    throw std::runtime_error("can't listen on " + address.host + ":" + std::to_string(address.port) + ": " +
                             uv_strerror(error));
}

Listener::~Listener() { closeThenDelete<ListenerHandle>(asHandle(handle_->tcp)); }

void Listener::resume() {
    if (std::exchange(handle_->hasPendingConnection, false)) handle_->acceptPendingUnlessFull();
}

int Listener::port() const {
    sockaddr_in address{};
    int length = sizeof address;
    uv_tcp_getsockname(&handle_->tcp, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

}  // namespace cottonwing::net
