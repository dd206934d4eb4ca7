/// @file
/// Runs a test's code in the middle of an event loop iteration.
#pragma once

#include <uv.h>

#include <functional>
#include <utility>

#include "net/loop.h"

namespace cottonwing::testing {

/// Calls a function in each iteration of the loop, after its timers and before it polls the sockets.
class BeforeEachPoll {
public:
    BeforeEachPoll(net::Loop& loop, std::function<void()> callback)
        : handle_(new uv_prepare_t), callback_(std::move(callback)) {
        uv_prepare_init(loop.uvLoop(), handle_);
        handle_->data = this;
        uv_prepare_start(
            handle_, [](uv_prepare_t* handle) { static_cast<BeforeEachPoll*>(handle->data)->callback_(); });
    }
    ~BeforeEachPoll() {
        uv_close(reinterpret_cast<uv_handle_t*>(handle_),
                 [](uv_handle_t* closed) { delete reinterpret_cast<uv_prepare_t*>(closed); });
    }
    BeforeEachPoll(const BeforeEachPoll&) = delete;
    BeforeEachPoll& operator=(const BeforeEachPoll&) = delete;

private:
    uv_prepare_t* handle_;
    std::function<void()> callback_;
};

}  // namespace cottonwing::testing
