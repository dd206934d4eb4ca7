/// @file
/// The ways in which a connection can end, and what each means for a call that was out on it. The one type
/// for it: servers, clients, log and counters all use it.
#pragma once

#include "overload/types.h"

namespace cottonwing::net {

/// Why a connection ended. The order is that of the counters in the printed line.
enum class ConnectionEnd {
    PeerClosed,       ///< the peer closed it in order
    Reset,            ///< it broke while it was open
    ConnectRefused,   ///< it never opened
    ConnectTimedOut,  ///< it did not open in time
    TimedOut,         ///< closed by us: the wait for the peer was over
    Abandoned,        ///< closed by us: nobody wants the answer any more
    Malformed,        ///< closed by us: bytes that can't be read
    TooLong,          ///< closed by us: more bytes than its buffer may hold
    Unused            ///< closed by us: idle, or its place was needed
};

inline constexpr int kConnectionEnds = static_cast<int>(ConnectionEnd::Unused) + 1;

/// The name in log lines and counters, such as "peer-closed".
const char* nameOf(ConnectionEnd end);

/// The one place where the end of a connection becomes the outcome of a call that waited for its answer.
Outcome outcomeOf(ConnectionEnd end);

}  // namespace cottonwing::net
