// A connection with one ring a direction, and the listener that accepts them.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/connection_end.h"
#include "net/loop.h"
#include "net/ring.h"

namespace cottonwing::net {

struct Address {
    std::string host;
    int port = 0;
    bool operator==(const Address&) const = default;
};

struct Bounds {
    std::size_t in, out;
    std::shared_ptr<Total> total = nullptr;
};

class Connection;

// Who owns a connection hears of it here; each may destroy it.
class Owner {
public:
    virtual ~Owner() = default;
    virtual void arrived(Connection& connection) = 0;                   // bytes were added to its input
    virtual void ended(Connection& connection, ConnectionEnd end) = 0;  // once, and never by its own end()
};

// The handle and the rings: lives until the loop has let go of the handle.
struct Channel {
    Channel(Loop& theLoop, Connection* theOwner, const Bounds& bounds);
    void read();
    void pause();
    void later();
    void goOn();
    void queue();  // to be flushed at the end of the turn
    void flush();
    void writeLast();
    void shut();  // our side of the connection, behind the last byte of output
    void finish(std::function<void()> whenDone);
    void dropped(ssize_t count);
    void close();
    bool halfFull() const { return out.size() > out.room(); }
    void fail(ConnectionEnd end);

    uv_tcp_t tcp;
    uv_connect_t connecting;
    uv_write_t writing;
    uv_shutdown_t shutting;
    Loop& loop;
    Connection* owner;
    Ring in, out;
    std::shared_ptr<char[]> pinned;  // storage that a pending write reads from
    std::size_t writingSize = 0;     // of that write
    bool open = false, reading = false, flushing = false, queued = false, closing = false, stillborn = false,
         overflowed = false, waits = false, listed = false;
    bool deaf = false;  // nothing more is read for its owner
    // Ending in order: its owner is done with it, what comes in is left unread by anybody, and what is left
    // of the output is followed by the end of our side. shutDown: that end is out; peerEnded: theirs is in.
    bool finishing = false, shutBegun = false, shutDown = false, peerEnded = false;
    std::unique_ptr<Timer> bound;  // of that
    std::function<void()> done;    // told when it is closed
};

class Connection {
public:
    // Begins to connect; a failure is told by ended(), never from in here.
    Connection(Loop& loop, const Address& to, Owner& owner, const Bounds& bounds);
    // Accepts what waits at a listener.
    Connection(Loop& loop, uv_stream_t* listener, Owner& owner, const Bounds& bounds);
    ~Connection();  // closes; the owner hears nothing
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    Ring& input() { return channel_->in; }
    const Ring& input() const { return channel_->in; }
    // Written at the end of the turn. Without room for all of it the connection ends there instead.
    void send(std::string_view bytes);
    // Enough for this turn: arrived() is called again in the next one, also if nothing more comes.
    void readOnLater() { channel_->later(); }
    // Nothing more is taken in; what is out of a command's answer still goes.
    void stopReading() { channel_->deaf = true, channel_->pause(); }
    // Whether bytes wait in the system that no turn has read yet. A close over them resets the connection,
    // and takes with it what the other side has yet to read.
    bool hasUnread() const;
    // Ends the connection in order, the last that is done with it: the rest of the output goes, then the end
    // of our side, and what comes in meanwhile is dropped until the other side has ended too, a second at
    // most. done is called when its descriptor is free again, from the loop.
    void finish(std::function<void()> done);
    // Before the connection is destroyed: what the system takes of its output at once still goes.
    void writeLast() { channel_->writeLast(); }
    bool halfFull() const { return channel_->halfFull(); }
    bool isOpen() const { return channel_->open; }
    const Ring& output() const { return channel_->out; }

private:
    friend struct Channel;
    Channel* channel_;
    Owner& owner_;
};

class Listener {
public:
    // Throws when the address can't be had. full() says whether to wait before accepting more.
    Listener(Loop& loop, const Address& at, std::function<void(uv_stream_t*)> accepts,
             std::function<bool()> full);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    void resume();  // there may be room again
    int port() const;

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::net
