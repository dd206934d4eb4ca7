/// @file
/// The event loop. Each turn (iteration) fires timers and reads from sockets, then runs the callback of
/// onTurnEnd() once, then flushes each connection with output, then waits for the next event. The loop is
/// single-threaded: all callbacks run on it, and none may block.
#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "net/timer.h"  // for users of timers that include only this header

struct uv_loop_s;  // of libuv

namespace cottonwing::net {

class Channel;

/// An event loop. Everything that refers to it (timers, listeners, connections) must be destroyed first;
/// connections that are still closing gracefully are closed by the destructor.
class Loop {
public:
    /// @throws std::runtime_error if no file descriptor is available.
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Sets the callback that runs once per turn, after the events of the turn have been handled.
    void onTurnEnd(std::function<void()> callback) { onTurnEnd_ = std::move(callback); }

    /// Sets the callback that receives what() of each exception that a callback has thrown. Exceptions must
    /// not propagate through libuv, which is a C library; the loop continues after them.
    void onUncaughtException(std::function<void(const std::string&)> callback) {
        onUncaughtException_ = std::move(callback);
    }

    /// Runs until stop() is called or there is nothing left to wait for.
    void run();

    /// Runs one turn, which blocks until there is an event. Does nothing if there is no timer, listener or
    /// connection to wait for.
    void runOnce();

    /// Runs one turn without blocking.
    void runWithoutWaiting();

    /// Makes run() return after the current turn. May be called from any callback.
    void stop();

    /// Calls next once, after the next poll of the sockets: whatever the system had received before this call
    /// has been handled by then. May be called from any callback, including next.
    void afterPoll(std::function<void()> next);

    /// Runs work and passes exceptions that it throws to the callback of onUncaughtException().
    template <typename Work>
    void runGuarded(Work&& work) noexcept {
        try {
            work();
        } catch (const std::exception& error) {
            if (onUncaughtException_) onUncaughtException_(error.what());
        }
    }

    /// The underlying libuv loop, for the few classes outside net that register their own handles.
    uv_loop_s* uvLoop();

    /// The Loop that owns the given libuv loop.
    static Loop& of(const uv_loop_s* raw);

private:
    friend class Channel;
    struct Handles;  // libuv handles

    void endTurn();
    void resumeDeferredReads();

    // For channels only.
    void flushAtEndOfTurn(Channel* channel) { toFlush_.push_back(channel); }
    void readInNextTurn(Channel* channel);
    void addClosing(Channel* channel) { closing_.push_back(channel); }
    void remove(Channel* channel);

    std::unique_ptr<Handles> handles_;
    std::function<void()> onTurnEnd_;
    std::function<void(const std::string&)> onUncaughtException_;
    std::vector<std::function<void()>> afterPoll_;  // run after the next poll
    std::vector<Channel*> toFlush_;                 // have output; emptied at the end of each turn
    std::vector<Channel*> toRead_;                  // deferred reading; emptied in the next turn
    std::vector<Channel*> closing_;  // closing gracefully; removed when the peer closes or the timeout passes
};

}  // namespace cottonwing::net
