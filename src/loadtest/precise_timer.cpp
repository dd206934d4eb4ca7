#include "loadtest/precise_timer.h"

#include <sys/timerfd.h>
#include <unistd.h>
#include <uv.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace cottonwing::loadtest {

Duration steadyNow() {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

struct PreciseTimer::Handle {
    uv_poll_t poll;
    int descriptor = -1;
    std::function<void()> onFire;
};

PreciseTimer::PreciseTimer(net::Loop& loop, std::function<void()> onFire)
    : handle_(new Handle{{}, -1, std::move(onFire)}) {
    handle_->descriptor = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    if (handle_->descriptor < 0) {
        delete handle_;
        throw std::runtime_error(std::string("a timer can't be created: ") + std::strerror(errno));
    }
    uv_poll_init(loop.uvLoop(), &handle_->poll, handle_->descriptor);
    handle_->poll.data = handle_;
    uv_poll_start(&handle_->poll, UV_READABLE, [](uv_poll_t* poll, int, int) {
        Handle& fired = *static_cast<Handle*>(poll->data);
        std::uint64_t times = 0;
        if (read(fired.descriptor, &times, sizeof times) != static_cast<ssize_t>(sizeof times)) return;
        const auto onFire = fired.onFire;  // a copy, because the callback may destroy the timer
        net::Loop::of(poll->loop).runGuarded(onFire);
    });
    uv_unref(reinterpret_cast<uv_handle_t*>(&handle_->poll));
}

PreciseTimer::~PreciseTimer() {
    uv_poll_stop(&handle_->poll);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->poll), [](uv_handle_t* closed) {
        auto* handle = static_cast<Handle*>(closed->data);
        close(handle->descriptor);
        delete handle;
    });
}

void PreciseTimer::startAt(Duration deadline) {
    const std::int64_t at = std::max<std::int64_t>(deadline.count(), 1);  // 0 would disarm the timer
    itimerspec when{};
    when.it_value.tv_sec = static_cast<time_t>(at / 1000000000);
    when.it_value.tv_nsec = static_cast<long>(at % 1000000000);
    timerfd_settime(handle_->descriptor, TFD_TIMER_ABSTIME, &when, nullptr);
}

void PreciseTimer::stop() {
    const itimerspec never{};
    timerfd_settime(handle_->descriptor, 0, &never, nullptr);
}

struct CrossThreadWakeup::Handle {
    uv_async_t async;
    std::function<void()> onWake;
};

CrossThreadWakeup::CrossThreadWakeup(net::Loop& loop, std::function<void()> onWake)
    : handle_(new Handle{{}, std::move(onWake)}) {
    uv_async_init(loop.uvLoop(), &handle_->async, [](uv_async_t* async) {
        const auto onWake = static_cast<Handle*>(async->data)->onWake;
        net::Loop::of(async->loop).runGuarded(onWake);
    });
    handle_->async.data = handle_;
}

CrossThreadWakeup::~CrossThreadWakeup() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->async),
             [](uv_handle_t* closed) { delete static_cast<Handle*>(closed->data); });
}

void CrossThreadWakeup::wake() { uv_async_send(&handle_->async); }

}  // namespace cottonwing::loadtest
