// What the program has taken in, sent and answered since it started.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>

#include "net/ending.h"

namespace cottonwing::report {

enum class Count {
    Rounds,
    SidecarsOpened,
    CommandsRead,
    SidecarsEvicted,  // closed as their place was needed
    CommandsRefused,  // never taken in: answered with an application exception
    BadFrames,
    Forgotten,
    HealthChecks,
    Handled,
    Bounced,
    Scrapped,
    NoMemory,      // of the bounced: for our own limit
    KeyRepeats,    // of the commands read: another try has their idempotency key
    KeyConflicts,  // of the scrapped: a request with another body has their key
    CallersLeft,   // taken in, and never answered because nobody waited any more
    RunsStarted,
    RunsHalted,
    RunsEnded,
    CallsBegun,
    CallsOk,
    CallsError,
    CallsFull,
    CallsTimedOut,
    CallsUnreachable,
    CallsBroken,
    CallsSpoilt,
    CallsMoot,
    CallsGivenUp,
    CallsNoRoom,
    PoolLinks,
    PoolUnknown,
    PoolUnreadable,
    ReportsSent,
    ReportsFailed,
    Reloads,
    ReloadsRefused,
    kLast
};

class Counters {
public:
    void add(Count count) { ++counts_[static_cast<std::size_t>(count)]; }
    std::uint64_t of(Count count) const { return counts_[static_cast<std::size_t>(count)]; }
    void addEnd(net::ConnectionEnd end) { ++ends_[static_cast<std::size_t>(end)]; }
    std::uint64_t of(net::ConnectionEnd end) const { return ends_[static_cast<std::size_t>(end)]; }
    // One line of name=number.
    void print(std::ostream& out) const;

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Count::kLast)> counts_{};
    std::array<std::uint64_t, net::kConnectionEnds> ends_{};
};

}  // namespace cottonwing::report
