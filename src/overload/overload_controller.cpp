#include "overload/overload_controller.h"

#include "overload/arrival_handling.h"
#include "overload/call_scheduling.h"
#include "overload/control_tick.h"
#include "overload/controller_context.h"
#include "overload/request_closing.h"
#include "overload/run_scheduling.h"

namespace cottonwing {

namespace overload {
namespace {

/// Runs the steps of each batch in their order. The steps are implemented in arrival_handling,
/// run_scheduling, call_scheduling, request_closing and control_tick; each rule that they apply has its own
/// file.
class Controller final : public OverloadController {
public:
    explicit Controller(const ControllerConfig& config);

    void decide(const EventBatch& batch, DecisionSink& sink) override;

private:
    void beginBatch(const EventBatch& batch, DecisionSink& sink);
    void recordEvents(const EventBatch& batch);
    void serveQueues();
    void detectStall();
    void beginShutdown(const EventBatch& batch);

    ControllerContext context_;
    RequestClosing closing_;
    ArrivalHandling arrivals_;
    RunScheduling runs_;
    CallScheduling calls_;
    ControlTick tick_;
    bool started_ = false;
};

Controller::Controller(const ControllerConfig& config)
    : context_(config),
      closing_(context_),
      arrivals_(context_, closing_),
      runs_(context_, closing_),
      calls_(context_, closing_),
      tick_(context_) {}

void Controller::decide(const EventBatch& batch, DecisionSink& sink) {
    beginBatch(batch, sink);
    recordEvents(batch);
    serveQueues();
    tick_.runWhenDue();
}

void Controller::beginBatch(const EventBatch& batch, DecisionSink& sink) {
    context_.sink = &sink;
    context_.now = batch.now;
    if (!started_) {
        started_ = true;
        tick_.begin();
        context_.slowStart.begin(batch.now);
        sink.setHealth(true);
    }
    if (batch.gauges) detectStall();
    beginShutdown(batch);
}

void Controller::recordEvents(const EventBatch& batch) {
    for (const Request& arrival : batch.arrivals) arrivals_.accept(arrival);
    for (const Completion& completion : batch.dependencyResults) calls_.completeCall(completion);
    for (const RequestId id : batch.possiblyStillWaiting) calls_.resolvePossibleWait(id);
    for (const RequestId id : batch.waitingForDependency) calls_.waitForDependency(id);
    // Cancellations are processed before run results: a failed run can open the circuit breaker and reject
    // the whole queue, and a client that has cancelled must not be answered.
    for (const RequestId id : batch.clientCancellations) closing_.cancel(id);
    for (const Completion& completion : batch.runResults) runs_.completeRun(completion);
    if (batch.gauges) tick_.observeGauges(*batch.gauges);
    // Done for every batch, because abandoned calls are charged to the quota even while no run waits for a
    // call.
    context_.dependency.limiter().removeExpiredAbandonedCalls(context_.now);
}

void Controller::serveQueues() {
    closing_.answerOverdueRequests();
    calls_.shedWaitingCalls();
    calls_.startWaitingCalls();
    runs_.shedQueuedRequests();
    runs_.startQueuedRequests();
}

void Controller::detectStall() {
    const std::optional<Duration> tickDelay = context_.stallDetector.tickFired(context_.now);
    if (tickDelay) context_.sink->log(stallMessage(*tickDelay));
}

void Controller::beginShutdown(const EventBatch& batch) {
    if (!context_.shutdown.begin(context_.now, batch.processEndsAt)) return;
    context_.sink->setHealth(false);
    context_.sink->log(shutdownMessage(*batch.processEndsAt - context_.now, context_.requests.size()));
    for (auto& [id, request] : context_.requests) {
        if (!request.answerPending()) continue;
        context_.requests.setAnswerBy(request, context_.shutdown.answerBy(request.deadline));
    }
}

}  // namespace
}  // namespace overload

std::unique_ptr<OverloadController> makeOverloadController(const ControllerConfig& config) {
    return std::make_unique<overload::Controller>(config);
}

}  // namespace cottonwing
