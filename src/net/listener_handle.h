/// @file
/// Internal to net: the handle behind a Listener, which Connection accepts from.
#pragma once

#include <uv.h>

#include <functional>

#include "net/listener.h"

namespace cottonwing::net {

struct ListenerHandle {
    uv_tcp_t tcp;
    std::function<void(AcceptedSocket)> onConnection;
    std::function<bool()> isFull;
    bool connectionWaits = false;  // not accepted, because isFull() held

    void acceptUnlessFull();
};

}  // namespace cottonwing::net
