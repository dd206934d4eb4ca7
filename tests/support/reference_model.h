/// @file
/// A reference model of the four rules that every decision of the overload controller must satisfy. It tracks
/// each request from the events and decisions alone and shares no state with the controller.
///
/// | rule | checked in |
/// | --- | --- |
/// | 1 each request is answered by its deadline and before the process exits | `checkInvariants` |
/// | 2 no second run, dependency call or answer where only one is allowed | `startRun`, |
/// | | `callDependency`, `answer`, `reject`, `joinDuplicate` |
/// | 3 no request that arrives after the drain grace runs | `startRun` |
/// | 4 no collapse: memory, runs on the cores, the dependency's quota | `checkInvariants` |
///
/// In addition, each decision must fit the request's state and the configuration (`reject`, `cancelRun`,
/// `skipDependencyCall`, `advertiseLoadShare`).
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <numeric>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "invariant_violations.h"
#include "overload/decision_sink.h"

namespace cottonwing::testing {

using namespace std::chrono_literals;

/// Checks each decision as it is made and the overall state after each batch. Time advances in steps of
/// 20 ms.
class ReferenceModel : public DecisionSink, public InvariantViolations {
public:
    /// The progress of a request.
    enum class RequestState {
        Queued,           ///< Not started.
        OnCores,          ///< Running.
        PossiblyWaiting,  ///< Running, or waiting for a call that has ended; not known which.
        WaitingForCall,   ///< Waiting for its dependency call.
        CallInFlight,     ///< Its dependency call is in progress.
        JoinedDuplicate   ///< A duplicate that waits for the earlier attempt with its idempotency key.
    };

    /// A request in progress.
    struct TrackedRequest {
        Request request;
        Timestamp arrivedAt{0};
        Timestamp deadline{0};
        Timestamp callEnds{0};  ///< End of the timeout of its dependency call.
        RequestState state = RequestState::Queued;
        bool answered = false;
        bool cancelled = false;  ///< The client cancelled it.
        bool ran = false;
        bool calledBefore = false;  ///< An attempt of the pending call was sent.
        bool repeatsCall = false;   ///< Its pending call has ended before and is repeated.
        bool lastCallNeverRan = true;
    };

    explicit ReferenceModel(const ControllerConfig& controllerConfig) : config(controllerConfig) {}

    ControllerConfig config;
    Timestamp now = 1000s;
    Timestamp startedAt = now;  ///< Start of the server.
    Timestamp shutdownNoticeAt{-1};
    Timestamp processEnd{-1};  ///< When the process exits; -1 before the shutdown notice.
    std::map<RequestId, TrackedRequest> requests;
    std::map<RequestId, Timestamp>
        retainedKeys;       ///< Expiry of each retained idempotency key, by the request that owns it.
    int callsInFlight = 0;  ///< Dependency calls in progress.

    /// Applies the events of a batch, before the controller processes it.
    void observe(const EventBatch& batch) {
        if (batch.processEndsAt && shutdownNoticeAt < 0ns) {
            shutdownNoticeAt = now;
            processEnd = *batch.processEndsAt;
        }
        for (const Request& request : batch.arrivals) {
            TrackedRequest& tracked = requests[request.id];
            tracked.request = request;
            tracked.arrivedAt = now - request.queuedBeforeRead;
            const Duration timeout = config.requestClasses[request.requestClass].timeout;
            tracked.deadline = std::max(request.deadline.value_or(tracked.arrivedAt + timeout), now);
        }
        for (const Completion& call : batch.dependencyResults) {
            TrackedRequest& tracked = requests.at(call.id);
            const bool runContinues = call.outcome == Outcome::Ok || call.outcome == Outcome::Superseded;
            if (call.outcome == Outcome::TimedOut)
                abandonedCallsEnd_.push_back(now + config.abandonedCallTime);
            if (runContinues)
                tracked.state = RequestState::OnCores;
            else
                tracked.state =
                    tracked.repeatsCall ? RequestState::PossiblyWaiting : RequestState::WaitingForCall;
            tracked.lastCallNeverRan = call.outcome == Outcome::ResourceExhausted ||
                                       call.outcome == Outcome::Unreachable ||
                                       call.outcome == Outcome::LocalLimit;
            if (runContinues) tracked.calledBefore = tracked.repeatsCall = false;
            --callsInFlight;
        }
        for (const RequestId id : batch.possiblyStillWaiting) {
            TrackedRequest& tracked = requests.at(id);
            tracked.state = RequestState::PossiblyWaiting;
            tracked.calledBefore = tracked.repeatsCall = true;
            tracked.lastCallNeverRan = false;
        }
        for (const RequestId id : batch.waitingForDependency) {
            TrackedRequest& tracked = requests.at(id);
            if (tracked.state == RequestState::CallInFlight) endCallOfContinuedRun();
            tracked.state = RequestState::WaitingForCall;
            tracked.calledBefore = tracked.repeatsCall = false;
        }
        for (const Completion& run : batch.runResults) {
            if (requests.at(run.id).state == RequestState::CallInFlight) --callsInFlight;
            requests.erase(run.id);
        }
        for (const RequestId id : batch.clientCancellations) {
            TrackedRequest& tracked = requests.at(id);
            tracked.cancelled = true;
            if (tracked.state == RequestState::Queued || tracked.state == RequestState::JoinedDuplicate)
                requests.erase(id);
        }
    }

    /// Checks rules 1 and 4 after the decisions of a batch.
    void checkInvariants() {
        for (const auto& [id, tracked] : requests)
            if (!tracked.answered && !tracked.cancelled) {
                check(now <= tracked.deadline + 80ms, "no answer by the deadline");
                if (processEnd >= 0ns) check(now < processEnd, "no answer at the end of the process");
            }
        check(memoryKb() <= config.memoryLimitKb, "memory limit exceeded");
        checkRunsOnCores();
        checkDependencyQuota();
    }

    /// @return the number of requests in this state.
    int countInState(RequestState searched) const {
        return static_cast<int>(std::count_if(requests.begin(), requests.end(), [&](const auto& entry) {
            return entry.second.state == searched;
        }));
    }

    void startRun(RequestId id) override {
        TrackedRequest& tracked = requests.at(id);
        check(tracked.state == RequestState::Queued && !tracked.answered && !tracked.ran, "started twice");
        if (shutdownNoticeAt >= 0ns)
            check(tracked.arrivedAt <= shutdownNoticeAt + config.drainGrace, "started after the drain grace");
        if (idempotency(tracked) == Idempotency::WithKey) {
            const Duration window = config.requestClasses[tracked.request.requestClass].idempotencyWindow;
            const auto ran = lastRunByKey_.find(firstAttempt(tracked));
            if (ran != lastRunByKey_.end())
                check(tracked.arrivedAt > ran->second + window, "ran twice under one idempotency key");
            const auto entry = retainedKeys.find(firstAttempt(tracked));
            check(entry != retainedKeys.end() && entry->second >= tracked.arrivedAt + window,
                  "idempotency key not retained for its window");
            lastRunByKey_[firstAttempt(tracked)] = tracked.arrivedAt;
        }
        tracked.ran = true;
        tracked.state = RequestState::OnCores;
    }
    void reject(RequestId id, const Pushback& pushback) override {
        check(pushback.retryAfter <= config.maxRetryAfter, "Retry-After above its maximum");
        check(!(requests.at(id).ran), "rejected after it ran");
        answer(id);
        requests.erase(id);
    }
    void fail(RequestId id) override {
        answer(id);
        if (requests.at(id).state == RequestState::Queued ||
            requests.at(id).state == RequestState::JoinedDuplicate)
            requests.erase(id);
    }
    void cancelRun(RequestId id) override {
        check(requests.at(id).answered || requests.at(id).cancelled, "cancelled while the client waits");
    }
    void callDependency(RequestId id, Duration timeout) override {
        ++callsInFlight;
        TrackedRequest& tracked = requests.at(id);
        const bool mayWait =
            tracked.state == RequestState::WaitingForCall || tracked.state == RequestState::PossiblyWaiting;
        check(mayWait && !tracked.answered, "call of a run that waits for none");
        if (idempotency(tracked) != Idempotency::Idempotent)
            check(!tracked.calledBefore || tracked.lastCallNeverRan,
                  "call repeated that may have had its effect");
        tracked.state = RequestState::CallInFlight;
        tracked.callEnds = now + timeout;
        tracked.calledBefore = true;
    }
    void skipDependencyCall(RequestId id) override {
        TrackedRequest& tracked = requests.at(id);
        check(tracked.state == RequestState::WaitingForCall, "skipped the call of a run that waits for none");
        check(config.requestClasses[tracked.request.requestClass].degradedValueFraction > 0,
              "skipped a call that is required");
        tracked.state = RequestState::OnCores;
    }
    void retainKey(RequestId id, Duration lifetime) override { retainedKeys[id] = now + lifetime; }
    void releaseKey(RequestId id) override { retainedKeys.erase(id); }
    void joinDuplicate(RequestId id) override {
        check(requests.at(id).request.duplicateOf.has_value(), "joined to no earlier attempt");
        requests.at(id).state = RequestState::JoinedDuplicate;
    }
    void setHealth(bool) override {}
    void advertiseLoadShare(double) override {
        check(config.loadSignal != LoadSignal::None, "load advertised against the configuration");
    }
    void setIdleTimeout(Duration) override {}
    void scheduleTick(Duration) override {}
    void log(std::string_view) override {}

private:
    Idempotency idempotency(const TrackedRequest& tracked) const {
        return config.requestClasses[tracked.request.requestClass].idempotency;
    }
    static RequestId firstAttempt(const TrackedRequest& tracked) {
        return tracked.request.duplicateOf.value_or(tracked.request.id);
    }

    /// The run has come to its next call while its last one was repeated: the repetition is abandoned.
    void endCallOfContinuedRun() {
        --callsInFlight;
        abandonedCallsEnd_.push_back(now + config.abandonedCallTime);
    }

    void answer(RequestId id) {
        TrackedRequest& tracked = requests.at(id);
        check(!(tracked.answered), "answered twice");
        tracked.answered = true;
    }

    double memoryKb() const {
        double sum = 0;
        for (const auto& [id, tracked] : requests)
            sum += tracked.request.memoryKb *
                   (tracked.state == RequestState::Queued || tracked.state == RequestState::JoinedDuplicate
                        ? 1
                        : config.runMemoryFactor);
        for (const auto& [id, until] : retainedKeys) sum += until > now ? config.idempotencyKeyKb : 0;
        return sum;
    }

    /// The mean number of runs on the cores over the window stays below the number at which the server
    /// collapses.
    void checkRunsOnCores() {
        runsOnCores_.push_back(countInState(RequestState::OnCores) +
                               countInState(RequestState::PossiblyWaiting));
        const std::size_t batchesInWindow = static_cast<std::size_t>(config.overloadWindow / 20ms);
        if (runsOnCores_.size() < batchesInWindow) return;
        double mean = 0;
        for (std::size_t i = runsOnCores_.size() - batchesInWindow; i < runsOnCores_.size(); ++i)
            mean += runsOnCores_[i] / batchesInWindow;
        const double warm =
            std::min(1.0, config.coldCapacityFraction + (now - startedAt) / (1.0 * config.warmUpTime));
        check(mean <= config.cores * (1 + (config.overloadFactor - 1) * (config.startsCold ? warm : 1)),
              "too many runs on the cores");
    }

    /// The mean number of calls at a shared dependency, abandoned calls included, stays within the quota over
    /// the window.
    void checkDependencyQuota() {
        std::erase_if(abandonedCallsEnd_, [&](Timestamp end) { return end <= now; });
        callsAtDependency_.push_back(callsInFlight + static_cast<double>(abandonedCallsEnd_.size()));
        const auto window = static_cast<std::size_t>(config.dependencyQuotaWindow / 20ms);
        if (config.dependency == DependencyKind::Shared && callsAtDependency_.size() >= window)
            check(std::accumulate(callsAtDependency_.end() - static_cast<long>(window),
                                  callsAtDependency_.end(),
                                  0.0) <= config.dependencyQuota * static_cast<double>(window),
                  "quota of the dependency exceeded");
    }

    std::map<RequestId, Timestamp>
        lastRunByKey_;                       ///< By first attempt: arrival of the last attempt that ran.
    std::vector<double> runsOnCores_;        ///< One entry per batch.
    std::vector<double> callsAtDependency_;  ///< One entry per batch.
    std::vector<Timestamp> abandonedCallsEnd_;
};

}  // namespace cottonwing::testing
