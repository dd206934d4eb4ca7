#include "overload/call_scheduling.h"

#include <vector>

#include "overload/dependency_queue.h"

namespace cottonwing::overload {

void CallScheduling::waitForDependency(RequestId id) {
    RequestState* request = context_.requests.find(id);
    if (request == nullptr || request->phase != RequestPhase::OnCores) return;
    context_.requests.waitForDependency(*request, context_.now);
}

void CallScheduling::completeCall(const Completion& completion) {
    RequestState* request = context_.requests.find(completion.id);
    if (request == nullptr || request->phase != RequestPhase::CallingDependency) return;
    context_.dependency.limiter().callEnded(mayStillRunAtDependency(completion.outcome), context_.now);
    closing_.endProbe(*request);
    EndedAttempt attempt;
    attempt.outcome = completion.outcome;
    attempt.elapsed = completion.elapsed;
    attempt.time = request->call.attemptTime;
    attempt.stalled = context_.stallDetector.affects(context_.now);
    const CircuitBreaker::Transition transition =
        context_.dependency.recordOutcome(attempt, context_.now, context_.random);
    context_.logTransition(BreakerTarget::Dependency, transition);
    if (completion.outcome == Outcome::Ok) {
        context_.requests.resumeRun(*request, context_.now);
        return;
    }
    context_.requests.callFailed(*request);
    if (request->answerPending()) retryOrSkipCall(*request, completion.outcome);
}

void CallScheduling::retryOrSkipCall(RequestState& request, Outcome outcome) {
    FailedAttempt attempt;
    attempt.outcome = outcome;
    attempt.idempotency = context_.classOf(request).idempotency;
    attempt.attempts = request.call.attempts;
    request.call.retryAt = context_.now + context_.dependency.backoff(attempt.attempts, context_.random);
    if (context_.dependency.shouldRetry(attempt) && request.call.retryAt < request.objectiveEnd) {
        context_.requests.enterCallQueue(request);
    } else {
        skipCall(request);
    }
}

void CallScheduling::skipCall(RequestState& request) {
    if (context_.classOf(request).degradedValueFraction <= 0) {
        closing_.rejectOrFail(request);
        return;
    }
    context_.requests.resumeRun(request, context_.now);
    context_.sink->skipDependencyCall(request.id);
}

void CallScheduling::shedWaitingCalls() {
    if (context_.requests.callQueue().empty()) return;
    DependencyRate rate;
    rate.now = context_.now;
    rate.callSeconds = context_.dependency.callSeconds();
    rate.secondsBetweenCalls = context_.dependency.secondsBetweenCalls();
    std::vector<WaitingCall> byDeadline;
    for (const auto& [deadline, id] : context_.requests.callQueue()) {
        const RequestState& request = context_.requests.at(id);
        WaitingCall call;
        call.id = id;
        call.objectiveEnd = request.objectiveEnd;
        call.answerBy = request.answerBy;
        call.coreSeconds = context_.expectedCoreSeconds(request);
        call.value = context_.valueOf(request);
        call.lateValueFraction = context_.classOf(request).lateValueFraction;
        byDeadline.push_back(call);
    }
    for (const RequestId id : selectCallsToSkip(byDeadline, rate)) skipCall(context_.requests.at(id));
}

void CallScheduling::startWaitingCalls() {
    context_.halfOpenWhenDue(BreakerTarget::Dependency, context_.requests.callQueue().size());
    const std::vector<DeadlineQueue::Entry> waiting(context_.requests.callQueue().begin(),
                                                    context_.requests.callQueue().end());
    for (const auto& [deadline, id] : waiting) startCallIfPossible(context_.requests.at(id));
}

void CallScheduling::startCallIfPossible(RequestState& request) {
    const CircuitBreaker& breaker = context_.dependency.breaker();
    if (breaker.isOpen()) {
        skipCall(request);
        return;
    }
    // A response after the latency objective has no value for this class, so no call is sent for it.
    if (context_.now >= request.objectiveEnd && context_.classOf(request).lateValueFraction <= 0) {
        closing_.rejectOrFail(request);
        return;
    }
    // While a half-open probe is in flight, the other runs wait for its result, which arrives soon; failing
    // them would waste the work already done for them.
    if (request.call.retryAt > context_.now || !context_.dependency.hasCapacity() || breaker.probeInFlight())
        return;
    startCall(request);
}

void CallScheduling::startCall(RequestState& request) {
    CircuitBreaker& breaker = context_.dependency.breaker();
    if (breaker.state() == CircuitBreaker::State::HalfOpen) {
        breaker.probeStarted();
        request.call.purpose = CallPurpose::HalfOpenProbe;
    }
    const AttemptTimeout& attemptTimeout = context_.dependency.attemptTimeout();
    const Duration timeout = attemptTimeout.valueFor(request.answerBy - context_.now);
    request.call.attemptTime =
        attemptTimeout.isShortened(timeout) ? AttemptTime::Shortened : AttemptTime::Full;
    context_.requests.startCall(request, context_.now);
    context_.dependency.limiter().callStarted();
    context_.sink->callDependency(request.id, timeout);
}

}  // namespace cottonwing::overload
