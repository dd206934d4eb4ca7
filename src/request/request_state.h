/// @file
/// The state of one request from its acceptance until both its answer and the end of its run are known.
///
/// Five independent aspects, each with one owner that changes it:
///  - ClientState: RequestManager, on the answer or on the client's cancellation;
///  - RunState: RequestManager, on the controller's decisions and on the executor's reports;
///  - CallProgress: RequestManager, as it starts and abandons calls at the DependencyClient;
///  - IdempotencyRole: mirrors what state::IdempotencyKeys holds for this request;
///  - RunContinuation: what the run was last sent in place of its dependency call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "overload/types.h"
#include "request/executor.h"
#include "request/incoming_request.h"
#include "request/payload_format.h"
#include "request/response_sink.h"

namespace cottonwing::request {

/// Whether the client still waits for the answer.
enum class ClientState {
    Waiting,
    Answered,  ///< One answer went to the response sink.
    Cancelled  ///< Cancelled by the client; no answer is due.
};

/// What is known of the request's run.
enum class RunState {
    NotStarted,
    Running,
    /// The start may have been lost with a connection, and the request may not run twice: the executor is
    /// asked for the run only after nobody waits for the request any more.
    StartUnconfirmed,
    Ended
};

/// Whether a dependency call of the request is out.
enum class CallProgress { NotInProgress, InProgress };

/// The part that the request plays for its idempotency key.
enum class IdempotencyRole {
    None,             ///< Its class carries no key, or the key has not been claimed.
    HoldsKey,         ///< The first attempt with the key; the only one that may run.
    Duplicate,        ///< Another attempt holds the key; the controller has yet to decide.
    DuplicateWaiting  ///< Waits for the end of the attempt that holds the key.
};

/// What a run was sent so that it continues after it asked for its dependency call. It is retained because it
/// may be lost with the executor's connection and is then sent again.
struct RunContinuation {
    std::optional<std::string> reply;  ///< Body of the reply; absent: the call was skipped.
    Timestamp sentAt{0};
};

/// One request in the table of the RequestManager.
struct TrackedRequest {
    std::string externalId;
    std::string body;
    int requestClass = 0;  ///< Index into ControllerConfig::requestClasses.
    PayloadFormat format = PayloadFormat::Plain;
    std::uint64_t routingKey = 0;
    Timestamp deadline{0};
    ResponseSink* sink = nullptr;  ///< Receives the answer; not owned, outlives the request.

    ClientState client = ClientState::Waiting;
    /// When the answer was given or the client cancelled; moved on with each inquiry after an unconfirmed
    /// start.
    Timestamp startCheckDelayBeganAt{0};

    RunState run = RunState::NotStarted;
    Timestamp runStartedAt{0};

    CallProgress dependencyCall = CallProgress::NotInProgress;
    std::string dependencyCallBody;  ///< Of the call that the run asked for last.
    std::optional<RunContinuation> continuation;

    std::string idempotencyKey;
    IdempotencyRole idempotencyRole = IdempotencyRole::None;

    std::size_t reservedBytes = 0;  ///< Counted against the RequestManager's memory limit.

    bool isClientWaiting() const { return client == ClientState::Waiting; }
    /// Whether the executor has yet to report the end of the run; its start may be unconfirmed.
    bool isRunInProgress() const;
    bool isDependencyCallInProgress() const { return dependencyCall == CallProgress::InProgress; }
    /// Whether nothing is to be awaited: no answer is due and no run is in progress.
    bool isFinished() const { return !isClientWaiting() && !isRunInProgress(); }

    /// @return what the executor is to be started with; refers to this object.
    RunSpec runSpec() const;
};

}  // namespace cottonwing::request
