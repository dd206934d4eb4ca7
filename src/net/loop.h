/// @file
/// The event loop. One turn: timers fire and sockets are read; then the turn's callback runs once; then each
/// connection with output is written once; then the loop waits for the next event. There is one thread: every
/// callback runs on the loop, and none may block.
#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "net/timer.h"  // for those that name timers and include only this

struct uv_loop_s;  // of libuv

namespace cottonwing::net {

class Channel;

/// An event loop. Everything that refers to it (timers, listeners, connections) has to be destroyed first;
/// connections that are still finishing are closed by the destructor.
class Loop {
public:
    /// @throws std::runtime_error when the system has no descriptors left for it.
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Sets the callback that runs once a turn, after the events of the turn have been read.
    void onTurnEnd(std::function<void()> callback) { onTurnEnd_ = std::move(callback); }

    /// Sets the callback that hears what() of each exception that a callback threw. No exception may pass
    /// through libuv, which is a C library; the loop goes on.
    void onUncaughtException(std::function<void(const std::string&)> callback) {
        onUncaughtException_ = std::move(callback);
    }

    /// Turns until stop() is called or nothing is left to wait for.
    void run();

    /// One turn, which waits for something to happen. Without a timer, listener or connection to wait for it
    /// does nothing.
    void runOnce();

    /// The same without waiting.
    void runWithoutWaiting();

    /// Ends run() after the present turn. May be called from any callback.
    void stop();

    /// Calls next once, after the sockets have next been looked at: whatever had arrived in the system before
    /// this call has been handled by then. May be called from any callback, from next too.
    void afterPoll(std::function<void()> next);

    /// Runs work and passes on what it throws to the callback of onTrouble().
    template <typename Work>
    void runGuarded(Work&& work) noexcept {
        try {
            work();
        } catch (const std::exception& error) {
            if (onUncaughtException_) onUncaughtException_(error.what());
        }
    }

    /// The loop of libuv, for the few classes outside net that bring handles of their own to it.
    uv_loop_s* uvLoop();

    /// The loop that owns the given loop of libuv.
    static Loop& of(const uv_loop_s* raw);

private:
    friend class Channel;
    struct Handles;  // of libuv

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
    std::vector<std::function<void()>> afterPoll_;  // emptied by the next poll
    std::vector<Channel*> toFlush_;                 // with output; emptied at the end of each turn
    std::vector<Channel*> toRead_;   // with more input than one turn may read; emptied by the next turn
    std::vector<Channel*> closing_;  // without an owner; emptied when the peer ends or the timeout passes
};

}  // namespace cottonwing::net
