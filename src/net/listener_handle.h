/// @file
/// Internal to net: the handle behind a Listener, which Connection accepts from.
#pragma once

#include <uv.h>

#include <functional>

#include "net/listener.h"

namespace cottonwing::net {

struct ListenerHandle {
    uv_tcp_t tcp;
    std::function<void(PendingConnection)> onConnection;
    std::function<bool()> isFull;
    bool hasPendingConnection = false;  // not accepted, because isFull() held

    void acceptPendingUnlessFull();
};

}  // namespace cottonwing::net
