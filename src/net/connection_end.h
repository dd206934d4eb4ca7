// The ways in which a connection can end, and what each means for a call that was out on it.
#pragma once

#include "overload/types.h"

namespace cottonwing::net {

enum class ConnectionEnd {
    PeerClosed,      // the other side closed in order
    Reset,           // it broke while open
    ConnectRefused,  // it never opened
    ConnectTimedOut,
    TimedOut,   // ours: the wait was over
    Abandoned,  // ours: nobody wants the answer any more
    Malformed,  // ours: bytes that can't be read
    TooLong,    // ours: more than its ring may hold
    Unused      // ours: idle
};
inline constexpr int kConnectionEnds = 9;

const char* nameOf(ConnectionEnd end);
Outcome outcomeOf(ConnectionEnd end);

}  // namespace cottonwing::net
