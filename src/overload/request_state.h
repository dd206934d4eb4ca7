/// @file
/// The controller's state of one request in progress.
#pragma once

#include "overload/retry_policy.h"
#include "overload/types.h"

namespace cottonwing::overload {

/// The processing stage of a request.
enum class RequestPhase {
    Queued,           ///< In the admission queue, or not yet admitted.
    JoinedDuplicate,  ///< Waits for the result of an earlier attempt; never runs itself.
    OnCores,          ///< Its run uses a core.
    /// The run may still wait for a call that has ended, as the reply may be lost, or it may use a core.
    PossiblyWaiting,
    WaitingForDependency,  ///< Its run needs a dependency call that is not sent yet, or is to be retried.
    CallingDependency      ///< Its dependency call is in flight.
};

/// Whether the client still waits for an answer.
enum class AnswerState {
    Pending,
    Closed  ///< Answered, or cancelled by the client; only the run result is still to come.
};

/// Whether an idempotency key is retained for the request.
enum class KeyState { NotRetained, Retained };

/// Why a call was sent to the dependency.
enum class CallPurpose { Regular, HalfOpenProbe };

/// The dependency call that a run waits for, and the number of its calls so far.
struct DependencyCallState {
    int callsWanted = 0;  ///< By the run so far, including this one.
    int attempts = 0;     ///< Of this call.
    Timestamp retryAt{0};
    AttemptTime attemptTime = AttemptTime::Full;
    CallPurpose purpose = CallPurpose::Regular;
    /// The call has ended before. It is repeated only to learn whether the run still waits for it, so the run
    /// does not depend on its outcome.
    bool repeatsEndedCall = false;
};

struct RequestState {
    RequestId id = 0;
    int requestClass = 0;
    int tenant = -1;  ///< -1: none.
    bool isRetry = false;
    Timestamp arrivedAt{0};
    Timestamp fullyReceivedBy{0};  ///< By then its last byte had reached the machine.
    Timestamp deadline{0};         ///< When the client stops waiting.
    Timestamp answerBy{0};         ///< When it must be answered, shortly before.
    Timestamp objectiveEnd{0};     ///< End of the latency objective.
    double memoryKb = 0;
    Duration work{0};  ///< Expected; 0: unknown.

    RequestPhase phase = RequestPhase::Queued;
    Timestamp phaseStart{0};
    double earlierCoreSeconds = 0;  ///< Time on the cores before this phase.
    AnswerState answer = AnswerState::Pending;
    KeyState key = KeyState::NotRetained;
    DependencyCallState call;

    bool answerPending() const { return answer == AnswerState::Pending; }
    /// @return whether its run was started.
    bool hasStarted() const {
        return phase != RequestPhase::Queued && phase != RequestPhase::JoinedDuplicate;
    }
};

}  // namespace cottonwing::overload
