/// @file
/// A listening socket.
#pragma once

#include <functional>

#include "net/address.h"
#include "net/loop.h"

namespace cottonwing::net {

struct ListenerHandle;

/// A connection that waits at a listener. Valid only during the listener's callback, which passes it to the
/// constructor of one Connection; one that is not taken stays in the system's queue.
class PendingConnection {
private:
    friend class Connection;
    friend struct ListenerHandle;
    explicit PendingConnection(ListenerHandle& listener) : listener_(&listener) {}

    ListenerHandle* listener_;
};

/// Listens on an address while it exists.
class Listener {
public:
    /// @param address port 0 lets the system choose; port() says which it took.
    /// @param onConnection runs on the loop for each connection that waits, unless isFull() holds.
    /// @param isFull whether there is no place for another connection. It may close connections to make
    ///        place. While it returns true, connections wait in the system until resume() is called.
    /// @throws std::runtime_error when the address can't be bound.
    Listener(Loop& loop, const Address& address, std::function<void(PendingConnection)> onConnection,
             std::function<bool()> isFull);
    /// Stops listening. Connections that wait in the system are reset by it.
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Asks isFull() again and accepts a connection that waits; does nothing when none had to wait. Not to be
    /// called from within isFull().
    void resume();

    /// The port that it listens on.
    int port() const;

private:
    ListenerHandle* handle_;  // deleted by libuv's close callback
};

}  // namespace cottonwing::net
