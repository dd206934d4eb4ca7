/// @file
/// Counters of what the program has read, started and answered since its start. They are printed as one line
/// at exit and on SIGUSR1; docs/oncall.md says what to conclude from them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>

#include "net/connection_end.h"

/// Every counter: its enumerator, its printed name, and what it counts. They are printed in this order.
///
/// Two sums always hold: requests-read = requests-completed + requests-rejected + requests-failed +
/// requests-cancelled-by-client + those without an answer yet, and calls-started = the sum of the other
/// counters that begin with "calls-" + those without an outcome yet.
// clang-format off
#define COTTONWING_COUNTERS(COUNTER)                                                                          \
    COUNTER(EventBatches, "event-batches", "batches of events that the overload controller decided on")       \
    COUNTER(ConnectionsOpened, "connections-opened", "connections accepted by the Thrift server")             \
    COUNTER(RequestsRead, "requests-read", "requests that were read and are well-formed")                     \
    COUNTER(ConnectionsEvicted, "connections-evicted", "connections closed because their place was needed")   \
    COUNTER(MalformedRequests, "requests-malformed",                                                          \
            "messages answered with an application exception; not among requests-read")                       \
    COUNTER(MalformedFrames, "frames-malformed", "connections closed over bytes that are no frame")           \
    COUNTER(CancelMessages, "cancel-messages", "messages by which a client withdraws a request")              \
    COUNTER(HealthChecks, "health-checks", "health checks answered")                                          \
    COUNTER(Completed, "requests-completed", "requests answered with a result")                               \
    COUNTER(Rejected, "requests-rejected", "requests refused without having run: safe to send elsewhere")     \
    COUNTER(Failed, "requests-failed", "requests that failed, and may have run")                              \
    COUNTER(RejectedForMemory, "requests-without-memory",                                                     \
            "of the rejected and failed: because our own limit on memory was reached")                        \
    COUNTER(DuplicateRequests, "requests-duplicate",                                                          \
            "of the read: another attempt has their idempotency key")                                         \
    COUNTER(KeyConflicts, "idempotency-key-conflicts",                                                        \
            "of the failed: a request with another body has their idempotency key")                           \
    COUNTER(ClientCancellations, "requests-cancelled-by-client",                                              \
            "requests that were read and got no answer, because the client no longer waited")                 \
    COUNTER(RunsStarted, "runs-started", "runs that the worker pool was told to start")                       \
    COUNTER(RunsCancelled, "runs-cancelled", "runs that the worker pool was told to stop")                    \
    COUNTER(RunsCompleted, "runs-completed", "runs that the worker pool reported as ended")                   \
    COUNTER(CallsStarted, "calls-started", "calls to the dependency")                                         \
    COUNTER(CallsOk, "calls-ok", "calls that succeeded")                                                      \
    COUNTER(CallsError, "calls-error", "calls that the dependency answered with an error")                    \
    COUNTER(CallsResourceExhausted, "calls-resource-exhausted",                                               \
            "calls that the dependency refused unbegun for lack of capacity")                                 \
    COUNTER(CallsTimedOut, "calls-timed-out", "calls without an answer in time, ours or the dependency's")    \
    COUNTER(CallsUnreachable, "calls-unreachable", "calls without a connection: nothing ran")                 \
    COUNTER(CallsConnectionLost, "calls-connection-lost",                                                     \
            "calls whose connection broke: they may have had their effect")                                   \
    COUNTER(CallsMalformedResponse, "calls-malformed-response", "calls whose response can't be read")         \
    COUNTER(CallsSuperseded, "calls-superseded", "calls for runs that had ended")                             \
    COUNTER(CallsAbandoned, "calls-abandoned", "calls given up because their request had ended")              \
    COUNTER(CallsLocalLimit, "calls-local-limit",                                                             \
            "calls put back for lack of connections or memory of our own")                                    \
    COUNTER(WorkerPoolConnections, "worker-pool-connections", "connections that the worker pool confirmed")   \
    COUNTER(WorkerPoolUnknownRequests, "worker-pool-unknown-requests",                                        \
            "orders to the worker pool about a run that it did not know")                                     \
    COUNTER(WorkerPoolMalformedMessages, "worker-pool-malformed-messages",                                    \
            "lines of the worker pool that can't be read")                                                    \
    COUNTER(RegistryReportsSent, "registry-reports-sent", "load reports sent to the registry")                \
    COUNTER(RegistryReportsFailed, "registry-reports-failed", "load reports without an answer")               \
    COUNTER(Reloads, "reloads", "configuration files read again and taken")                                   \
    COUNTER(ReloadsRejected, "reloads-rejected", "configuration files read again and refused")
// clang-format on

namespace cottonwing::telemetry {

/// A counter of the table above.
enum class Count {
#define COTTONWING_ENUMERATOR(id, name, meaning) id,
    COTTONWING_COUNTERS(COTTONWING_ENUMERATOR)
#undef COTTONWING_ENUMERATOR
        kLast
};

inline constexpr std::size_t kCounters = static_cast<std::size_t>(Count::kLast);

/// The name in the printed line, such as "requests-read".
const char* nameOf(Count count);

/// What it counts, as a phrase in English.
const char* meaningOf(Count count);

/// The counters of one process, all from 0 and only ever counted up.
class Counters {
public:
    void add(Count count) { ++counts_[static_cast<std::size_t>(count)]; }
    std::uint64_t of(Count count) const { return counts_[static_cast<std::size_t>(count)]; }

    /// Counts the end of a connection of any kind.
    void addEnd(net::ConnectionEnd end) { ++ends_[static_cast<std::size_t>(end)]; }
    std::uint64_t of(net::ConnectionEnd end) const { return ends_[static_cast<std::size_t>(end)]; }

    /// Writes "counters:" and " name=number" for each counter, then for each way a connection can end (with
    /// "end-" before its name), as one line.
    void print(std::ostream& out) const;

private:
    std::array<std::uint64_t, kCounters> counts_{};
    std::array<std::uint64_t, net::kConnectionEnds> ends_{};
};

}  // namespace cottonwing::telemetry
