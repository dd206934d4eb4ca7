#include "net/signal.h"

#include <utility>

#include "net/uv_support.h"

namespace cottonwing::net {

struct Signal::Handle {
    uv_signal_t signal;
    std::function<void()> onSignal;
};

Signal::Signal(Loop& loop, int number, std::function<void()> onSignal)
    : handle_(new Handle{{}, std::move(onSignal)}) {
    uv_signal_init(loop.uvLoop(), &handle_->signal);
    handle_->signal.data = handle_;
    uv_signal_start(
        &handle_->signal,
        [](uv_signal_t* signal, int /*number*/) {
            Loop::of(signal->loop).runGuarded(static_cast<Handle*>(signal->data)->onSignal);
        },
        number);
    uv_unref(asHandle(handle_->signal));
}

Signal::~Signal() { closeThenDelete<Handle>(asHandle(handle_->signal)); }

}  // namespace cottonwing::net
