/// @file
/// The owner of every request from its acceptance to its answer.
///
/// Collects the events of one turn of the loop, has the overload controller decide once, and carries out the
/// decisions in order. Knows no protocol: requests arrive from and answers go to a ResponseSink; runs and
/// dependency calls go through an Executor and a DependencyClient.
///
/// Who owns what: the table of requests (RequestState), the batch of events in progress and the queue of
/// decisions belong to the RequestManager alone. The overload controller keeps its own account of each
/// request, fed by the events only. Bodies and results are passed to the interfaces as views that are valid
/// during the call. Idempotency keys and their results belong to state::IdempotencyKeys, which only the
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
#include "state/idempotency_keys.h"
#include "telemetry/counters.h"
#include "telemetry/log.h"

namespace cottonwing::request {

/// Tracks requests between the protocol servers, the overload controller, the executor and the dependency
/// client. Lives on the loop's thread. Events about requests that are not tracked are ignored.
class RequestManager {
public:
    /// @param loop must outlive the manager, as must log and counters.
    /// @param config of the overload controller; copied.
    /// @param maxRequestBytes memory that the bodies of all tracked requests may take.
    /// @param maxKeyBytes memory that idempotency keys and their results may take.
    RequestManager(net::Loop& loop, const ControllerConfig& config, std::size_t maxRequestBytes,
                   std::size_t maxKeyBytes, telemetry::Log& log, telemetry::Counters& counters);

    /// Joins the parts; to be called once, before the first event. All must outlive the manager's use.
    /// @param sink receives the answers of requests that name no sink.
    void attach(ResponseSink& sink, Executor& executor, DependencyClient& dependencyClient);
    /// Adds a protocol server beside the first one.
    void addResponseSink(ResponseSink& sink) { sinks_.push_back(&sink); }
    /// @param onChange receives the health each time the controller sets it.
    void onHealthChange(std::function<void(bool)> onChange) { onHealthChange_ = std::move(onChange); }

    // ---- Events from protocol servers.

    /// @return whether the id may not be used for another request yet. That includes a request that ended in
    /// this turn: the controller has yet to learn of its end, and would take the two requests for one.
    bool contains(RequestId id) const { return table_.contains(id) || endedThisIteration_.contains(id); }
    /// Accepts a request; the sink is answered exactly once, possibly from within the call.
    /// @param incoming its id must not be contained.
    void accept(IncomingRequest incoming);
    /// The client no longer waits; the sink is not answered.
    void clientCancelled(RequestId id);

    // ---- Events from the executor.

    /// The executor can run requests. Only the first call has an effect.
    /// @param cold whether it needs to warm up.
    /// @param uptime time since it started.
    void executorReady(bool cold, Duration uptime);
    /// A run wants its dependency call.
    /// @param callBody what the call is to carry.
    void runWaitsForDependency(RequestId id, std::string callBody);
    /// A run ended. Its client, if it still waits, is answered at once.
    /// @param elapsed time that the run took.
    /// @param result of a successful run; valid during the call only.
    void runCompleted(RequestId id, Outcome outcome, Duration elapsed, std::string_view result);
    /// The executor refused to start the run.
    void runUnknownToExecutor(RequestId id);
    /// Takes in the measurements that requestGauges asked for.
    void updateGauges(const Gauges& gauges);
    /// Restores what the executor has to know after its connection was lost and opened again: all runs that
    /// are still in progress. To be called once the reports missed meanwhile have been read.
    /// @param lostAt when the connection was lost.
    void resumeRuns(Timestamp lostAt);

    // ---- Events from the dependency client.

    /// A dependency call ended.
    /// @param reply body of the reply; valid during the call only.
    void dependencyCallCompleted(RequestId id, Outcome outcome, Duration elapsed, std::string_view reply);

    // ---- Control.

    /// Graceful shutdown begins.
    /// @param stopAt when the process ends.
    void beginShutdown(Timestamp stopAt);
    /// Has the controller decide on all events since the last call, and carries its decisions out. To be
    /// called at the end of each turn of the loop.
    void processEvents();

    /// Fails every request that is still unanswered, for the end of the process: the controller is not told.
    void failUnanswered();

    // ---- Observation.

    /// @return the health as the controller set it last.
    bool healthy() const { return healthy_; }
    /// Checks that work gets done, beyond healthy(): a run that succeeded since the last such check proves
    /// it; otherwise the executor does a little work.
    /// @param onChecked receives the result, possibly from within the call.
    void checkEndToEndHealth(std::function<void(bool)> onChecked);
    /// @return the share of its usual traffic that the server can take, from 0 to 1, once one was set.
    std::optional<double> advertisedLoadShare() const { return advertisedLoadShare_; }
    /// @return the number of requests whose clients wait.
    std::size_t unansweredCount() const { return unansweredCount_; }
    /// @return the number of requests whose clients wait or whose runs are in progress.
    std::size_t trackedCount() const { return table_.size(); }

private:
    using Table = std::unordered_map<RequestId, TrackedRequest>;

    // Steps of accept().
    Table::iterator track(const IncomingRequest& incoming);
    bool hasCapacityFor(std::size_t bytes) const;
    void rejectForCapacity(Table::iterator entry, const IncomingRequest& incoming);
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

    // Answers and ends.
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
    void restartOrMarkUnconfirmed(TrackedRequest& request, Timestamp lostAt);
    void resendContinuation(const TrackedRequest& request, Timestamp lostAt);
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
    bool hasEvents_ = false;  // whether batch_ is to be decided on
    Timestamp lastDecisionAt_{0};
    Timestamp nextTickAt_{0};
    Gauges gauges_;
    Timestamp gaugesUpdatedAt_{0};
    bool healthy_ = false;
    bool runSucceededSinceCheck_ = false;
    std::optional<double> advertisedLoadShare_;
    Table table_;  // entries leave with the answer or cancellation and the end of the run
    std::unordered_set<RequestId> endedThisIteration_;  // emptied by the next processEvents()
    state::IdempotencyKeys keys_;
    std::size_t unconfirmedStartCount_ = 0;  // requests in RunState::StartUnconfirmed
    std::size_t unansweredCount_ = 0;
    std::size_t reservedBytes_ = 0;  // by all requests of the table
};

}  // namespace cottonwing::request
