// A connection with one ring a direction, and the listener that accepts them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/address.h"
#include "net/connection_end.h"
#include "net/loop.h"
#include "net/ring.h"

namespace cottonwing::net {

struct Bounds {
    std::size_t in, out;
    std::shared_ptr<Total> total = nullptr;
};

class Connection;
struct Channel;
struct ListenerHandle;

/// A connection that waits at a listener. Valid only during the listener's callback, where it is passed to
/// the constructor of exactly one Connection; one that is not taken stays in the system's queue.
class AcceptedSocket {
private:
    friend class Connection;
    friend struct ListenerHandle;
    explicit AcceptedSocket(ListenerHandle& listener) : listener_(&listener) {}

    ListenerHandle* listener_;
};

// Who owns a connection hears of it here; each may destroy it.
class Owner {
public:
    virtual ~Owner() = default;
    virtual void arrived(Connection& connection) = 0;                   // bytes were added to its input
    virtual void ended(Connection& connection, ConnectionEnd end) = 0;  // once, and never by its own end()
};

class Connection {
public:
    // Begins to connect; a failure is told by ended(), never from in here.
    Connection(Loop& loop, const Address& to, Owner& owner, const Bounds& bounds);
    // Accepts what waits at a listener.
    Connection(Loop& loop, AcceptedSocket socket, Owner& owner, const Bounds& bounds);
    ~Connection();  // closes; the owner hears nothing
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    Ring& input();
    const Ring& input() const;
    // Written at the end of the turn. Without room for all of it the connection ends there instead.
    void send(std::string_view bytes);
    // Enough for this turn: arrived() is called again in the next one, also if nothing more comes.
    void readOnLater();
    // Nothing more is taken in; what is out of a command's answer still goes.
    void stopReading();
    // Whether bytes wait in the system that no turn has read yet. A close over them resets the connection,
    // and takes with it what the other side has yet to read.
    bool hasUnread() const;
    // Ends the connection in order, the last that is done with it: the rest of the output goes, then the end
    // of our side, and what comes in meanwhile is dropped until the other side has ended too, a second at
    // most. done is called when its descriptor is free again, from the loop.
    void finish(std::function<void()> done);
    // Before the connection is destroyed: what the system takes of its output at once still goes.
    void writeLast();
    bool halfFull() const;
    bool isOpen() const;
    const Ring& output() const;

private:
    friend struct Channel;
    Channel* channel_;
    Owner& owner_;
};

class Listener {
public:
    // Throws when the address can't be had. full() says whether to wait before accepting more.
    Listener(Loop& loop, const Address& at, std::function<void(AcceptedSocket)> accepts,
             std::function<bool()> full);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    void resume();  // there may be room again
    int port() const;

private:
    ListenerHandle* handle_;
};

}  // namespace cottonwing::net
