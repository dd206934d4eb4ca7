/// @file
/// Internal to net: the handle behind a Connection.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>

#include "net/connection.h"

namespace cottonwing::net {

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

}  // namespace cottonwing::net
