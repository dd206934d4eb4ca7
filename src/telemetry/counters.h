/// @file
/// Counters of events since the start of the program. They are printed as one line at exit and on SIGUSR1;
/// docs/oncall.md explains how to interpret them.
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
    COUNTER(ConnectionsEvicted, "connections-evicted", "connections closed to make room for new ones")        \
    COUNTER(MalformedRequests, "requests-malformed",                                                          \
            "messages answered with an application exception; not among requests-read")                       \
    COUNTER(AnswersTooLarge, "answers-too-large",                                                             \
            "requests that completed, whose client was told that they failed as their result has no room")    \
    COUNTER(OverdueRequests, "requests-overdue",                                                              \
            "of the malformed: requests that were read after their client's timeout")                         \
    COUNTER(ConnectionsEndedInUse, "connections-ended-in-use",                                                \
            "connections that this server ended while requests were open on them")                            \
    COUNTER(MalformedFrames, "frames-malformed", "connections closed because of a malformed frame")           \
    COUNTER(CancelMessages, "cancel-messages", "messages by which clients cancel requests")                   \
    COUNTER(HealthChecks, "health-checks", "health checks answered")                                          \
    COUNTER(Completed, "requests-completed", "requests answered with a result")                               \
    COUNTER(Rejected, "requests-rejected", "requests rejected before they ran: safe to retry elsewhere")      \
    COUNTER(Failed, "requests-failed", "requests that failed, and may have run")                              \
    COUNTER(RejectedForMemory, "requests-without-memory",                                                     \
            "of the rejected and failed: because the memory limit of this server was reached")                \
    COUNTER(DuplicateRequests, "requests-duplicate",                                                          \
            "of the read: another attempt holds their idempotency key")                                       \
    COUNTER(RepeatedIds, "request-ids-repeated",                                                              \
            "of the failed: their id is that of a request that may run only once and was started before")     \
    COUNTER(KeyConflicts, "idempotency-key-conflicts",                                                        \
            "of the failed: a request with a different body holds their idempotency key")                     \
    COUNTER(ClientCancellations, "requests-cancelled-by-client",                                              \
            "requests that were read but not answered, because the client cancelled them")                    \
    COUNTER(RunsStarted, "runs-started", "runs that the worker pool was told to start")                       \
    COUNTER(RunsCancelled, "runs-cancelled", "runs that the worker pool was told to cancel")                  \
    COUNTER(RunsCompleted, "runs-completed", "runs that the worker pool reported as ended")                   \
    COUNTER(ContinuationsUnconfirmed, "continuations-unconfirmed",                                            \
            "replies to calls, or notices to go on without one, that may be lost with a connection")          \
    COUNTER(ContinuationsResent, "continuations-resent",                                                      \
            "of the unconfirmed: sent again, as the run was proven to wait")                                  \
    COUNTER(CallsStarted, "calls-started", "calls to the dependency")                                         \
    COUNTER(CallsOk, "calls-ok", "calls that succeeded")                                                      \
    COUNTER(CallsError, "calls-error", "calls that the dependency answered with an error")                    \
    COUNTER(CallsResourceExhausted, "calls-resource-exhausted",                                               \
            "calls that the dependency rejected for lack of capacity, without beginning them")                \
    COUNTER(CallsTimedOut, "calls-timed-out", "calls that timed out here or at the dependency")               \
    COUNTER(CallsUnreachable, "calls-unreachable", "calls that got no connection: nothing ran")               \
    COUNTER(CallsConnectionLost, "calls-connection-lost",                                                     \
            "calls whose connection was lost: they may have had their effect")                                \
    COUNTER(CallsMalformedResponse, "calls-malformed-response", "calls whose response cannot be parsed")      \
    COUNTER(CallsSuperseded, "calls-superseded", "calls for runs that had ended")                             \
    COUNTER(CallsAbandoned, "calls-abandoned", "calls abandoned because their request had ended")             \
    COUNTER(CallsLocalLimit, "calls-local-limit",                                                             \
            "calls not sent because a connection or memory limit of this server was reached")                 \
    COUNTER(WorkerPoolConnections, "worker-pool-connections", "connections that the worker pool accepted")    \
    COUNTER(WorkerPoolUnknownRequests, "worker-pool-unknown-requests",                                        \
            "messages to the worker pool about a request that it did not know")                               \
    COUNTER(WorkerPoolMalformedMessages, "worker-pool-malformed-messages",                                    \
            "messages from the worker pool that cannot be parsed")                                            \
    COUNTER(RegistryReportsSent, "registry-reports-sent", "state reports sent to the registry")               \
    COUNTER(RegistryReportsFailed, "registry-reports-failed", "state reports without a reply")                \
    COUNTER(Reloads, "reloads", "configuration reloads that were applied")                                    \
    COUNTER(ReloadsRejected, "reloads-rejected", "configuration reloads that were rejected")
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

/// A description of what the counter counts.
const char* meaningOf(Count count);

/// The counters of one process. They start at 0 and only increase.
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
