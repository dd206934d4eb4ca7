#include "net/timer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/loop.h"
#include "net/uv_support.h"

namespace cottonwing::net {

namespace {

constexpr std::uint64_t kMaxDelayMillis = 10;  // a longer delay means that the process was stalled
constexpr std::uint64_t kRearmMillis = 1;      // delay until the next check when it must not fire yet

}  // namespace

struct Timer::Handle {
    uv_timer_t timer;
    std::function<void()> onFire;
    std::uint64_t dueMillis = 0;  // on the loop's clock; 0 once the delay was checked
    std::chrono::steady_clock::time_point notBefore{};
};

Timer::Timer(Loop& loop, std::function<void()> onFire) : handle_(new Handle{{}, std::move(onFire), 0, {}}) {
    uv_timer_init(loop.uvLoop(), &handle_->timer);
    handle_->timer.data = handle_;
}

Timer::~Timer() { closeThenDelete<Handle>(asHandle(handle_->timer)); }

void Timer::start(Duration wait) {
    const Duration remaining = std::max(wait, Duration(0));
    const auto roundedUp = std::chrono::ceil<std::chrono::milliseconds>(remaining);
    const auto millis = static_cast<std::uint64_t>(roundedUp.count());
    uv_update_time(handle_->timer.loop);
    handle_->notBefore = std::chrono::steady_clock::now() + remaining;
    handle_->dueMillis = uv_now(handle_->timer.loop) + millis;
    arm(*handle_, millis);
}

void Timer::arm(Handle& handle, std::uint64_t millis) {
    uv_timer_start(
        &handle.timer, [](uv_timer_t* timer) { fire(*static_cast<Handle*>(timer->data)); }, millis, 0);
}

void Timer::fire(Handle& handle) {
    // The loop's clock is truncated to whole milliseconds, so libuv may fire a fraction of a millisecond
    // early.
    if (std::chrono::steady_clock::now() < handle.notBefore) return arm(handle, kRearmMillis);
    // After a stall the sockets are read before the timer fires.
    const std::uint64_t dueMillis = std::exchange(handle.dueMillis, 0);
    if (dueMillis > 0 && uv_now(handle.timer.loop) > dueMillis + kMaxDelayMillis)
        return arm(handle, kRearmMillis);
    // A copy, because the callback may destroy the timer.
    const auto onFire = handle.onFire;
    Loop::of(handle.timer.loop).runGuarded(onFire);
}

void Timer::stop() { uv_timer_stop(&handle_->timer); }

}  // namespace cottonwing::net
