#include "net/connection_end.h"

namespace cottonwing::net {

const char* nameOf(ConnectionEnd end) {
    static constexpr const char* kNames[kConnectionEnds] = {
        "peer-closed", "reset",    "connect-refused", "connect-timed-out", "timed-out", "abandoned",
        "malformed",   "too-long", "unused"};
    return kNames[static_cast<int>(end)];
}

Outcome outcomeOf(ConnectionEnd end) {
    switch (end) {
        case ConnectionEnd::ConnectRefused:
        case ConnectionEnd::ConnectTimedOut:
            return Outcome::Unreachable;  // no byte of the call left this process
        case ConnectionEnd::TimedOut:
            return Outcome::TimedOut;
        case ConnectionEnd::Abandoned:
            return Outcome::Cancelled;
        case ConnectionEnd::Malformed:
        case ConnectionEnd::TooLong:
            return Outcome::MalformedResponse;
        case ConnectionEnd::PeerClosed:
        case ConnectionEnd::Reset:
        case ConnectionEnd::Unused:
            break;
    }
    return Outcome::ConnectionLost;  // it may have had its effect
}

}  // namespace cottonwing::net
