/// @file
/// All requests in progress and the queues that order them.
#pragma once

#include <map>

#include "overload/call_time_model.h"
#include "overload/deadline_queue.h"
#include "overload/request_state.h"

namespace cottonwing::overload {

/// Owns the states of the requests and makes all their phase changes, so that queues and counters always
/// agree with the phases. References to a state stay valid until the request is removed.
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
    /// Marks a request as answered or cancelled; its run may continue.
    void closeAnswer(RequestState& request);

    void enterAdmissionQueue(RequestState& request);
    void startRun(RequestState& request, Timestamp now);
    /// Takes the run off the cores and queues it for a dependency call, in the order of deadlines.
    void waitForDependency(RequestState& request, Timestamp now);
    /// Takes the run off the cores, as it may still wait for a call that has ended.
    void presumeWaiting(RequestState& request, Timestamp now);
    /// Queues a run that possibly waits for a call that has ended, for a repetition of that call.
    void repeatEndedCall(RequestState& request, Timestamp now);
    /// Withdraws a call that was queued to be repeated: the run possibly waits for it.
    void withdrawRepeatedCall(RequestState& request);
    void startCall(RequestState& request, Timestamp now);
    /// Makes the run wait again after a failed call, but does not queue it for another call.
    void callFailed(RequestState& request) { request.phase = RequestPhase::WaitingForDependency; }
    void enterCallQueue(RequestState& request);
    /// Continues the run on the cores, with or without the result of its call.
    void resumeRun(RequestState& request, Timestamp now);

    const DeadlineQueue& admissionQueue() const { return admissionQueue_; }
    const DeadlineQueue& callQueue() const { return callQueue_; }
    /// @return requests whose answer is pending, ordered by the time by which they must be answered.
    const DeadlineQueue& unanswered() const { return unanswered_; }

    int runsOnCores() const { return runsOnCores_; }
    /// @return number of started runs, including those that wait for the dependency.
    int runsInProgress() const { return runsInProgress_; }
    std::size_t size() const { return requests_.size(); }

    auto begin() { return requests_.begin(); }
    auto end() { return requests_.end(); }
    auto begin() const { return requests_.begin(); }
    auto end() const { return requests_.end(); }

private:
    void leaveCores(RequestState& request, Timestamp now);
    void beginWaiting(RequestState& request, Timestamp now);

    std::map<RequestId, RequestState> requests_;
    DeadlineQueue admissionQueue_;
    DeadlineQueue callQueue_;
    DeadlineQueue unanswered_;
    int runsOnCores_ = 0;
    int runsInProgress_ = 0;
};

/// @return core time of a run so far, in seconds. The run must be on the cores.
double coreSecondsSoFar(const RequestState& request, Timestamp now);

/// @return the dependency calls in flight.
CallsInFlight callsInFlight(const RequestTable& requests, Timestamp now);

}  // namespace cottonwing::overload
