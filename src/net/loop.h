// The loop and its timers. A turn: what came in is read, the turn's function runs once, then every
// connection with output is written once.
#pragma once

#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "overload/types.h"

struct uv_loop_s;  // of libuv

namespace cottonwing::net {

struct Channel;

// The Unix clock, which all due times refer to.
Duration unixNow();

class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void onTurn(std::function<void()> turn) { turn_ = std::move(turn); }
    // Told of what a handler threw: nothing may pass through the C library.
    void onTrouble(std::function<void(const std::string&)> trouble) { trouble_ = std::move(trouble); }
    /// Turns until stop() is called or nothing is left to wait for.
    void run();
    /// One turn, which waits for something to happen.
    void turnOnce();
    /// One turn that waits for nothing.
    void turnWithoutWaiting();
    void stop();
    /// The handle of libuv, for the few that bring handles of their own to the loop.
    uv_loop_s* raw();
    static Loop& of(const uv_loop_s* raw);

    // Once, when the sockets have next been looked at: whatever lay there before this call has been handled.
    void afterPoll(std::function<void()> then);

    void wantsFlush(Channel* channel) { toFlush_.push_back(channel); }
    void readsLater(Channel* channel);
    void finishes(Channel* channel) { finishing_.push_back(channel); }
    void forgets(Channel* channel);

    template <typename Work>
    void guarded(Work&& work) noexcept {
        try {
            work();
        } catch (const std::exception& error) {
            if (trouble_) trouble_(error.what());
        }
    }

private:
    void turn();
    void readOn();

    struct Handles;  // of libuv
    std::unique_ptr<Handles> handles_;
    std::function<void()> turn_;
    std::vector<std::function<void()>> afterPoll_;  // emptied by the next poll
    std::function<void(const std::string&)> trouble_;
    std::vector<Channel*> toFlush_;    // with output; emptied at the end of each turn
    std::vector<Channel*> finishing_;  // that nobody owns any more; emptied by the other side or a second
    std::vector<Channel*> toRead_;     // with more to read than a turn takes; emptied by the next one
};

// Rings once, at or after the time asked for: whole milliseconds, counted from fresh time and rounded up.
// Where that is late, the process stood still: the sockets are looked at first, as what lies there came in
// time.
class Timer {
public:
    Timer(Loop& loop, std::function<void()> rings);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void start(Duration wait);
    void stop();

private:
    struct Handle;
    static void arm(Handle& handle, std::uint64_t millis);
    static constexpr std::uint64_t kLate = 10;  // milliseconds
    Handle* handle_;
};

// A signal of the system.
class Signal {
public:
    Signal(Loop& loop, int number, std::function<void()> comes);
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::net
