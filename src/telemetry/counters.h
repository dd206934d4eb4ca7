// What the program has taken in, sent and answered since it started.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>

#include "net/connection_end.h"

namespace cottonwing::telemetry {

enum class Count {
    EventBatches,
    ConnectionsOpened,
    RequestsRead,
    ConnectionsEvicted,  // closed as their place was needed
    MalformedRequests,   // never taken in: answered with an application exception
    MalformedFrames,
    CancelMessages,
    HealthChecks,
    Completed,
    Rejected,
    Failed,
    RejectedForMemory,    // of the bounced: for our own limit
    DuplicateRequests,    // of the commands read: another try has their idempotency key
    KeyConflicts,         // of the scrapped: a request with another body has their key
    ClientCancellations,  // taken in, and never answered because nobody waited any more
    RunsStarted,
    RunsCancelled,
    RunsCompleted,
    CallsStarted,
    CallsOk,
    CallsError,
    CallsResourceExhausted,
    CallsTimedOut,
    CallsUnreachable,
    CallsConnectionLost,
    CallsMalformedResponse,
    CallsSuperseded,
    CallsAbandoned,
    CallsLocalLimit,
    WorkerPoolConnections,
    WorkerPoolUnknownRequests,
    WorkerPoolMalformedMessages,
    RegistryReportsSent,
    RegistryReportsFailed,
    Reloads,
    ReloadsRejected,
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

}  // namespace cottonwing::telemetry
