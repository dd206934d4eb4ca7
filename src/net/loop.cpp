#include "net/loop.h"

#include <uv.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "net/channel.h"

namespace cottonwing::net {

Duration unixNow() {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

struct Loop::Handles {
    uv_loop_t loop;
    uv_prepare_t prepare;
    uv_check_t check;
    uv_idle_t idle;
};

Loop::Loop() : handles_(std::make_unique<Handles>()) {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that is gone is told by the write
    if (const int error = uv_loop_init(&handles_->loop); error != 0)
        throw std::runtime_error(std::string("loop: ") + uv_strerror(error));
    handles_->loop.data = this;
    uv_prepare_init(&handles_->loop, &handles_->prepare);
    handles_->prepare.data = this;
    uv_prepare_start(&handles_->prepare,
                     [](uv_prepare_t* handle) { static_cast<Loop*>(handle->data)->turn(); });
    uv_unref(reinterpret_cast<uv_handle_t*>(&handles_->prepare));
    uv_check_init(&handles_->loop, &handles_->check);
    handles_->check.data = this;
    uv_idle_init(&handles_->loop, &handles_->idle);
    handles_->idle.data = this;
}

Loop::~Loop() {
    turn_ = nullptr;
    while (!finishing_.empty()) finishing_.back()->close();
    uv_close(reinterpret_cast<uv_handle_t*>(&handles_->prepare), nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&handles_->check), nullptr);
    uv_close(reinterpret_cast<uv_handle_t*>(&handles_->idle), nullptr);
    uv_run(&handles_->loop, UV_RUN_DEFAULT);  // the close callbacks of all handles
    uv_loop_close(&handles_->loop);
}

void Loop::run() { uv_run(&handles_->loop, UV_RUN_DEFAULT); }

void Loop::turnOnce() { uv_run(&handles_->loop, UV_RUN_ONCE); }

void Loop::turnWithoutWaiting() { uv_run(&handles_->loop, UV_RUN_NOWAIT); }

void Loop::stop() { uv_stop(&handles_->loop); }

uv_loop_s* Loop::raw() { return &handles_->loop; }

Loop& Loop::of(const uv_loop_s* raw) { return *static_cast<Loop*>(raw->data); }

void Loop::turn() {
    guarded([this] {
        if (turn_) turn_();
    });
    // What fails here may close others that wait here too, or add some.
    while (!toFlush_.empty()) {
        Channel* const channel = toFlush_.back();
        toFlush_.pop_back();
        guarded([channel] { channel->flush(); });
    }
}

void Loop::afterPoll(std::function<void()> then) {
    afterPoll_.push_back(std::move(then));
    uv_check_start(&handles_->check, [](uv_check_t* handle) {
        auto* self = static_cast<Loop*>(handle->data);
        uv_check_stop(handle);
        for (const auto& next : std::exchange(self->afterPoll_, {})) self->guarded(next);
    });
}

void Loop::readsLater(Channel* channel) {
    toRead_.push_back(channel);
    if (toRead_.size() > 1) return;
    uv_idle_start(&handles_->idle, [](uv_idle_t* handle) { static_cast<Loop*>(handle->data)->readOn(); });
}

// Those that wait now, once each; what one of them adds is for the next turn.
void Loop::readOn() {
    for (std::size_t left = toRead_.size(); left > 0 && !toRead_.empty(); --left) {
        Channel* const channel = toRead_.front();
        toRead_.erase(toRead_.begin());
        guarded([channel] { channel->goOn(); });
    }
    if (toRead_.empty()) uv_idle_stop(&handles_->idle);
}

void Loop::forgets(Channel* channel) {
    std::erase(toFlush_, channel);
    std::erase(toRead_, channel);
    std::erase(finishing_, channel);
}

struct Timer::Handle {
    uv_timer_t timer;
    std::function<void()> rings;
    std::uint64_t due = 0;  // on the loop's clock; 0 once the sockets were looked at
    std::chrono::steady_clock::time_point notBefore{};
};

Timer::Timer(Loop& loop, std::function<void()> rings) : handle_(new Handle{{}, std::move(rings), 0, {}}) {
    uv_timer_init(loop.raw(), &handle_->timer);
    handle_->timer.data = handle_;
}

Timer::~Timer() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->timer),
             [](uv_handle_t* closed) { delete static_cast<Handle*>(closed->data); });
}

void Timer::start(Duration wait) {
    using Millis = std::chrono::milliseconds;
    uv_update_time(handle_->timer.loop);
    const auto millis = std::chrono::ceil<Millis>(std::max(wait, Duration(0))).count();
    handle_->notBefore = std::chrono::steady_clock::now() + std::max(wait, Duration(0));
    handle_->due = uv_now(handle_->timer.loop) + static_cast<std::uint64_t>(millis);
    arm(*handle_, static_cast<std::uint64_t>(millis));
}

void Timer::arm(Handle& handle, std::uint64_t millis) {
    uv_timer_start(
        &handle.timer,
        [](uv_timer_t* timer) {
            Handle& rung = *static_cast<Handle*>(timer->data);
            // The loop's clock is cut to whole milliseconds: counted from its present one, some are too few.
            if (std::chrono::steady_clock::now() < rung.notBefore) return arm(rung, 1);
            const std::uint64_t due = std::exchange(rung.due, 0);
            if (due > 0 && uv_now(timer->loop) > due + kLate) return arm(rung, 1);
            // A copy: what rings may destroy the timer.
            const auto rings = rung.rings;
            Loop::of(timer->loop).guarded(rings);
        },
        millis, 0);
}

void Timer::stop() { uv_timer_stop(&handle_->timer); }

struct Signal::Handle {
    uv_signal_t signal;
    std::function<void()> comes;
};

Signal::Signal(Loop& loop, int number, std::function<void()> comes)
    : handle_(new Handle{{}, std::move(comes)}) {
    uv_signal_init(loop.raw(), &handle_->signal);
    handle_->signal.data = handle_;
    uv_signal_start(
        &handle_->signal,
        [](uv_signal_t* signal, int) {
            Loop::of(signal->loop).guarded(static_cast<Handle*>(signal->data)->comes);
        },
        number);
    uv_unref(reinterpret_cast<uv_handle_t*>(&handle_->signal));
}

Signal::~Signal() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->signal),
             [](uv_handle_t* closed) { delete static_cast<Handle*>(closed->data); });
}

}  // namespace cottonwing::net
