/// @file
/// Internal to net: the libuv handle behind a Listener, from which a Channel accepts.
#pragma once

#include <uv.h>

#include <functional>

#include "net/listener.h"

namespace cottonwing::net {

struct ListenerHandle {
    uv_tcp_t tcp;
    std::function<void(PendingConnection)> onConnection;
    std::function<bool()> isFull;
    bool hasPendingConnection = false;  // held back because isFull() returned true

    void acceptPendingUnlessFull();
};

}  // namespace cottonwing::net
