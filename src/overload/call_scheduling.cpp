#include "overload/call_scheduling.h"

#include <algorithm>
#include <vector>

#include "overload/dependency_queue.h"
#include "overload/units.h"

namespace cottonwing::overload {

namespace {

// A run that possibly waits is presumed to wait when it has shown no progress for this multiple of the
// expected duration of a whole run.
constexpr double kPossibleWaitFactor = 3;

}  // namespace

void CallScheduling::waitForDependency(RequestId id) {
    RequestState* request = context_.requests.find(id);
    if (request == nullptr) return;
    if (request->call.repeatsEndedCall || request->phase == RequestPhase::PossiblyWaiting) {
        endRepeatedCall(*request, true);
        continueRun(*request);
    }
    if (request->phase != RequestPhase::OnCores) return;
    context_.requests.waitForDependency(*request, context_.now);
}

void CallScheduling::resolvePossibleWait(RequestId id) {
    RequestState* request = context_.requests.find(id);
    if (request == nullptr || !request->answerPending()) return;
    if (request->phase == RequestPhase::OnCores) context_.requests.presumeWaiting(*request, context_.now);
    if (request->phase != RequestPhase::PossiblyWaiting) return;
    if (isRepeatable(context_.classOf(*request).idempotency))
        context_.requests.repeatEndedCall(*request, context_.now);
    else
        limitPossibleWait(*request);
}

void CallScheduling::limitPossibleWait(RequestState& request) {
    const double runSeconds = context_.serviceTimes.expectedTotalSeconds(request.requestClass, request.work);
    const Timestamp answerBy = context_.now + fromSeconds(kPossibleWaitFactor * runSeconds);
    context_.requests.setAnswerBy(request, std::min(request.answerBy, answerBy));
}

void CallScheduling::endRepeatedCall(RequestState& request, bool mayStillRun) {
    if (request.phase != RequestPhase::CallingDependency) return;
    context_.dependency.limiter().callEnded(mayStillRun, context_.now);
    closing_.endProbe(request);
}

void CallScheduling::continueRun(RequestState& request) {
    context_.requests.resumeRun(request, context_.now);
    if (request.answerPending())
        context_.requests.setAnswerBy(request, context_.shutdown.answerBy(request.deadline));
}

void CallScheduling::completeCall(const Completion& completion) {
    RequestState* request = context_.requests.find(completion.id);
    if (request == nullptr || request->phase != RequestPhase::CallingDependency) return;
    const bool repeated = request->call.repeatsEndedCall;
    if (repeated && completion.outcome == Outcome::Superseded) {
        endRepeatedCall(*request, false);
        return continueRun(*request);
    }
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
        if (repeated) return continueRun(*request);
        return context_.requests.resumeRun(*request, context_.now);
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
    if (request.call.repeatsEndedCall) {
        context_.requests.withdrawRepeatedCall(request);
        limitPossibleWait(request);
        return;
    }
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
    const bool hasValue =
        context_.now < request.objectiveEnd || context_.classOf(request).lateValueFraction > 0;
    if (!hasValue && !request.call.repeatsEndedCall) {
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
