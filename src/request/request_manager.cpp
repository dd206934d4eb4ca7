#include "request/request_manager.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace cottonwing::request {

namespace {

using namespace std::chrono_literals;
using state::KeyClaim;
using state::KeyOutcome;
using telemetry::Count;

// Gauges older than this are omitted from a batch instead of being reported as current.
constexpr Duration kGaugesMaxAge = 100ms;
// Time from the answer to a request, or its cancellation, until its unconfirmed start is checked, and between
// such checks. After this time the executor no longer runs the request: when it is asked to start it, it
// reports that nothing ran.
constexpr Duration kStartCheckDelay = 1s;
// Tolerated difference between the clocks of clients and servers. An idempotency key is retained for this
// long beyond its window and the timeout of its request class.
constexpr Duration kClockTolerance = 2s;
// Memory reserved for each request: its body, the body of its dependency call and the reply, each estimated
// at the size of the request's body, and the overhead of the table entries.
constexpr std::size_t kBodiesPerRequest = 3;
constexpr std::size_t kRequestOverheadBytes = 1024;
// The part of the memory for idempotency keys that holds the ids of requests that may run only once.
constexpr std::size_t kStartedRequestsDivisor = 8;

}  // namespace

RequestManager::RequestManager(net::Loop& loop, const ControllerConfig& config, std::size_t maxRequestBytes,
                               std::size_t maxKeyBytes, telemetry::Log& log, telemetry::Counters& counters)
    : config_(config),
      maxRequestBytes_(maxRequestBytes),
      log_(log),
      counters_(counters),
      tickTimer_(loop, [this] { controlTick(); }),
      decisions_(log),
      keys_(maxKeyBytes - maxKeyBytes / kStartedRequestsDivisor),
      startedRequests_(maxKeyBytes / kStartedRequestsDivisor) {}

void RequestManager::attach(ResponseSink& sink, Executor& executor, DependencyClient& dependencyClient) {
    sinks_ = {&sink};
    executor_ = &executor;
    dependencyClient_ = &dependencyClient;
}

// ---- Events from protocol servers -----------------------------------------------------------------------

void RequestManager::accept(IncomingRequest incoming) {
    counters_.add(Count::RequestsRead);
    const auto entry = track(incoming);
    const std::size_t bytes = kBodiesPerRequest * incoming.body.size() + kRequestOverheadBytes;
    if (!hasCapacityFor(bytes)) return rejectForCapacity(entry, incoming);
    if (!claimId(entry, incoming) || !claimIdempotencyKey(entry, incoming)) return;
    enqueueArrival(entry, std::move(incoming), bytes);
}

RequestManager::Table::iterator RequestManager::track(const IncomingRequest& incoming) {
    const Table::iterator entry = table_.emplace(incoming.request.id, TrackedRequest{}).first;
    entry->second.sink = incoming.sink != nullptr ? incoming.sink : sinks_.front();
    ++unansweredCount_;
    return entry;
}

// No request can run before the executor is ready, or without memory for it.
bool RequestManager::hasCapacityFor(std::size_t bytes) const {
    return controller_ && reservedBytes_ + bytes <= maxRequestBytes_;
}

// A rejection tells the client that nothing ran and that it may retry on another server. If another attempt
// holds the idempotency key and may have run, the request fails instead.
void RequestManager::rejectForCapacity(Table::iterator entry, const IncomingRequest& incoming) {
    if (controller_) counters_.add(Count::RejectedForMemory);
    if (!incoming.idempotencyKey.empty() && keys_.holder(incoming.idempotencyKey)) return answerFailed(entry);
    answerRejected(entry, {});
}

// Whether requests of the class have neither an idempotent effect nor a key.
bool RequestManager::mayRunOnlyOnce(int requestClass) const {
    return classOf(requestClass).idempotency == Idempotency::None;
}

bool RequestManager::mustNotRunAgain(RequestId id, int requestClass) {
    return mayRunOnlyOnce(requestClass) && (contains(id) || startedRequests_.contains(id, net::unixNow()));
}

// An id that comes again after its request has run is answered as failed, as its effect may have happened.
// Returns whether to proceed with the request; if not, it has been answered.
bool RequestManager::claimId(Table::iterator entry, const IncomingRequest& incoming) {
    if (!mayRunOnlyOnce(incoming.request.requestClass)) return true;
    const Timestamp now = net::unixNow();
    if (startedRequests_.contains(incoming.request.id, now)) {
        counters_.add(Count::RepeatedIds);
        answerFailedByClient(entry);
        return false;
    }
    if (startedRequests_.hasRoom(now)) return true;
    counters_.add(Count::RejectedForMemory);
    answerRejected(entry, {});
    return false;
}

// Returns whether to proceed with the request; if not, it has been answered.
bool RequestManager::claimIdempotencyKey(Table::iterator entry, IncomingRequest& incoming) {
    const RequestClass& requestClass = classOf(incoming.request.requestClass);
    if (requestClass.idempotency != Idempotency::WithKey) return true;
    const Timestamp now = net::unixNow();
    state::KeyAttempt attempt;
    attempt.id = incoming.request.id;
    // Seeded, so that no client can construct a different body with the same hash.
    attempt.bodyHash = std::hash<std::string>{}(std::to_string(config_.seed) + incoming.body);
    attempt.arrivedAt = now - incoming.request.queuedBeforeRead;
    attempt.readAt = now;
    const state::KeyRetention retention{requestClass.idempotencyWindow,
                                        requestClass.timeout + kClockTolerance};
    const KeyClaim claim = keys_.claim(incoming.idempotencyKey, attempt, retention);
    TrackedRequest& request = entry->second;
    switch (claim) {
        case KeyClaim::Conflict:
            counters_.add(Count::KeyConflicts);
            answerFailedByClient(entry);
            return false;
        case KeyClaim::NoCapacity:
            counters_.add(Count::RejectedForMemory);
            answerRejected(entry, {});
            return false;
        case KeyClaim::Granted:
            request.idempotencyRole = IdempotencyRole::HoldsKey;
            break;
        case KeyClaim::Duplicate:
            counters_.add(Count::DuplicateRequests);
            request.idempotencyRole = IdempotencyRole::Duplicate;
            incoming.request.duplicateOf = keys_.holder(incoming.idempotencyKey);
            break;
    }
    request.idempotencyKey = std::move(incoming.idempotencyKey);
    return true;
}

void RequestManager::enqueueArrival(Table::iterator entry, IncomingRequest incoming, std::size_t bytes) {
    const Duration classTimeout = classOf(incoming.request.requestClass).timeout;
    TrackedRequest& request = entry->second;
    request.reservedBytes = bytes;
    reservedBytes_ += bytes;
    request.externalId = std::move(incoming.externalId);
    request.body = std::move(incoming.body);
    request.requestClass = incoming.request.requestClass;
    request.format = incoming.format;
    request.routingKey = incoming.routingKey;
    request.deadline = incoming.request.deadline.value_or(net::unixNow() + classTimeout);
    batch_.arrivals.push_back(incoming.request);
    hasEvents_ = true;
}

void RequestManager::clientCancelled(RequestId id) {
    const auto entry = findWaiting(id);
    if (entry == table_.end()) return;
    counters_.add(Count::ClientCancellations);
    --unansweredCount_;
    entry->second.client = ClientState::Cancelled;
    entry->second.startCheckDelayBeganAt = net::unixNow();
    abandonDependencyCall(entry);
    batch_.clientCancellations.push_back(id);
    hasEvents_ = true;
}

// ---- Events from the executor ---------------------------------------------------------------------------

void RequestManager::executorReady(bool cold, Duration uptime) {
    if (controller_) return;
    ControllerConfig config = config_;
    config.startsCold = cold;
    controller_ = makeOverloadController(config);
    log_.info("request", std::string("executor ready: state=") + (cold ? "cold" : "warm") +
                             " running_ms=" + std::to_string(uptime / 1ms));
    hasEvents_ = true;
}

void RequestManager::runWaitsForDependency(RequestId id, std::string callBody) {
    const auto entry = findRunning(id);
    if (entry == table_.end()) return;
    // The run has received the reply, so a repetition of the call that may be in progress is not needed.
    if (entry->second.isContinuationUnconfirmed()) abandonDependencyCall(entry);
    entry->second.dependencyCallBody = std::move(callBody);
    entry->second.continuation.reset();
    batch_.waitingForDependency.push_back(id);
    hasEvents_ = true;
}

void RequestManager::runCompleted(RequestId id, Outcome outcome, Duration elapsed, std::string_view result) {
    const auto entry = findRunning(id);
    if (entry == table_.end()) return;
    counters_.add(Count::RunsCompleted);
    TrackedRequest& request = entry->second;
    const bool startUnconfirmed = request.run == RunState::StartUnconfirmed;
    request.run = RunState::Ended;
    if (startUnconfirmed) --unconfirmedStartCount_;
    abandonDependencyCall(entry);
    addRunResult(id, outcome, elapsed);
    if (outcome == Outcome::Superseded && !startUnconfirmed) startedRequests_.remove(id);  // nothing ran
    if (outcome == Outcome::Ok) runSucceededSinceCheck_ = true;
    if (request.idempotencyRole == IdempotencyRole::HoldsKey)
        recordKeyOutcome(entry, outcome, startUnconfirmed, result);
    if (!request.isClientWaiting()) return eraseIfFinished(entry);
    if (outcome == Outcome::Ok) return answerCompleted(entry, result);
    answerFailed(entry);
}

void RequestManager::runUnknownToExecutor(RequestId id) {
    const auto entry = findRunning(id);
    if (entry == table_.end()) return;
    // The entry remains after the answer, because its run has not ended yet.
    if (entry->second.isClientWaiting()) answerFailedByClient(entry);
    runCompleted(id, Outcome::Superseded, 0ns, {});
}

void RequestManager::updateGauges(const Gauges& gauges) {
    gauges_ = gauges;
    gaugesUpdatedAt_ = net::unixNow();
}

void RequestManager::executorConnectionLost() {
    for (auto& [id, request] : table_)
        if (request.isRunInProgress()) markUnconfirmed(request);
}

void RequestManager::markUnconfirmed(TrackedRequest& request) {
    const bool startMayBeLost = request.runStartedAt > messagesReceivedUntil_;
    if (request.run == RunState::Running && !mayRunTwice(request) && startMayBeLost) {
        request.run = RunState::StartUnconfirmed;
        ++unconfirmedStartCount_;
    }
    if (request.continuation && request.continuation->recordConnectionLoss(messagesReceivedUntil_))
        counters_.add(Count::ContinuationsUnconfirmed);
}

// Also restarts runs whose clients no longer wait: a request is removed from the table only when the executor
// reports the end of its run, even if nothing ran. A request that may run only once is not restarted, because
// its run may have ended in the meantime; checkUnconfirmedStarts() handles it once no answer is due.
void RequestManager::resumeRuns() {
    for (auto& [id, request] : table_) {
        if (!request.isRunInProgress()) continue;
        if (request.run == RunState::StartNotSent || mayRunTwice(request)) sendStart(request);
        if (!request.isClientWaiting() && config_.runCancellation != RunCancellation::Unsupported)
            executor_->cancel(request.externalId);
        else
            resumeContinuation(id, request);
    }
}

bool RequestManager::mayRunTwice(const TrackedRequest& request) const {
    return classOf(request.requestClass).idempotency == Idempotency::Idempotent;
}

// A continuation that was sent is never sent again unless the run is proven to wait for it: a run that has
// received it may come to its next call at any moment, before its report of that is read here, and would take
// the repetition for the reply to that call. The proof is the dependency's: it carries out a call only while
// the run waits for it. Where the class does not allow the call to be made twice, the run is left alone: if
// it has received its continuation, it goes on, and otherwise the controller fails the request.
void RequestManager::resumeContinuation(RequestId id, TrackedRequest& request) {
    if (!request.continuation) return;
    switch (request.continuation->delivery()) {
        case Delivery::NotSent:
            return sendContinuation(request);
        case Delivery::Sent:
            return;
        case Delivery::AwaitingReports:
            return executor_->confirmReports(id);
        case Delivery::Unconfirmed:
            break;
    }
    if (!request.isClientWaiting() || request.isDependencyCallInProgress()) return;
    batch_.possiblyStillWaiting.push_back(id);
    hasEvents_ = true;
}

void RequestManager::reportsDelivered(RequestId id) {
    const auto entry = findRunningAndWaiting(id);
    if (entry == table_.end()) return;
    const std::optional<RunContinuation>& last = entry->second.continuation;
    if (!last || last->delivery() != Delivery::AwaitingReports) return;
    counters_.add(Count::ContinuationsResent);
    sendContinuation(entry->second);
}

// The state is set first, as the end of the run may be reported from within start, and the request removed.
void RequestManager::sendStart(TrackedRequest& request) {
    request.run = RunState::Running;
    request.runStartedAt = net::unixNow();
    const bool sent = executor_->start(request.runSpec());
    if (!sent) request.run = RunState::StartNotSent;
}

// Without this check, a request whose start was lost would stay in the table forever. Starting it again once
// no answer is due is safe: a run in progress is not affected, and if there is none, the executor reports
// that nothing was started.
void RequestManager::checkUnconfirmedStarts(Timestamp now) {
    if (unconfirmedStartCount_ == 0) return;
    for (auto& [id, request] : table_) {
        if (request.run != RunState::StartUnconfirmed || request.isClientWaiting()) continue;
        if (now - request.startCheckDelayBeganAt < kStartCheckDelay) continue;
        request.startCheckDelayBeganAt = now;  // repeats the check, in case this start is lost as well
        executor_->start(request.runSpec());
    }
}

// ---- Events from the dependency client ------------------------------------------------------------------

void RequestManager::dependencyCallCompleted(RequestId id, Outcome outcome, Duration elapsed,
                                             std::string_view reply) {
    const auto entry = table_.find(id);
    if (entry == table_.end() || !entry->second.isDependencyCallInProgress()) return;
    TrackedRequest& request = entry->second;
    request.dependencyCall = CallProgress::NotInProgress;
    if (outcome == Outcome::Superseded) {
        // No run waits for the call. Either the run has ended, which is about to be reported, or the call was
        // repeated and the run has received the reply to it before.
        if (!request.isContinuationUnconfirmed()) return;
        request.continuation.reset();
    }
    if (outcome == Outcome::Ok) handleReply(request, id, reply);
    batch_.dependencyResults.push_back({id, outcome, elapsed});
    hasEvents_ = true;
}

void RequestManager::handleReply(TrackedRequest& request, RequestId id, std::string_view reply) {
    if (!request.isContinuationUnconfirmed()) return continueRun(request, std::string(reply));
    request.continuation->recordRepeatedCall(std::string(reply));
    executor_->confirmReports(id);
}

void RequestManager::continueRun(TrackedRequest& request, std::optional<std::string> reply) {
    request.continuation.emplace(std::move(reply));
    sendContinuation(request);
}

void RequestManager::sendContinuation(TrackedRequest& request) {
    RunContinuation& continuation = *request.continuation;
    const bool sent = continuation.reply() ? executor_->supplyReply(request.externalId, *continuation.reply())
                                           : executor_->skipDependencyCall(request.externalId);
    continuation.recordSend(sent, net::unixNow());
}

// ---- Control --------------------------------------------------------------------------------------------

void RequestManager::beginShutdown(Timestamp stopAt) {
    batch_.processEndsAt = stopAt;
    hasEvents_ = true;
}

// Adds the latest gauges to this batch and requests new ones for the next tick. The batch is not delayed
// until gauges arrive; outdated gauges are left unset.
void RequestManager::controlTick() {
    const Timestamp now = net::unixNow();
    if (now < nextTickAt_) return tickTimer_.start(nextTickAt_ - now);
    const bool gaugesAreCurrent = now - gaugesUpdatedAt_ < kGaugesMaxAge;
    batch_.gauges = gaugesAreCurrent ? gauges_ : Gauges{};
    hasEvents_ = true;
    checkUnconfirmedStarts(now);
    executor_->requestGauges();
}

void RequestManager::processEvents() {
    if (!controller_) return endedThisIteration_.clear();
    if (!hasEvents_) return;
    counters_.add(Count::EventBatches);
    // The controller's time is the Unix clock, made strictly increasing.
    lastDecisionAt_ = std::max(lastDecisionAt_ + 1ns, net::unixNow());
    EventBatch batch = std::move(batch_);
    batch_ = EventBatch{};
    hasEvents_ = false;
    endedThisIteration_.clear();
    batch.now = lastDecisionAt_;
    controller_->decide(batch, decisions_);
    for (const Decision& decision : decisions_.decisions())
        std::visit([this](const auto& kind) { carryOut(kind); }, decision);
    decisions_.clear();
    for (const RequestId id : batch.clientCancellations) {
        const auto entry = table_.find(id);
        if (entry != table_.end()) eraseIfFinished(entry);
    }
}

void RequestManager::failUnanswered() {
    std::vector<RequestId> unanswered;
    for (const auto& [id, request] : table_)
        if (request.isClientWaiting()) unanswered.push_back(id);
    for (const RequestId id : unanswered) {
        // Failing one request may have answered the duplicates that waited for it.
        const auto entry = findWaiting(id);
        if (entry != table_.end()) answerFailed(entry);
    }
}

// ---- Decisions of the controller ------------------------------------------------------------------------
// The request of a decision may have ended after the events on which the decision is based.

void RequestManager::carryOut(const StartRun& decision) {
    const auto entry = table_.find(decision.id);
    if (entry == table_.end() || entry->second.isRunInProgress()) return;
    // A client may have left with much of what it sent still unread, so that its end is not noticed yet.
    TrackedRequest& request = entry->second;
    if (!request.isClientWaiting() || !request.sink->isClientConnected(decision.id)) return omitRun(entry);
    counters_.add(Count::RunsStarted);
    if (mayRunOnlyOnce(request.requestClass))
        startedRequests_.add(decision.id,
                             net::unixNow() + classOf(request.requestClass).timeout + kClockTolerance);
    sendStart(request);
}

// Tells the controller that nothing ran. The client of the request has cancelled it.
void RequestManager::omitRun(Table::iterator entry) {
    const RequestId id = entry->first;
    entry->second.run = RunState::Ended;
    addRunResult(id, Outcome::Superseded, 0ns);
    if (entry->second.idempotencyRole == IdempotencyRole::HoldsKey)
        recordKeyOutcome(entry, Outcome::Superseded, false, {});
    eraseIfFinished(entry);
}

void RequestManager::carryOut(const RejectRequest& decision) {
    const auto entry = findWaiting(decision.id);
    if (entry == table_.end()) return;
    entry->second.sink->rejected(decision.id, decision.pushback);
    abandonDependencyCall(entry);
    recordAnswer(entry, Count::Rejected);
}

void RequestManager::carryOut(const FailRequest& decision) {
    const auto entry = findWaiting(decision.id);
    if (entry == table_.end()) return;
    entry->second.sink->failed(decision.id);
    abandonDependencyCall(entry);
    recordAnswer(entry, Count::Failed);
}

void RequestManager::carryOut(const CancelRun& decision) {
    const auto entry = findRunning(decision.id);
    if (entry == table_.end()) return;
    counters_.add(Count::RunsCancelled);
    executor_->cancel(entry->second.externalId);
}

void RequestManager::carryOut(const CallDependency& decision) {
    const auto entry = findRunningAndWaiting(decision.id);
    if (entry == table_.end()) return;
    TrackedRequest& request = entry->second;
    request.dependencyCall = CallProgress::InProgress;
    dependencyClient_->startCall(decision.id, request.externalId, decision.timeout,
                                 request.dependencyCallBody);
}

void RequestManager::carryOut(const SkipDependencyCall& decision) {
    const auto entry = findRunningAndWaiting(decision.id);
    if (entry == table_.end()) return;
    continueRun(entry->second, std::nullopt);
}

void RequestManager::carryOut(const JoinDuplicate& decision) {
    const auto entry = findWaiting(decision.id);
    if (entry == table_.end()) return;
    resolveDuplicate(decision.id, keys_.join(entry->second.idempotencyKey, decision.id));
}

void RequestManager::carryOut(const SetHealth& decision) {
    if (healthy_ != decision.healthy)
        log_.info("request", std::string("health changed: healthy=") + (decision.healthy ? "true" : "false"));
    healthy_ = decision.healthy;
    if (onHealthChange_) onHealthChange_(healthy_);
}

void RequestManager::carryOut(const AdvertiseLoadShare& decision) { advertisedLoadShare_ = decision.share; }

void RequestManager::carryOut(const SetIdleTimeout& decision) {
    for (ResponseSink* const sink : sinks_) sink->setIdleTimeout(decision.idleTimeout);
}

void RequestManager::carryOut(const ScheduleTick& decision) {
    nextTickAt_ = lastDecisionAt_ + decision.delay;
    tickTimer_.start(decision.delay);
}

// ---- Look-ups -------------------------------------------------------------------------------------------

const RequestClass& RequestManager::classOf(int index) const {
    return config_.requestClasses[static_cast<std::size_t>(index)];
}

RequestManager::Table::iterator RequestManager::findWaiting(RequestId id) {
    const auto entry = table_.find(id);
    return entry != table_.end() && entry->second.isClientWaiting() ? entry : table_.end();
}

RequestManager::Table::iterator RequestManager::findRunning(RequestId id) {
    const auto entry = table_.find(id);
    return entry != table_.end() && entry->second.isRunInProgress() ? entry : table_.end();
}

RequestManager::Table::iterator RequestManager::findRunningAndWaiting(RequestId id) {
    const auto entry = findRunning(id);
    return entry != table_.end() && entry->second.isClientWaiting() ? entry : table_.end();
}

// ---- Answers and removal --------------------------------------------------------------------------------

void RequestManager::answerCompleted(Table::iterator entry, std::string_view result) {
    entry->second.sink->completed(entry->first, result);
    recordAnswer(entry, Count::Completed);
}

void RequestManager::answerRejected(Table::iterator entry, const Pushback& pushback) {
    entry->second.sink->rejected(entry->first, pushback);
    recordAnswer(entry, Count::Rejected);
}

void RequestManager::answerFailed(Table::iterator entry) {
    entry->second.sink->failed(entry->first);
    recordAnswer(entry, Count::Failed);
}

void RequestManager::answerFailedByClient(Table::iterator entry) {
    entry->second.sink->failedByClient(entry->first);
    recordAnswer(entry, Count::Failed);
}

void RequestManager::recordAnswer(Table::iterator entry, Count kind) {
    counters_.add(kind);
    --unansweredCount_;
    entry->second.client = ClientState::Answered;
    entry->second.startCheckDelayBeganAt = net::unixNow();
    eraseIfFinished(entry);
}

void RequestManager::abandonDependencyCall(Table::iterator entry) {
    if (!entry->second.isDependencyCallInProgress()) return;
    dependencyClient_->abandonCall(entry->first);
    entry->second.dependencyCall = CallProgress::NotInProgress;
}

void RequestManager::eraseIfFinished(Table::iterator entry) {
    if (!entry->second.isFinished()) return;
    reservedBytes_ -= entry->second.reservedBytes;
    const RequestId id = entry->first;
    const TrackedRequest request = std::move(entry->second);
    endedThisIteration_.insert(id);
    table_.erase(entry);
    if (request.idempotencyRole == IdempotencyRole::DuplicateWaiting)
        keys_.stopWaiting(request.idempotencyKey, id);
    // Has no effect on a key whose run has ended: that key is retained. Otherwise nothing ran, and the
    // waiting duplicates are rejected so that their clients can retry.
    if (request.idempotencyRole == IdempotencyRole::HoldsKey)
        resolveDuplicates(keys_.release(request.idempotencyKey, id), {});
}

// ---- Idempotency keys -----------------------------------------------------------------------------------

// Records the outcome of the run that holds the key and answers the duplicates that waited for it. The key is
// released only if the run is known not to have started; after an unconfirmed start, the request may have run
// before.
void RequestManager::recordKeyOutcome(Table::iterator entry, Outcome outcome, bool startUnconfirmed,
                                      std::string_view result) {
    const RequestId id = entry->first;
    const std::string& key = entry->second.idempotencyKey;
    if (outcome == Outcome::Superseded && !startUnconfirmed)
        resolveDuplicates(keys_.release(key, id), {KeyOutcome::NeverRan, {}});
    else if (outcome == Outcome::Ok)
        resolveDuplicates(keys_.completed(key, id, result), {KeyOutcome::Completed, result});
    else
        resolveDuplicates(keys_.failed(key, id), {KeyOutcome::Failed, {}});
}

void RequestManager::resolveDuplicates(const std::vector<RequestId>& duplicates, state::KeyResult result) {
    for (const RequestId id : duplicates) resolveDuplicate(id, result);
}

// Answers a duplicate with the outcome of the attempt that holds its key, or lets it wait while that outcome
// is pending.
void RequestManager::resolveDuplicate(RequestId id, state::KeyResult result) {
    const auto entry = findWaiting(id);
    if (entry == table_.end()) return;
    if (result.outcome == KeyOutcome::Pending) {
        entry->second.idempotencyRole = IdempotencyRole::DuplicateWaiting;
        return;
    }
    entry->second.idempotencyRole = IdempotencyRole::Duplicate;
    if (result.outcome == KeyOutcome::Completed) {
        addRunResult(id, Outcome::Ok, 0ns);
        return answerCompleted(entry, result.result);
    }
    if (result.outcome == KeyOutcome::Failed) {
        addRunResult(id, Outcome::Error, 0ns);
        return answerFailed(entry);
    }
    addRunResult(id, Outcome::Superseded, 0ns);
    answerRejected(entry, {});
}

void RequestManager::addRunResult(RequestId id, Outcome outcome, Duration elapsed) {
    batch_.runResults.push_back({id, outcome, elapsed});
    hasEvents_ = true;
}

// ---- Observation ----------------------------------------------------------------------------------------

void RequestManager::checkEndToEndHealth(std::function<void(bool)> onChecked) {
    if (!healthy_) return onChecked(false);
    const bool runSucceeded = std::exchange(runSucceededSinceCheck_, false);
    if (runSucceeded) return onChecked(true);
    executor_->verifyWork([this, onChecked = std::move(onChecked)](std::optional<bool> verified) {
        // The absence of a timely result does not prove a failure.
        onChecked(healthy_ && verified.value_or(true));
    });
}

}  // namespace cottonwing::request
