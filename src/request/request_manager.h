/// @file
/// Manages every request from its acceptance to its answer.
///
/// Collects the events of one iteration of the event loop, passes them to the overload controller in one
/// batch, and carries out its decisions in order. Independent of protocols: protocol servers pass requests in
/// and receive the answers through ResponseSink; runs and dependency calls go through Executor and
/// DependencyClient.
///
/// Ownership: the table of requests (TrackedRequest), the batch of events being collected and the queue of
/// decisions belong to the RequestManager alone. The overload controller has its own state for each request,
/// which only events update. Bodies and results are passed to the interfaces as views that are valid during
/// the call. Idempotency keys and their results belong to state::IdempotencyKeys, which only the
/// RequestManager calls.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/loop.h"
#include "overload/overload_controller.h"
#include "request/decision_queue.h"
#include "request/dependency_client.h"
#include "request/executor.h"
#include "request/incoming_request.h"
#include "request/request_id.h"
#include "request/request_state.h"
#include "request/response_sink.h"
#include "request/started_requests.h"
#include "state/idempotency_keys.h"
#include "telemetry/counters.h"
#include "telemetry/log.h"

namespace cottonwing::request {

/// Tracks requests and connects the protocol servers, the overload controller, the executor and the
/// dependency client. Must be used on the loop's thread only. Events about requests that are not tracked are
/// ignored.
class RequestManager {
public:
    /// @param loop must outlive the manager, as must log and counters.
    /// @param config of the overload controller; copied.
    /// @param maxRequestBytes memory limit for the bodies of all tracked requests together.
    /// @param maxKeyBytes memory limit for idempotency keys and their results together.
    RequestManager(net::Loop& loop, const ControllerConfig& config, std::size_t maxRequestBytes,
                   std::size_t maxKeyBytes, telemetry::Log& log, telemetry::Counters& counters);

    /// Attaches the collaborators, which must stay valid while the manager is used. Must be called once,
    /// before the first event.
    /// @param sink receives the answers of requests that name no sink.
    void attach(ResponseSink& sink, Executor& executor, DependencyClient& dependencyClient);
    /// Adds the sink of a further protocol server.
    void addResponseSink(ResponseSink& sink) { sinks_.push_back(&sink); }
    /// @param onChange receives the health each time the controller sets it.
    void onHealthChange(std::function<void(bool)> onChange) { onHealthChange_ = std::move(onChange); }

    // ---- Events from protocol servers.

    /// @return whether the id is still in use. This includes a request that ended in the current loop
    /// iteration: the controller has not processed its end yet, and would take a new request with the same id
    /// for the old one.
    bool contains(RequestId id) const { return table_.contains(id) || endedThisIteration_.contains(id); }
    /// @return whether a request with the id may have run, or may yet, and must not run again.
    bool mustNotRunAgain(RequestId id, int requestClass);
    /// Accepts a request. Its sink receives exactly one answer, possibly from within the call, unless the
    /// client cancels.
    /// @param incoming must have an id for which contains() is false.
    void accept(IncomingRequest incoming);
    /// The client cancelled the request: its sink receives no answer.
    void clientCancelled(RequestId id);

    // ---- Events from the executor.

    /// The executor can run requests. Only the first call has an effect.
    /// @param cold whether it needs to warm up.
    /// @param uptime time since it started.
    void executorReady(bool cold, Duration uptime);
    /// A run waits for its dependency call.
    /// @param callBody body of the call.
    void runWaitsForDependency(RequestId id, std::string callBody);
    /// A run ended. Its client, if it still waits, is answered immediately.
    /// @param elapsed duration of the run.
    /// @param result of a successful run; valid during the call only.
    void runCompleted(RequestId id, Outcome outcome, Duration elapsed, std::string_view result);
    /// The executor rejected the start of a run because it does not know the request.
    void runUnknownToExecutor(RequestId id);
    /// Stores the gauges requested by Executor::requestGauges until the next control tick.
    void updateGauges(const Gauges& gauges);
    /// The executor has received every message that was sent to it up to this time.
    void messagesReceived(Timestamp sentUntil) { messagesReceivedUntil_ = sentUntil; }
    /// The connection to the executor was lost, and with it possibly the messages that were sent last.
    void executorConnectionLost();
    /// Synchronizes the runs in progress with the executor after its connection was lost and reopened. Must
    /// be called after the reports that were missed in the meantime have been processed.
    void resumeRuns();
    /// All reports that the executor had made by the time of Executor::confirmReports have been delivered.
    void reportsDelivered(RequestId id);

    // ---- Events from the dependency client.

    /// A dependency call ended.
    /// @param reply body of the reply; valid during the call only.
    void dependencyCallCompleted(RequestId id, Outcome outcome, Duration elapsed, std::string_view reply);

    // ---- Control.

    /// Begins the graceful shutdown.
    /// @param stopAt when the process exits.
    void beginShutdown(Timestamp stopAt);
    /// Passes all events since the last call to the controller and carries out its decisions. Must be called
    /// at the end of each loop iteration.
    void processEvents();

    /// Fails every request that is still unanswered, just before the process exits. The controller is not
    /// notified.
    void failUnanswered();

    // ---- Observation.

    /// @return the health that the controller set last.
    bool healthy() const { return healthy_; }
    /// Checks end to end that requests can be run, in addition to healthy(). A run that succeeded since the
    /// last such check is sufficient proof; otherwise the executor does a small piece of test work.
    /// @param onChecked receives the result, possibly from within the call.
    void checkEndToEndHealth(std::function<void(bool)> onChecked);
    /// @return the fraction of its usual traffic that this server can accept, from 0 to 1; nullopt until it
    /// is set.
    std::optional<double> advertisedLoadShare() const { return advertisedLoadShare_; }
    /// @return the number of requests whose clients wait for an answer.
    std::size_t unansweredCount() const { return unansweredCount_; }
    /// @return the number of requests whose clients wait for an answer or whose runs are in progress.
    std::size_t trackedCount() const { return table_.size(); }

private:
    using Table = std::unordered_map<RequestId, TrackedRequest>;

    // Steps of accept().
    Table::iterator track(const IncomingRequest& incoming);
    bool hasCapacityFor(std::size_t bytes) const;
    void rejectForCapacity(Table::iterator entry, const IncomingRequest& incoming);
    bool mayRunOnlyOnce(int requestClass) const;
    bool claimId(Table::iterator entry, const IncomingRequest& incoming);
    bool claimIdempotencyKey(Table::iterator entry, IncomingRequest& incoming);
    void enqueueArrival(Table::iterator entry, IncomingRequest incoming, std::size_t bytes);

    // Decisions of the controller.
    void carryOut(const StartRun& decision);
    void carryOut(const RejectRequest& decision);
    void carryOut(const FailRequest& decision);
    void carryOut(const CancelRun& decision);
    void carryOut(const CallDependency& decision);
    void carryOut(const SkipDependencyCall& decision);
    void carryOut(const JoinDuplicate& decision);
    void carryOut(const SetHealth& decision);
    void carryOut(const AdvertiseLoadShare& decision);
    void carryOut(const SetIdleTimeout& decision);
    void carryOut(const ScheduleTick& decision);

    const RequestClass& classOf(int index) const;

    // Look-ups: table_.end() when there is no such request in that state.
    Table::iterator findWaiting(RequestId id);
    Table::iterator findRunning(RequestId id);
    Table::iterator findRunningAndWaiting(RequestId id);

    // Start and continuation of runs.
    void omitRun(Table::iterator entry);
    void sendStart(TrackedRequest& request);
    void sendContinuation(TrackedRequest& request);
    void continueRun(TrackedRequest& request, std::optional<std::string> reply);
    void handleReply(TrackedRequest& request, RequestId id, std::string_view reply);

    // Answers and removal.
    void answerCompleted(Table::iterator entry, std::string_view result);
    void answerRejected(Table::iterator entry, const Pushback& pushback);
    void answerFailed(Table::iterator entry);
    void answerFailedByClient(Table::iterator entry);
    void recordAnswer(Table::iterator entry, telemetry::Count kind);
    void abandonDependencyCall(Table::iterator entry);
    void eraseIfFinished(Table::iterator entry);

    // Idempotency keys.
    void recordKeyOutcome(Table::iterator entry, Outcome outcome, bool startUnconfirmed,
                          std::string_view result);
    void resolveDuplicates(const std::vector<RequestId>& duplicates, state::KeyResult result);
    void resolveDuplicate(RequestId id, state::KeyResult result);
    void addRunResult(RequestId id, Outcome outcome, Duration elapsed);

    // Recovery of runs after the executor's connection was lost.
    bool mayRunTwice(const TrackedRequest& request) const;
    void markUnconfirmed(TrackedRequest& request);
    void resumeContinuation(RequestId id, TrackedRequest& request);
    void checkUnconfirmedStarts(Timestamp now);

    void controlTick();

    const ControllerConfig config_;
    const std::size_t maxRequestBytes_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    net::Timer tickTimer_;
    std::vector<ResponseSink*> sinks_;
    Executor* executor_ = nullptr;
    DependencyClient* dependencyClient_ = nullptr;
    std::function<void(bool)> onHealthChange_;

    std::unique_ptr<OverloadController> controller_;  // created once the executor is ready
    DecisionQueue decisions_;
    EventBatch batch_;        // events since the last processEvents()
    bool hasEvents_ = false;  // whether batch_ must be passed to the controller
    Timestamp lastDecisionAt_{0};
    Timestamp nextTickAt_{0};
    Gauges gauges_;
    Timestamp gaugesUpdatedAt_{0};
    Timestamp messagesReceivedUntil_{0};  // the executor has received what was sent to it up to this time
    bool healthy_ = false;
    bool runSucceededSinceCheck_ = false;
    std::optional<double> advertisedLoadShare_;
    Table table_;  // an entry is removed once no answer is due and its run has ended
    std::unordered_set<RequestId> endedThisIteration_;  // cleared by the next processEvents()
    state::IdempotencyKeys keys_;
    StartedRequests startedRequests_;        // of classes that may run only once
    std::size_t unconfirmedStartCount_ = 0;  // requests in RunState::StartUnconfirmed
    std::size_t unansweredCount_ = 0;
    std::size_t reservedBytes_ = 0;  // sum over table_
};

}  // namespace cottonwing::request
