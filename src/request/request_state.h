/// @file
/// The state of one request from its acceptance until no answer is due and its run has ended.
///
/// Five independent aspects, all changed by the RequestManager only:
///  - ClientState: when the request is answered or its client cancels it;
///  - RunState: on decisions of the controller and reports of the executor;
///  - CallProgress: when a call of the DependencyClient is started, completed or abandoned;
///  - IdempotencyRole: mirrors what state::IdempotencyKeys holds for this request;
///  - RunContinuation: when the run is sent the reply to its dependency call or told to skip the call.
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
#include "request/run_continuation.h"

namespace cottonwing::request {

/// Whether the client still waits for the answer.
enum class ClientState {
    Waiting,
    Answered,  ///< The answer was passed to the response sink.
    Cancelled  ///< Cancelled by the client; no answer is due.
};

/// What is known about the request's run.
enum class RunState {
    NotStarted,
    /// There was no connection to send the start on: nothing runs. It is sent once there is one.
    StartNotSent,
    Running,
    /// The start may have been lost with a connection, and the request must not run twice: it is sent again
    /// only once the client has been answered or has cancelled.
    StartUnconfirmed,
    Ended
};

/// Whether a dependency call of the request is in progress.
enum class CallProgress { NotInProgress, InProgress };

/// The relation of the request to its idempotency key.
enum class IdempotencyRole {
    None,             ///< Its class uses no keys, or the key has not been claimed.
    HoldsKey,         ///< The first attempt with the key; the only one that may run.
    Duplicate,        ///< Another attempt holds the key; the controller has not decided yet.
    DuplicateWaiting  ///< Waits for the end of the attempt that holds the key.
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
    /// When the request was answered or cancelled, or when its unconfirmed start was last checked.
    Timestamp startCheckDelayBeganAt{0};

    RunState run = RunState::NotStarted;
    Timestamp runStartedAt{0};

    CallProgress dependencyCall = CallProgress::NotInProgress;
    std::string dependencyCallBody;  ///< Of the last call that the run asked for.
    std::optional<RunContinuation> continuation;

    std::string idempotencyKey;
    IdempotencyRole idempotencyRole = IdempotencyRole::None;

    std::size_t reservedBytes = 0;  ///< Counted against the RequestManager's memory limit.

    bool isClientWaiting() const { return client == ClientState::Waiting; }
    /// Whether the executor has not yet reported the end of the run. Its start may not have been sent yet.
    bool isRunInProgress() const;
    bool isDependencyCallInProgress() const { return dependencyCall == CallProgress::InProgress; }
    /// Whether its run may or may not have received the continuation that was sent to it.
    bool isContinuationUnconfirmed() const { return continuation && continuation->isUnconfirmed(); }
    /// Whether no answer is due and no run is in progress.
    bool isFinished() const { return !isClientWaiting() && !isRunInProgress(); }

    /// @return the parameters with which to start the run; refers to this object.
    RunSpec runSpec() const;
};

}  // namespace cottonwing::request
