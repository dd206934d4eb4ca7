/// @file
/// What a soak run saw from outside: of each attempt of a request at its client, of each run at the worker
/// pool, of each call at the dependency and of each incarnation of the server process. Times are of the Unix
/// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "overload/types.h"

namespace cottonwing::soak {

/// One response as its client read it.
struct Response {
    enum class Kind { Served, Rejected, Failed };
    Duration at{0};
    Kind kind = Kind::Failed;
    std::string body;
};

/// How the connection of an attempt ended, for its client.
enum class ConnectionOutcome {
    Open,            ///< it was open when the observation ended
    ClosedByServer,  ///< in order or by a reset
    ClosedByClient
};

/// One attempt of a request, as its client saw it.
struct Attempt {
    std::string id;            ///< 16 hex digits, new with each attempt
    std::string firstAttempt;  ///< the id of the request's first attempt
    std::string key;           ///< idempotency key; empty without one
    int requestClass = 0;
    std::size_t incarnation = 0;  ///< of the server process it was sent to
    std::string body;
    double memoryKb = 0;
    Duration deadline{0};
    std::optional<Duration> writtenAt;  ///< the moment of its last byte
    std::vector<Response> responses;
    std::optional<Duration> cancelledAt;
    ConnectionOutcome connection = ConnectionOutcome::Open;
    Duration connectionEndedAt{0};
    bool connectionHadResponse = false;  ///< a byte had come on its connection
    bool clientPausedReading = false;    ///< between its last byte and its response
};

/// One run at the worker pool.
struct ObservedRun {
    std::string id;  ///< of the attempt
    std::size_t incarnation = 0;
    std::string requestClass;
    std::string body;
    Duration startedAt{0};
    std::optional<std::string> result;  ///< of a run that ended well
};

/// One call that reached the dependency and was begun there.
struct ObservedCall {
    std::string id;   ///< of the attempt it was made for
    int segment = 0;  ///< which of the run's calls it was
    std::size_t incarnation = 0;
};

/// One report that reached the registry whole.
struct RegistryReport {
    std::size_t incarnation = 0;
    Duration at{0};
    bool draining = false;
};

/// One incarnation of the server process.
struct Incarnation {
    Duration startedAt{0};
    std::optional<Duration> poolUpAt;      ///< the worker pool was up, so that the server can become ready
    std::optional<Duration> readyAt;       ///< the first good health check
    std::optional<Duration> terminatedAt;  ///< SIGTERM was sent
    std::optional<Duration> killedAt;      ///< SIGKILL was sent, and the process was there
    std::optional<Duration> endedAt;
    bool killedWithoutNotice = false;  ///< without a notice before
    int exitCode = 0;
    int exitSignal = 0;
    double peakMemoryMb = 0;
    std::size_t peakDescriptors = 0;
    double peakReservedKb = 0;          ///< of the worker pool's memory
    double peakOverloadFraction = 0;    ///< mean over the overload window, as a fraction of what it bears
    std::string sanitizerReport;        ///< empty without one
    std::uint64_t unreadableBytes = 0;  ///< responses that were no frame
    /// Requests read less those that ended, by the counters that the server prints at a graceful end: what
    /// it read in its last moments no client can tell from what it never read.
    std::int64_t unansweredByCounters = 0;
};

/// A time in which the machine stood still: the server was stopped, or the observer did not run.
struct MachinePause {
    Duration from{0};
    Duration to{0};
};

/// What a class of requests is to the rules.
struct ObservedRequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::Idempotent;
};

/// Everything that one run of the soak saw.
struct Observations {
    std::vector<ObservedRequestClass> classes;
    std::vector<Attempt> attempts;
    std::vector<ObservedRun> runs;
    std::vector<ObservedCall> calls;
    std::vector<RegistryReport> reports;
    std::vector<Incarnation> incarnations;
    std::vector<MachinePause> pauses;
    // What the server was configured with.
    Duration drainGrace{0};
    double memoryLimitMb = 0;
    std::size_t descriptorLimit = 0;
    double reservedLimitKb = 0;
};

}  // namespace cottonwing::soak
