#include "overload/request_closing.h"

#include "overload/units.h"

namespace cottonwing::overload {

void RequestClosing::rejectOrFail(RequestState& request, Duration retryAfter) {
    switch (request.phase) {
        case RequestPhase::Queued:
            reject(request, retryAfter);
            break;
        case RequestPhase::JoinedDuplicate:
            context_.sink->fail(request.id);
            remove(request);
            break;
        default:
            context_.sink->fail(request.id);
            abandonRun(request);
    }
}

void RequestClosing::reject(RequestState& request, Duration retryAfter) {
    Rejection rejection;
    rejection.retryAfter = retryAfter;
    rejection.isRetry = request.isRetry;
    rejection.shedFraction = context_.shedRate.fraction();
    rejection.runsBreakerClosed = context_.runsBreaker.state() == CircuitBreaker::State::Closed;
    context_.sink->reject(request.id, context_.pushback.adviceFor(rejection, context_.random));
    if (request.key == KeyState::Retained) {
        context_.sink->releaseKey(request.id);
        context_.memory.releaseKey(request.id);
    }
    remove(request);
}

void RequestClosing::abandonRun(RequestState& request) {
    if (request.phase == RequestPhase::OnCores) {
        RunTimes soFar;
        soFar.coreSeconds = coreSecondsSoFar(request, context_.now);
        context_.serviceTimes.recordUnfinished(request.requestClass, soFar);
    }
    context_.requests.closeAnswer(request);
    // This includes runs that wait for the dependency: nothing else tells the executor to end them, and a run
    // that waits forever would count as a run in progress forever.
    if (context_.config.runCancellation != RunCancellation::Unsupported) context_.sink->cancelRun(request.id);
}

void RequestClosing::cancel(RequestId id) {
    RequestState* request = context_.requests.find(id);
    if (request == nullptr || !request->answerPending()) return;
    if (request->hasStarted()) {
        abandonRun(*request);
    } else {
        remove(*request);
    }
}

void RequestClosing::answerOverdueRequests() {
    const DeadlineQueue& unanswered = context_.requests.unanswered();
    while (!unanswered.empty() && unanswered.front().first <= context_.now + kControlTick)
        rejectOrFail(context_.requests.at(unanswered.front().second));
}

void RequestClosing::remove(RequestState& request) {
    if (request.phase == RequestPhase::CallingDependency) {
        // The dependency may keep working on the call.
        context_.dependency.limiter().callEnded(true, context_.now);
        endProbe(request);
    }
    if (request.hasStarted()) {
        context_.memory.runEnded(request.memoryKb);
    } else {
        context_.memory.queuedRequestLeft(request.memoryKb);
    }
    context_.requests.remove(request);
}

void RequestClosing::endProbe(RequestState& request) {
    if (request.call.purpose != CallPurpose::HalfOpenProbe) return;
    request.call.purpose = CallPurpose::Regular;
    context_.dependency.breaker().probeEnded();
}

}  // namespace cottonwing::overload
