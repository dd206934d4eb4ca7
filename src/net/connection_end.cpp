#include "net/connection_end.h"

namespace cottonwing::net {

const char* nameOf(ConnectionEnd end) {
    switch (end) {
        case ConnectionEnd::PeerClosed:
            return "peer-closed";
        case ConnectionEnd::Reset:
            return "reset";
        case ConnectionEnd::ConnectRefused:
            return "connect-refused";
        case ConnectionEnd::ConnectTimedOut:
            return "connect-timed-out";
        case ConnectionEnd::TimedOut:
            return "timed-out";
        case ConnectionEnd::Abandoned:
            return "abandoned";
        case ConnectionEnd::Malformed:
            return "malformed";
        case ConnectionEnd::TooLong:
            return "too-long";
        case ConnectionEnd::OutOfMemory:
            return "out-of-memory";
        case ConnectionEnd::Unused:
            break;
    }
    return "unused";
}

Outcome outcomeOf(ConnectionEnd end) {
    switch (end) {
        case ConnectionEnd::ConnectRefused:
        case ConnectionEnd::ConnectTimedOut:
            return Outcome::Unreachable;  // no byte of the call was sent
        case ConnectionEnd::TimedOut:
            return Outcome::TimedOut;
        case ConnectionEnd::Abandoned:
            return Outcome::Cancelled;
        case ConnectionEnd::Malformed:
        case ConnectionEnd::TooLong:
        case ConnectionEnd::OutOfMemory:
            return Outcome::MalformedResponse;
        case ConnectionEnd::PeerClosed:
        case ConnectionEnd::Reset:
        case ConnectionEnd::Unused:
            break;
    }
    return Outcome::ConnectionLost;  // the call may have taken effect
}

}  // namespace cottonwing::net
