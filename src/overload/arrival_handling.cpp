#include "overload/arrival_handling.h"

#include "overload/units.h"

namespace cottonwing::overload {

ArrivalHandling::ArrivalHandling(ControllerContext& context, RequestClosing& closing)
    : context_(context), closing_(closing), latencyObjective_(context.config.requestClasses) {}

void ArrivalHandling::accept(const Request& arrival) {
    RequestState& request = track(arrival);
    const bool keyed = context_.classOf(request).idempotency == Idempotency::WithKey;
    if (keyed && arrival.duplicateOf) {
        joinDuplicate(request);
    } else {
        admit(request);
    }
}

RequestState& ArrivalHandling::track(const Request& arrival) {
    RequestState request;
    request.id = arrival.id;
    request.requestClass = arrival.requestClass;
    request.tenant = arrival.tenant;
    request.isRetry = arrival.isRetry;
    request.arrivedAt = context_.now - arrival.queuedBeforeRead;
    request.fullyReceivedBy = arrival.fullyReceivedBy.value_or(request.arrivedAt);
    request.deadline = arrival.deadline.value_or(request.arrivedAt + context_.classOf(request).timeout);
    request.memoryKb = arrival.memoryKb;
    request.work = arrival.expectedWork.value_or(Duration::zero());

    RequestTimes times;
    times.arrivedAt = request.arrivedAt;
    times.deadline = request.deadline;
    times.work = request.work;
    times.isRetry = request.isRetry;
    request.objectiveEnd = latencyObjective_.endFor(request.requestClass, times);

    context_.requestValue.recordArrival(valuedRequest(request));
    context_.shedRate.recordArrival();
    const double objectiveSeconds = toSeconds(context_.classOf(request).latencyObjective);
    context_.pushback.recordQueueingDelay(toSeconds(arrival.queuedBeforeRead) / objectiveSeconds);
    context_.serviceTimes.recordExpectedWork(request.requestClass, request.work);
    context_.memory.requestArrived(request.memoryKb);

    RequestState& tracked = context_.requests.add(request);
    context_.requests.setAnswerBy(tracked, context_.shutdown.answerBy(tracked.deadline));
    return tracked;
}

void ArrivalHandling::joinDuplicate(RequestState& request) {
    // The earlier attempt is in progress or has run, so only its result may be the answer, even after the
    // drain grace. If memory is short, the duplicate fails rather than being rejected: a rejection would
    // assert that no attempt ran.
    request.phase = RequestPhase::JoinedDuplicate;
    if (!context_.memory.admitsArrival(context_.now, false)) {
        closing_.rejectOrFail(request);
        return;
    }
    context_.sink->joinDuplicate(request.id);
}

void ArrivalHandling::admit(RequestState& request) {
    const RequestClass& requestClass = context_.classOf(request);
    const bool needsKey = requestClass.idempotency == Idempotency::WithKey;
    // A request cannot be run without memory for its idempotency key.
    if (context_.shutdown.rejectsArrival(request.fullyReceivedBy) ||
        !context_.memory.admitsArrival(context_.now, needsKey)) {
        closing_.rejectOrFail(request);
        return;
    }
    if (needsKey && context_.memory.retainsKeys()) retainKey(request);
    if (runsBreakerRejects()) {
        closing_.rejectOrFail(request, context_.config.maxRetryAfter);
        return;
    }
    // A request that needs the dependency is rejected while the circuit breaker is open, before any work is
    // spent on it.
    const bool callRequired = requestClass.callsDependency && requestClass.degradedValueFraction <= 0;
    const CircuitBreaker& breaker = context_.dependency.breaker();
    if (breaker.isOpen() && callRequired) {
        closing_.rejectOrFail(request, breaker.openUntil() - context_.now);
        return;
    }
    context_.requests.enterAdmissionQueue(request);
}

void ArrivalHandling::retainKey(RequestState& request) {
    const Timestamp expiry =
        context_.memory.retainKey(request.id, context_.classOf(request).idempotencyWindow, context_.now);
    request.key = KeyState::Retained;
    context_.sink->retainKey(request.id, expiry - context_.now);
}

bool ArrivalHandling::runsBreakerRejects() const {
    if (context_.runsBreaker.isOpen()) return true;
    const bool probeInProgress =
        context_.requests.runsInProgress() > 0 || !context_.requests.admissionQueue().empty();
    return context_.runsBreaker.state() == CircuitBreaker::State::HalfOpen && probeInProgress;
}

}  // namespace cottonwing::overload
