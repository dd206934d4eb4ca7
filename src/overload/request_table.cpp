#include "overload/request_table.h"

#include "overload/units.h"

namespace cottonwing::overload {

RequestState& RequestTable::add(const RequestState& request) {
    return requests_.emplace(request.id, request).first->second;
}

RequestState* RequestTable::find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::remove(RequestState& request) {
    unanswered_.erase(request.answerBy, request.id);
    admissionQueue_.erase(request.deadline, request.id);
    callQueue_.erase(request.deadline, request.id);
    if (request.phase == RequestPhase::OnCores) --runsOnCores_;
    if (request.hasStarted()) --runsInProgress_;
    const RequestId id = request.id;
    requests_.erase(id);
}

void RequestTable::setAnswerBy(RequestState& request, Timestamp answerBy) {
    unanswered_.erase(request.answerBy, request.id);
    request.answerBy = answerBy;
    unanswered_.insert(answerBy, request.id);
}

void RequestTable::closeAnswer(RequestState& request) {
    request.answer = AnswerState::Closed;
    unanswered_.erase(request.answerBy, request.id);
    callQueue_.erase(request.deadline, request.id);
}

void RequestTable::enterAdmissionQueue(RequestState& request) {
    admissionQueue_.insert(request.deadline, request.id);
}

void RequestTable::startRun(RequestState& request, Timestamp now) {
    admissionQueue_.erase(request.deadline, request.id);
    ++runsInProgress_;
    resumeRun(request, now);
}

void RequestTable::waitForDependency(RequestState& request, Timestamp now) {
    leaveCores(request, now);
    ++request.call.callsWanted;
    beginWaiting(request, now);
}

void RequestTable::presumeWaiting(RequestState& request, Timestamp now) {
    leaveCores(request, now);
    request.phase = RequestPhase::PossiblyWaiting;
}

void RequestTable::repeatEndedCall(RequestState& request, Timestamp now) {
    request.call.repeatsEndedCall = true;
    beginWaiting(request, now);
}

void RequestTable::withdrawRepeatedCall(RequestState& request) {
    callQueue_.erase(request.deadline, request.id);
    request.call.repeatsEndedCall = false;
    request.phase = RequestPhase::PossiblyWaiting;
}

void RequestTable::leaveCores(RequestState& request, Timestamp now) {
    request.earlierCoreSeconds += toSeconds(now - request.phaseStart);
    request.phaseStart = now;
    --runsOnCores_;
}

void RequestTable::beginWaiting(RequestState& request, Timestamp now) {
    request.phase = RequestPhase::WaitingForDependency;
    request.phaseStart = now;
    request.call.retryAt = now;
    request.call.attempts = 0;
    if (request.answerPending()) enterCallQueue(request);
}

void RequestTable::enterCallQueue(RequestState& request) { callQueue_.insert(request.deadline, request.id); }

void RequestTable::startCall(RequestState& request, Timestamp now) {
    request.phase = RequestPhase::CallingDependency;
    request.phaseStart = now;
    ++request.call.attempts;
    callQueue_.erase(request.deadline, request.id);
}

void RequestTable::resumeRun(RequestState& request, Timestamp now) {
    callQueue_.erase(request.deadline, request.id);
    request.call.repeatsEndedCall = false;
    request.phase = RequestPhase::OnCores;
    request.phaseStart = now;
    ++runsOnCores_;
}

double coreSecondsSoFar(const RequestState& request, Timestamp now) {
    return request.earlierCoreSeconds + toSeconds(now - request.phaseStart);
}

CallsInFlight callsInFlight(const RequestTable& requests, Timestamp now) {
    CallsInFlight calls;
    for (const auto& [id, request] : requests) {
        if (request.phase != RequestPhase::CallingDependency) continue;
        ++calls.count;
        calls.totalAgeSeconds += toSeconds(now - request.phaseStart);
    }
    return calls;
}

}  // namespace cottonwing::overload
