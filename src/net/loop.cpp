#include "net/loop.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include "net/channel.h"
#include "net/uv_support.h"

namespace cottonwing::net {

struct Loop::Handles {
    uv_loop_t loop;
    uv_prepare_t prepare;  // runs just before the loop polls: the end of the turn
    uv_check_t check;      // runs just after the loop has polled
    uv_idle_t idle;        // keeps the loop from blocking while reads are deferred
};

Loop::Loop() : handles_(std::make_unique<Handles>()) {
    std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection fails with EPIPE instead
    if (const int error = uv_loop_init(&handles_->loop); error != 0)
        throw std::runtime_error(std::string("can't initialize event loop: ") + uv_strerror(error));
    handles_->loop.data = this;

    uv_prepare_init(&handles_->loop, &handles_->prepare);
    handles_->prepare.data = this;
    uv_prepare_start(&handles_->prepare,
                     [](uv_prepare_t* handle) { static_cast<Loop*>(handle->data)->endTurn(); });
    uv_unref(asHandle(handles_->prepare));  // does not keep the loop running

    uv_check_init(&handles_->loop, &handles_->check);
    handles_->check.data = this;
    uv_idle_init(&handles_->loop, &handles_->idle);
    handles_->idle.data = this;
}

Loop::~Loop() {
    onTurnEnd_ = nullptr;
    while (!closing_.empty()) closing_.back()->close();
    uv_close(asHandle(handles_->prepare), nullptr);
    uv_close(asHandle(handles_->check), nullptr);
    uv_close(asHandle(handles_->idle), nullptr);
    uv_run(&handles_->loop, UV_RUN_DEFAULT);  // runs the close callbacks of all handles
    uv_loop_close(&handles_->loop);
}

void Loop::run() { uv_run(&handles_->loop, UV_RUN_DEFAULT); }

void Loop::runOnce() { uv_run(&handles_->loop, UV_RUN_ONCE); }

void Loop::runWithoutWaiting() { uv_run(&handles_->loop, UV_RUN_NOWAIT); }

void Loop::stop() { uv_stop(&handles_->loop); }

uv_loop_s* Loop::uvLoop() { return &handles_->loop; }

Loop& Loop::of(const uv_loop_s* raw) { return *static_cast<Loop*>(raw->data); }

void Loop::endTurn() {
    runGuarded([this] {
        if (onTurnEnd_) onTurnEnd_();
    });
    // A channel that fails here may remove other channels from the list or add some.
    while (!toFlush_.empty()) {
        Channel* const channel = toFlush_.back();
        toFlush_.pop_back();
        runGuarded([channel] { channel->flush(); });
    }
}

void Loop::afterPoll(std::function<void()> next) {
    afterPoll_.push_back(std::move(next));
    uv_check_start(&handles_->check, [](uv_check_t* handle) {
        auto* self = static_cast<Loop*>(handle->data);
        uv_check_stop(handle);
        // Moved out first: a callback that calls afterPoll() again is scheduled for the next poll.
        for (const auto& callback : std::exchange(self->afterPoll_, {})) self->runGuarded(callback);
    });
}

void Loop::readInNextTurn(Channel* channel) {
    toRead_.push_back(channel);
    if (toRead_.size() > 1) return;
    uv_idle_start(&handles_->idle,
                  [](uv_idle_t* handle) { static_cast<Loop*>(handle->data)->resumeDeferredReads(); });
}

// Handles each channel that is in the list at the start once; channels that are added meanwhile are handled
// in the next turn.
void Loop::resumeDeferredReads() {
    for (std::size_t left = toRead_.size(); left > 0 && !toRead_.empty(); --left) {
        Channel* const channel = toRead_.front();
        toRead_.erase(toRead_.begin());
        runGuarded([channel] { channel->resumeDeferredRead(); });
    }
    if (toRead_.empty()) uv_idle_stop(&handles_->idle);
}

void Loop::remove(Channel* channel) {
    std::erase(toFlush_, channel);
    std::erase(toRead_, channel);
    std::erase(closing_, channel);
}

}  // namespace cottonwing::net
