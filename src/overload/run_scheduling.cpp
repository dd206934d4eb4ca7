#include "overload/run_scheduling.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

using Transition = CircuitBreaker::Transition;

constexpr Duration kRunsOpenTime = std::chrono::seconds(5);  // of the breaker for the server's own runs
// A run that would wait for its call longer than this multiple of its own core time is not started.
constexpr double kCallWaitMultiple = 2;

}  // namespace

void RunScheduling::shedQueuedRequests() {
    if (context_.requests.admissionQueue().empty()) return;
    std::vector<QueuedRequest> byDeadline;
    byDeadline.reserve(context_.requests.admissionQueue().size());
    for (const auto& [deadline, id] : context_.requests.admissionQueue())
        byDeadline.push_back(queuedRequest(context_.requests.at(id)));
    for (const RequestId id : selectRequestsToShed(byDeadline, queueLoad())) shed(context_.requests.at(id));
}

QueueLoad RunScheduling::queueLoad() const {
    const double freeRunSlots =
        std::max(0.0, context_.concurrencyLimiter.limit() - context_.requests.runsOnCores());
    const DependencyLimiter& limiter = context_.dependency.limiter();
    QueueLoad load;
    load.now = context_.now;
    load.concurrencyLimit = context_.concurrencyLimiter.limit();
    load.freeCoreSeconds =
        freeRunSlots * context_.serviceTimes.meanBaselineCoreSeconds() * context_.serviceTimes.slowdown();
    load.coresIdle = context_.requests.runsOnCores() == 0;
    load.secondsBetweenCalls = context_.dependency.secondsBetweenCalls();
    load.dependencyIdle = limiter.hasUnusedQuota() && limiter.inFlight() == 0 &&
                          context_.requests.callQueue().empty() && context_.upcomingCalls.empty();
    load.upcomingCalls = context_.upcomingCalls;
    return load;
}

QueuedRequest RunScheduling::queuedRequest(const RequestState& request) const {
    QueuedRequest queued;
    queued.id = request.id;
    queued.deadline = request.deadline;
    queued.objectiveEnd = request.objectiveEnd;
    queued.answerBy = request.answerBy;
    queued.coreSeconds = context_.expectedCoreSeconds(request);
    queued.totalSeconds = context_.serviceTimes.expectedTotalSeconds(request.requestClass, request.work);
    queued.dependencyCalls = context_.serviceTimes.expectedCalls(request.requestClass);
    queued.value = context_.valueOf(request);
    queued.lateValueFraction = context_.classOf(request).lateValueFraction;
    return queued;
}

void RunScheduling::shed(RequestState& request) {
    // A request that arrived with little time left does not indicate that this server is overloaded.
    const Duration timeGiven = request.deadline - request.arrivedAt;
    if (timeGiven >= context_.classOf(request).latencyObjective / 2) context_.shedRate.recordShed();
    closing_.rejectOrFail(request);
}

void RunScheduling::startQueuedRequests() {
    const double callWaitSeconds =
        context_.dependency.secondsBetweenCalls() * static_cast<double>(context_.requests.callQueue().size());
    const double capacityFraction = context_.slowStart.capacityFraction(context_.now);
    const DeadlineQueue& queue = context_.requests.admissionQueue();
    for (auto next = queue.begin(); next != queue.end();) {
        const RunsInProgress runs{context_.requests.runsOnCores(), context_.requests.runsInProgress()};
        if (!context_.concurrencyLimiter.admitsRun(runs, capacityFraction)) return;
        RequestState& request = context_.requests.at(next->second);
        ++next;
        // A run that would only wait for its call takes memory and the place of a run that makes no call, and
        // its work is lost if the call cannot be made. As long as the request is queued, it can still be
        // rejected.
        const bool waitsForCall = context_.classOf(request).callsDependency &&
                                  callWaitSeconds > kCallWaitMultiple * context_.expectedCoreSeconds(request);
        if (waitsForCall) continue;
        if (!context_.memory.admitsRun(context_.now, request.memoryKb)) return;
        startRun(request);
    }
}

void RunScheduling::startRun(RequestState& request) {
    context_.requests.startRun(request, context_.now);
    context_.memory.runStarted(request.memoryKb);
    context_.sink->startRun(request.id);
}

void RunScheduling::completeRun(const Completion& completion) {
    RequestState* request = context_.requests.find(completion.id);
    if (request == nullptr) return;
    if (request->phase == RequestPhase::OnCores) learnFromRun(*request, completion);
    const bool succeeded = completion.outcome == Outcome::Ok;
    if (succeeded && request->answerPending()) recordValue(*request);
    closing_.remove(*request);
}

void RunScheduling::learnFromRun(const RequestState& request, const Completion& completion) {
    const bool succeeded = completion.outcome == Outcome::Ok;
    if (succeeded) {
        RunTimes run;
        run.coreSeconds = coreSecondsSoFar(request, context_.now);
        run.totalSeconds = toSeconds(completion.elapsed);
        run.dependencyCalls = request.call.callsWanted;
        context_.serviceTimes.recordSuccess(request.requestClass, run);
    }
    // A run that was stopped, was never started or is unknown to the executor says nothing about this
    // server's health.
    if (succeeded || completion.outcome == Outcome::Error) recordRunOutcome(succeeded);
}

void RunScheduling::recordValue(const RequestState& request) {
    const bool inTime = context_.now <= request.objectiveEnd + kControlTick;
    const double valueFraction = inTime ? 1 : context_.classOf(request).lateValueFraction;
    context_.requestValue.recordSuccess(request.requestClass, valueFraction);
}

void RunScheduling::recordRunOutcome(bool succeeded) {
    const Duration openTime = jitteredOpenTime(kRunsOpenTime, context_.random.uniform());
    const Transition transition = context_.runsBreaker.record(succeeded, context_.now, openTime);
    context_.logTransition(BreakerTarget::Runs, transition);
    if (transition != Transition::Opened && transition != Transition::Reopened) return;
    context_.sink->setHealth(false);
    while (!context_.requests.admissionQueue().empty()) {
        closing_.rejectOrFail(context_.requests.at(context_.requests.admissionQueue().front().second),
                              context_.runsBreaker.openUntil() - context_.now);
    }
}

}  // namespace cottonwing::overload
