#include "net/connection.h"

#include <sys/socket.h>

#include <stdexcept>
#include <utility>

#include "net/channel.h"

namespace cottonwing::net {

namespace {

sockaddr_in socketAddress(const Address& address) {
    sockaddr_in result{};
    if (uv_ip4_addr(address.host.c_str(), address.port, &result) != 0)
        throw std::runtime_error("address " + address.host + " can't be read");
    return result;
}

uv_stream_t* stream(uv_tcp_t& tcp) { return reinterpret_cast<uv_stream_t*>(&tcp); }

// The other side ends its own as soon as it reads that we did; one that does not is not waited for longer.
constexpr Duration kFinish = std::chrono::seconds(1);

}  // namespace

Channel::Channel(Loop& theLoop, Connection* theOwner, const Bounds& bounds)
    : loop(theLoop), owner(theOwner), in(bounds.in, bounds.total), out(bounds.out, bounds.total) {
    uv_tcp_init(loop.raw(), &tcp);
    tcp.data = connecting.data = writing.data = shutting.data = this;
}

void Channel::read() {
    if (reading || closing || !open) return;
    if (finishing ? peerEnded : deaf || waits || halfFull()) return;
    reading = true;
    uv_read_start(
        stream(tcp),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            const auto space = static_cast<Channel*>(handle->data)->in.space();
            *buffer = uv_buf_init(space.data(), static_cast<unsigned>(space.size()));
        },
        [](uv_stream_t* handle, ssize_t count, const uv_buf_t*) {
            auto* self = static_cast<Channel*>(handle->data);
            self->loop.guarded([self, count] {
                if (count == 0) return;
                if (self->finishing) return self->dropped(count);
                if (count == UV_EOF) return self->fail(ConnectionEnd::PeerClosed);
                if (count == UV_ENOBUFS) return self->fail(ConnectionEnd::TooLong);
                if (count < 0) return self->fail(ConnectionEnd::Reset);
                self->in.commit(static_cast<std::size_t>(count));
                if (self->owner != nullptr) self->owner->owner_.arrived(*self->owner);
            });
        });
}

// Whoever does not read what it is answered is not read from either.
void Channel::pause() {
    if (!reading) return;
    reading = false;
    uv_read_stop(stream(tcp));
}

// One that never stops sending does not hold up the others: its turn ends here, and it is read on after
// theirs.
void Channel::later() {
    if (waits || closing) return;
    pause();
    waits = listed = true;
    loop.readsLater(this);
}

void Channel::goOn() {
    listed = false;
    if (halfFull()) return;  // flush() sees to it
    waits = false;
    read();
    if (owner != nullptr) owner->owner_.arrived(*owner);
}

void Channel::writeLast() {
    if (!open || closing || flushing || overflowed) return;
    while (!out.empty()) {  // the ring may lie in two pieces
        const std::string_view piece = out.front();
        uv_buf_t buffer = uv_buf_init(const_cast<char*>(piece.data()), static_cast<unsigned>(piece.size()));
        const int taken = uv_try_write(stream(tcp), &buffer, 1);
        if (taken <= 0) return;
        out.drop(static_cast<std::size_t>(taken));
    }
}

void Channel::finish(std::function<void()> whenDone) {
    done = std::move(whenDone);
    owner = nullptr;
    finishing = true;
    waits = false;
    bound = std::make_unique<Timer>(loop, [this] { close(); });
    bound->start(open ? kFinish : Duration(0));  // never closed from in here
    loop.finishes(this);
    in.drop(in.size());
    read();
    queue();
}

void Channel::shut() {
    if (std::exchange(shutBegun, true)) return;
    const int error = uv_shutdown(&shutting, stream(tcp), [](uv_shutdown_t* request, int status) {
        auto* self = static_cast<Channel*>(request->data);
        self->shutDown = true;
        if (self->closing || (status == 0 && !self->peerEnded)) return;
        self->loop.guarded([self] { self->close(); });
    });
    if (error != 0) bound->start(Duration(0));
}

// While it finishes. Nothing that is read now could be answered any more.
void Channel::dropped(ssize_t count) {
    if (count > 0) {
        in.commit(static_cast<std::size_t>(count));
        return in.drop(in.size());
    }
    if (count != UV_EOF) return close();
    pause();
    peerEnded = true;
    if (shutDown) close();
}

void Channel::queue() {
    if (queued) return;
    queued = true;
    loop.wantsFlush(this);
}

// As much as the system takes now; what is left waits for it.
void Channel::flush() {
    queued = false;
    if (stillborn) return fail(ConnectionEnd::ConnectRefused);
    if (overflowed) return fail(ConnectionEnd::TooLong);
    if (!open || closing || flushing) return;
    while (!out.empty()) {
        const std::string_view piece = out.front();
        uv_buf_t buffer = uv_buf_init(const_cast<char*>(piece.data()), static_cast<unsigned>(piece.size()));
        const int taken = uv_try_write(stream(tcp), &buffer, 1);
        if (taken > 0) {
            out.drop(static_cast<std::size_t>(taken));
            continue;
        }
        if (taken != UV_EAGAIN) return fail(ConnectionEnd::Reset);
        pinned = out.pin();
        flushing = true;
        writingSize = piece.size();
        uv_write(&writing, stream(tcp), &buffer, 1, [](uv_write_t* request, int status) {
            auto* self = static_cast<Channel*>(request->data);
            self->loop.guarded([self, status] {
                self->flushing = false;
                self->pinned.reset();
                if (self->closing) return;
                if (status != 0) return self->fail(ConnectionEnd::Reset);
                self->out.drop(self->writingSize);
                self->flush();
                self->read();
            });
        });
        return;
    }
    if (finishing) return shut();
    if (waits && !listed) {
        listed = true;
        loop.readsLater(this);
    }
    read();
}

void Channel::close() {
    if (closing) return;
    closing = true;
    owner = nullptr;
    bound.reset();
    if (queued || listed || finishing) loop.forgets(this);
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp), [](uv_handle_t* closed) {
        auto* self = static_cast<Channel*>(closed->data);
        const auto told = std::move(self->done);
        Loop& at = self->loop;
        delete self;
        if (told) at.guarded(told);
    });
}

void Channel::fail(ConnectionEnd end) {
    if (finishing) return close();
    if (owner == nullptr || closing) return;
    Connection& connection = *owner;
    connection.owner_.ended(connection, end);
}

struct ListenerHandle {
    uv_tcp_t tcp;
    std::function<void(AcceptedSocket)> accepts;
    std::function<bool()> full;
    bool waiting = false;
    void take() {
        waiting = full();
        // Not taken, the connection stays in the system's queue, and the loop does not look there again.
        if (!waiting) accepts(AcceptedSocket(*this));
    }
};

Connection::Connection(Loop& loop, const Address& to, Owner& owner, const Bounds& bounds)
    : channel_(new Channel(loop, this, bounds)), owner_(owner) {
    const sockaddr_in address = socketAddress(to);
    uv_tcp_nodelay(&channel_->tcp, 1);
    const int error =
        uv_tcp_connect(&channel_->connecting, &channel_->tcp, reinterpret_cast<const sockaddr*>(&address),
                       [](uv_connect_t* request, int status) {
                           auto* self = static_cast<Channel*>(request->data);
                           self->loop.guarded([self, status] {
                               if (self->closing || self->owner == nullptr) return;
                               if (status != 0) return self->fail(ConnectionEnd::ConnectRefused);
                               self->open = true;
                               self->read();
                               if (!self->out.empty()) self->queue();
                           });
                       });
    if (error == 0) return;
    channel_->stillborn = true;  // no descriptor left, for one
    channel_->queue();
}

Connection::Connection(Loop& loop, AcceptedSocket socket, Owner& owner, const Bounds& bounds)
    : channel_(new Channel(loop, this, bounds)), owner_(owner) {
    if (const int error = uv_accept(stream(socket.listener_->tcp), stream(channel_->tcp)); error != 0) {
        channel_->close();
        throw std::runtime_error(std::string("accept: ") + uv_strerror(error));
    }
    uv_tcp_nodelay(&channel_->tcp, 1);
    channel_->open = true;
    channel_->read();
}

Connection::~Connection() {
    if (channel_ != nullptr) channel_->close();
}

bool Connection::hasUnread() const {
    uv_os_fd_t descriptor = -1;
    char byte;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&channel_->tcp), &descriptor) == 0 &&
           recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

Ring& Connection::input() { return channel_->in; }

const Ring& Connection::input() const { return channel_->in; }

const Ring& Connection::output() const { return channel_->out; }

bool Connection::halfFull() const { return channel_->halfFull(); }

bool Connection::isOpen() const { return channel_->open; }

void Connection::readOnLater() { channel_->later(); }

void Connection::stopReading() {
    channel_->deaf = true;
    channel_->pause();
}

void Connection::writeLast() { channel_->writeLast(); }

void Connection::finish(std::function<void()> done) {
    std::exchange(channel_, nullptr)->finish(std::move(done));
}

void Connection::send(std::string_view bytes) {
    if (!channel_->out.write(bytes)) channel_->overflowed = true;
    if (channel_->halfFull()) channel_->pause();
    channel_->queue();
}

Listener::Listener(Loop& loop, const Address& at, std::function<void(AcceptedSocket)> accepts,
                   std::function<bool()> full)
    : handle_(new ListenerHandle{{}, std::move(accepts), std::move(full)}) {
    uv_tcp_init(loop.raw(), &handle_->tcp);
    handle_->tcp.data = handle_;
    const sockaddr_in address = socketAddress(at);
    int error = uv_tcp_bind(&handle_->tcp, reinterpret_cast<const sockaddr*>(&address), 0);
    if (error == 0)
        error = uv_listen(stream(handle_->tcp), 511, [](uv_stream_t* listener, int status) {
            if (status != 0) return;  // out of descriptors: the library has dropped what waited
            Loop::of(listener->loop).guarded([listener] {
                static_cast<ListenerHandle*>(listener->data)->take();
            });
        });
    if (error == 0) return;
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->tcp),
             [](uv_handle_t* closed) { delete static_cast<ListenerHandle*>(closed->data); });
    throw std::runtime_error(std::string("can't listen: ") + uv_strerror(error));
}

Listener::~Listener() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->tcp),
             [](uv_handle_t* closed) { delete static_cast<ListenerHandle*>(closed->data); });
}

void Listener::resume() {
    // Not from within full(), which may end connections.
    if (std::exchange(handle_->waiting, false)) handle_->take();
}

int Listener::port() const {
    sockaddr_in address{};
    int length = sizeof address;
    uv_tcp_getsockname(&handle_->tcp, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

}  // namespace cottonwing::net
