/// @file
/// The reasons for which a connection ends, and the outcome that each implies for a call in flight on it.
/// Shared by servers, clients, logs and counters.
#pragma once

#include "overload/types.h"

namespace cottonwing::net {

/// Why a connection ended. The order is that of the counters in the printed counter line.
enum class ConnectionEnd {
    PeerClosed,       ///< the peer closed it gracefully
    Reset,            ///< it failed while it was open
    ConnectRefused,   ///< it could not be established
    ConnectTimedOut,  ///< it was not established in time
    TimedOut,         ///< closed by us: the peer did not act in time
    Abandoned,        ///< closed by us: the response is no longer needed
    Malformed,        ///< closed by us: malformed input
    TooLong,          ///< closed by us: more bytes than the buffer limit allows
    Unused,           ///< closed by us: idle, or evicted for a new connection
    OutOfMemory       ///< closed by us: the buffer memory that connections share has run out
};

inline constexpr int kConnectionEnds = static_cast<int>(ConnectionEnd::OutOfMemory) + 1;

/// The name in log lines and counters, for example "peer-closed".
const char* nameOf(ConnectionEnd end);

/// The outcome of a call that was waiting for its response when the connection ended.
Outcome outcomeOf(ConnectionEnd end);

}  // namespace cottonwing::net
