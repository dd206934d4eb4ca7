/// @file
/// Data types of the overload controller: its configuration, the events it consumes and the outcomes it
/// distinguishes. The types are independent of any wire format and contain no policy.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace cottonwing {

/// A span of time, in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A point in time, in nanoseconds since the Unix epoch.
using Timestamp = std::chrono::nanoseconds;

/// Identifies one attempt of a client's request; unique among the requests in progress.
using RequestId = std::uint64_t;

/// What makes it safe to run a request, or the call it makes, more than once.
enum class Idempotency {
    Idempotent,  ///< Running it again has no further effect.
    WithKey,     ///< All attempts carry one idempotency key; at most one of them may run.
    None         ///< It may run only once.
};

/// How a run can be stopped when its client no longer waits.
enum class RunCancellation { Unsupported, Abort, Suspend };

/// The form in which the server advertises its load to clients.
enum class LoadSignal { None, Threshold, Window, Share };

/// What the server depends on to complete a request.
enum class DependencyKind {
    None,
    Shared,  ///< One service that all servers of the fleet share, under a quota.
    Tier     ///< A tier of servers that sheds its own load.
};

/// How a run or a dependency call ended.
enum class Outcome {
    Ok,
    Error,              ///< It ran and reported a failure.
    ResourceExhausted,  ///< The dependency shed the call; it never ran.
    TimedOut,           ///< No result within the attempt timeout; it may have had its effect.
    Unreachable,        ///< The connection could not be opened; it never ran.
    ConnectionLost,     ///< The connection broke during the call; it may have had its effect.
    Cancelled,          ///< Stopped on request.
    Superseded,         ///< Not run, because the request had already ended.
    MalformedResponse,  ///< The response cannot be parsed; the call itself has completed.
    LocalLimit          ///< Held back by a limit of this server; it was never sent.
};

/// The service level and the properties that all requests of one class share.
struct RequestClass {
    Idempotency idempotency = Idempotency::Idempotent;
    /// A response within this time after the first attempt earns its full value.
    Duration latencyObjective{0};
    /// Extends the latency objective by this multiple of the request's expected work.
    double latencyObjectiveWorkFactor = 0;
    /// How long a client waits in total, from the first attempt on.
    Duration timeout{0};
    /// With Idempotency::WithKey: how long after an attempt a duplicate may still arrive.
    Duration idempotencyWindow{0};
    /// Value of a response within the latency objective, relative to other classes.
    double priorityWeight = 1;
    /// Fraction of the value that a response after the latency objective retains.
    double lateValueFraction = 0;
    /// Fraction of the value that a response without its dependency call retains; 0: the call is required.
    double degradedValueFraction = 0;
    bool callsDependency = false;
};

/// The request rate granted to one tenant.
struct TenantQuota {
    double requestsPerSecond = 0;  ///< Over all servers of the fleet.
};

/// Everything the overload controller is configured with at start.
struct ControllerConfig {
    std::uint64_t seed = 0;  ///< Seed of the random generator.
    std::vector<RequestClass> requestClasses;
    std::vector<TenantQuota> tenants;
    /// Fraction of its value that a request keeps when its tenant exceeds the quota.
    double overQuotaValueFraction = 1;
    /// Whether the value of a request is multiplied by its expected work.
    bool valueCountsWork = false;
    /// Weight of the total value in the optimization goal.
    double goalTotalValue = 1;
    /// Weight of the request class with the lowest success ratio in the optimization goal.
    double goalWorstClass = 0;
    int peerCount = 1;  ///< Servers of the fleet, this one included.
    int cores = 1;
    bool startsCold = false;
    /// Fraction of its full capacity that a server has at a cold start.
    double coldCapacityFraction = 1;
    /// Time from a cold start to full capacity.
    Duration warmUpTime{0};
    double memoryLimitKb = 0;
    /// Memory reserved for one retained idempotency key, in KB; 0: keys are held elsewhere.
    double idempotencyKeyKb = 0;
    /// Multiple of a request's memory that is reserved while it runs.
    double runMemoryFactor = 1;
    RunCancellation runCancellation = RunCancellation::Unsupported;
    LoadSignal loadSignal = LoadSignal::None;
    DependencyKind dependency = DependencyKind::None;
    /// Mean number of calls this server may have in progress at a shared dependency.
    double dependencyQuota = 0;
    /// Time over which that mean is taken.
    Duration dependencyQuotaWindow{0};
    /// How long the dependency keeps working on an abandoned call.
    Duration abandonedCallTime{0};
    /// Requests that arrive later than this after the shutdown notice are never run.
    Duration drainGrace{0};
    /// Running requests per core beyond which the server collapses, at full capacity.
    double overloadFactor = 1;
    /// Time over which the mean of that number is taken.
    Duration overloadWindow{0};
    bool retryAfterAllowed = false;
    Duration maxRetryAfter{0};
    Duration maxConnectionIdle{0};
    int clientCount = 0;  ///< Clients that hold connections to servers of this tier.
};

/// A request as it reached the server.
struct Request {
    RequestId id = 0;
    int requestClass = 0;                  ///< Index into ControllerConfig::requestClasses.
    int tenant = -1;                       ///< Index into ControllerConfig::tenants; -1: none.
    std::optional<Timestamp> deadline;     ///< When the client stops waiting; default: the class's timeout.
    std::optional<Duration> expectedWork;  ///< On one standard core.
    double memoryKb = 0;                   ///< Reserved while the request is queued.
    double rank = 0;                       ///< As sent by the client, in [0, 1).
    bool isRetry = false;                  ///< Marked as a retry or a hedged request.
    Duration queuedBeforeRead{0};          ///< Time from its arrival at the machine until it was read.
    /// The latest time at which the last byte of the request may have reached the machine. It can be long
    /// after the arrival time, which the client states and at which the client may only have started to
    /// write. Default: the arrival time.
    std::optional<Timestamp> fullyReceivedBy;
    /// The earlier attempt with the same idempotency key, if one is known.
    std::optional<RequestId> duplicateOf;
};

/// The end of a run or of a dependency call.
struct Completion {
    RequestId id = 0;
    Outcome outcome = Outcome::Ok;
    Duration elapsed{0};
};

/// Measurements of the machine; absent where the platform does not provide them.
struct Gauges {
    std::optional<double> coreUtilization;  ///< From 0 to 1.
    std::optional<double> coreDemand;       ///< Number of runnable requests and other tasks that need a core.
    std::optional<double> memoryUtilization;  ///< From 0 to 1.
    std::optional<double> openConnections;
};

/// Everything that reached one server since the previous batch.
struct EventBatch {
    Timestamp now{0};
    std::vector<Request> arrivals;
    std::vector<Completion> dependencyResults;
    /// Running requests whose dependency call has ended, but whose run may not have learned of it: it may
    /// still wait for the call.
    std::vector<RequestId> possiblyStillWaiting;
    std::vector<RequestId> waitingForDependency;  ///< Running requests that now want their dependency call.
    std::vector<Completion> runResults;
    std::vector<RequestId> clientCancellations;
    std::optional<Gauges> gauges;            ///< Present when the control tick fired.
    std::optional<Timestamp> processEndsAt;  ///< Shutdown notice: when the process ends.
};

}  // namespace cottonwing
