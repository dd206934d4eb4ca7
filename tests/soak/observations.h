/// @file
/// Observations of a soak run from outside the server: each attempt at its client, each run at the worker
/// pool, each call at the dependency and each incarnation of the server process. Times are Unix times.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "overload/types.h"

namespace cottonwing::soak {

/// A response as its client received it.
struct Response {
    enum class Kind { Served, Rejected, Failed };
    Duration at{0};
    Kind kind = Kind::Failed;
    std::string body;
};

/// How the connection of an attempt ended, as seen by its client.
enum class ConnectionOutcome {
    Open,            ///< still open when the observation ended
    ClosedByServer,  ///< gracefully or by a reset
    ClosedByClient
};

/// An attempt of a request as its client observed it.
struct Attempt {
    std::string id;            ///< 16 hexadecimal digits, unique for each attempt
    std::string firstAttempt;  ///< id of the first attempt of the request
    std::string key;           ///< idempotency key; empty without one
    int requestClass = 0;
    std::size_t incarnation = 0;  ///< index of the incarnation that it was sent to
    std::string body;
    double memoryKb = 0;
    Duration deadline{0};
    std::optional<Duration> writtenAt;  ///< when its last byte was written
    std::vector<Response> responses;
    std::optional<Duration> cancelledAt;
    ConnectionOutcome connection = ConnectionOutcome::Open;
    Duration connectionEndedAt{0};
    bool connectionHadResponse = false;  ///< the connection had received a message before
    bool clientPausedReading = false;    ///< between the last byte of the request and the response
};

/// A run at the worker pool.
struct ObservedRun {
    std::string id;  ///< id of the attempt
    std::size_t incarnation = 0;
    std::string requestClass;
    std::string body;
    Duration startedAt{0};
    std::optional<std::string> result;  ///< set if the run succeeded
};

/// A call that the dependency has begun to execute.
struct ObservedCall {
    std::string id;   ///< id of the attempt
    int segment = 0;  ///< index of the call within its run
    std::size_t incarnation = 0;
};

/// A complete report received by the registry.
struct RegistryReport {
    std::size_t incarnation = 0;
    Duration at{0};
    bool draining = false;
};

/// One incarnation of the server process.
struct Incarnation {
    Duration startedAt{0};
    std::optional<Duration> poolUpAt;      ///< worker pool ready; the server can become ready
    std::optional<Duration> readyAt;       ///< first successful health check
    std::optional<Duration> terminatedAt;  ///< when SIGTERM was sent
    std::optional<Duration> killedAt;      ///< when SIGKILL was sent to the running process
    std::optional<Duration> endedAt;
    bool killedWithoutNotice = false;  ///< by SIGKILL without SIGTERM before
    /// The process held no socket any more at the end of the shutdown timeout; its sanitizer took longer.
    bool awaitedSanitizer = false;
    int exitCode = 0;
    int exitSignal = 0;
    double peakMemoryMb = 0;
    std::size_t peakDescriptors = 0;
    double peakReservedKb = 0;  ///< reserved memory of the worker pool
    double peakOverloadFraction =
        0;                        ///< mean runs on the cores over the overload window, relative to the limit
    std::string sanitizerReport;  ///< first line; empty if there is none
    std::uint64_t unreadableBytes = 0;  ///< number of responses that could not be decoded
    /// Requests read minus requests ended, from the counters that the server prints after a graceful
    /// shutdown. A client cannot distinguish a request that was read just before the exit from one that was
    /// never read.
    std::int64_t unansweredByCounters = 0;
};

/// A period in which the machine stalled: the server was stopped, or the observer did not run.
struct MachinePause {
    Duration from{0};
    Duration to{0};
};

/// The properties of a request class that the rules depend on.
struct ObservedRequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::Idempotent;
};

/// All observations of one soak run.
struct Observations {
    std::vector<ObservedRequestClass> classes;
    std::vector<Attempt> attempts;
    std::vector<ObservedRun> runs;
    std::vector<ObservedCall> calls;
    std::vector<RegistryReport> reports;
    std::vector<Incarnation> incarnations;
    std::vector<MachinePause> pauses;
    // Configuration of the server.
    Duration drainGrace{0};
    double memoryLimitMb = 0;
    std::size_t descriptorLimit = 0;
    double reservedLimitKb = 0;
};

}  // namespace cottonwing::soak
