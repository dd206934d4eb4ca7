/// @file
/// All requests in progress, with the orders in which they are served.
#pragma once

#include <map>

#include "overload/call_time_model.h"
#include "overload/deadline_queue.h"
#include "overload/request_state.h"

namespace cottonwing::overload {

/// Holds the records of the requests and moves them from phase to phase, so that the queues and counts always
/// agree with the phases. References to a record stay valid until it is removed.
class RequestTable {
public:
    /// Adds a queued request; it is not in the admission queue yet.
    RequestState& add(const RequestState& request);
    /// @return nullptr if there is no such request.
    RequestState* find(RequestId id);
    RequestState& at(RequestId id) { return requests_.at(id); }
    const RequestState& at(RequestId id) const { return requests_.at(id); }
    void remove(RequestState& request);

    void setAnswerBy(RequestState& request, Timestamp answerBy);
    /// Notes that nobody waits for an answer any more; its run may go on.
    void closeAnswer(RequestState& request);

    void enterAdmissionQueue(RequestState& request);
    void startRun(RequestState& request, Timestamp now);
    /// The run wants a dependency call, which is sent in the order of deadlines.
    void waitForDependency(RequestState& request, Timestamp now);
    void startCall(RequestState& request, Timestamp now);
    /// The call failed: the run waits again, but is not in the queue for calls.
    void callFailed(RequestState& request) { request.phase = RequestPhase::WaitingForDependency; }
    void enterCallQueue(RequestState& request);
    /// The run continues on the cores, with the result of its call or without.
    void resumeRun(RequestState& request, Timestamp now);

    const DeadlineQueue& admissionQueue() const { return admissionQueue_; }
    const DeadlineQueue& callQueue() const { return callQueue_; }
    /// @return requests whose answer is pending, by the time until which it must be given.
    const DeadlineQueue& unanswered() const { return unanswered_; }

    int runsOnCores() const { return runsOnCores_; }
    /// @return all started runs, those that wait for the dependency included.
    int runsInProgress() const { return runsInProgress_; }
    std::size_t size() const { return requests_.size(); }

    auto begin() { return requests_.begin(); }
    auto end() { return requests_.end(); }
    auto begin() const { return requests_.begin(); }
    auto end() const { return requests_.end(); }

private:
    std::map<RequestId, RequestState> requests_;
    DeadlineQueue admissionQueue_;
    DeadlineQueue callQueue_;
    DeadlineQueue unanswered_;
    int runsOnCores_ = 0;
    int runsInProgress_ = 0;
};

/// @return seconds that a run has been on the cores; it must be on them.
double coreSecondsSoFar(const RequestState& request, Timestamp now);

/// @return the dependency calls in flight.
CallsInFlight callsInFlight(const RequestTable& requests, Timestamp now);

}  // namespace cottonwing::overload
