/// @file
/// A listening socket.
#pragma once

#include <functional>

#include "net/address.h"
#include "net/loop.h"

namespace cottonwing::net {

struct ListenerHandle;

/// A connection in the listener's backlog that is ready to be accepted. Valid only during the listener's
/// callback, which passes it to the constructor of one Connection; otherwise the connection stays in the
/// system's accept queue.
class PendingConnection {
private:
    friend class Connection;
    friend struct ListenerHandle;
    explicit PendingConnection(ListenerHandle& listener) : listener_(&listener) {}

    ListenerHandle* listener_;
};

/// Listens on an address for as long as the object exists.
class Listener {
public:
    /// @param address with port 0 the system chooses the port; see port().
    /// @param onConnection called from the loop for each pending connection, unless isFull() returns true.
    /// @param isFull whether no further connection can be accepted. It may close connections to make room.
    ///        When it returns true, new connections stay in the system's accept queue until resume() is
    ///        called.
    /// @throws std::runtime_error if the address can't be bound.
    Listener(Loop& loop, const Address& address, std::function<void(PendingConnection)> onConnection,
             std::function<bool()> isFull);
    /// Stops listening. The system resets the connections that are still in its accept queue.
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Calls isFull() again and accepts the pending connection if there is room. Does nothing if no
    /// connection was held back. Must not be called from within isFull().
    void resume();

    /// The port on which it listens.
    int port() const;

private:
    ListenerHandle* handle_;  // deleted by libuv's close callback
};

}  // namespace cottonwing::net
