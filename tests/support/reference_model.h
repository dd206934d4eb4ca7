/// @file
/// A model of the four rules that every decision of the overload controller has to keep. It follows each
/// request from the events and the decisions alone and shares nothing with the controller's own books.
///
/// | rule | checked in |
/// | --- | --- |
/// | 1 no request is lost: each is answered by its deadline and before the process ends | `checkInvariants` |
/// | 2 nothing happens twice: no run, dependency call or answer that may happen only once | `startRun`, |
/// | | `callDependency`, `answer`, `reject`, `joinDuplicate` |
/// | 3 after the drain grace nothing new runs | `startRun` |
/// | 4 the server does not collapse: memory, runs on the cores, the dependency's quota | `checkInvariants` |
///
/// Beside these: each decision fits the request's state and the configuration (`reject`, `cancelRun`,
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

/// Checks each decision as it is made and the whole after each batch. Time advances in steps of 20 ms.
class ReferenceModel : public DecisionSink, public InvariantViolations {
public:
    /// Where a request is.
    enum class RequestState {
        Queued,          ///< Queued, not started.
        OnCores,         ///< Running.
        WaitingForCall,  ///< Waiting for its dependency call.
        CallInFlight,    ///< Its dependency call is in progress.
        JoinedDuplicate  ///< A duplicate that waits for the attempt with its idempotency key.
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
        bool calledBefore = false;  ///< An attempt of the call that it waits for was sent.
        bool lastCallNeverRan = true;
    };

    explicit ReferenceModel(const ControllerConfig& controllerConfig) : config(controllerConfig) {}

    ControllerConfig config;
    Timestamp now = 1000s;
    Timestamp startedAt = now;  ///< Start of the server.
    Timestamp shutdownNoticeAt{-1};
    Timestamp processEnd{-1};  ///< When the process ends; -1 before the notice.
    std::map<RequestId, TrackedRequest> requests;
    std::map<RequestId, Timestamp>
        retainedKeys;       ///< Idempotency keys, by the request that holds them: retained until.
    int callsInFlight = 0;  ///< Dependency calls in progress.

    /// Follows the events of a batch, before the controller decides on it.
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
            if (call.outcome == Outcome::TimedOut)
                abandonedCallsEnd_.push_back(now + config.abandonedCallTime);
            tracked.state =
                call.outcome == Outcome::Ok ? RequestState::OnCores : RequestState::WaitingForCall;
            tracked.lastCallNeverRan = call.outcome == Outcome::ResourceExhausted ||
                                       call.outcome == Outcome::Unreachable ||
                                       call.outcome == Outcome::LocalLimit;
            if (call.outcome == Outcome::Ok) tracked.calledBefore = false;
            --callsInFlight;
        }
        for (const RequestId id : batch.waitingForDependency) {
            requests.at(id).state = RequestState::WaitingForCall;
            requests.at(id).calledBefore = false;
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

    /// Checks rules 1 and 4 on the whole, after the decisions of a batch.
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

    /// @return how many requests are there.
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
        check(tracked.state == RequestState::WaitingForCall && !tracked.answered,
              "call of a run that waits for none");
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
        check(requests.at(id).request.duplicateOf != 0U, "joined to no earlier attempt");
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
        return tracked.request.duplicateOf != 0 ? tracked.request.duplicateOf : tracked.request.id;
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

    /// The mean of runs on the cores over the window stays below the number at which the server collapses.
    void checkRunsOnCores() {
        runsOnCores_.push_back(countInState(RequestState::OnCores));
        const std::size_t over = static_cast<std::size_t>(config.overloadWindow / 20ms);
        if (runsOnCores_.size() < over) return;
        double mean = 0;
        for (std::size_t i = runsOnCores_.size() - over; i < runsOnCores_.size(); ++i)
            mean += runsOnCores_[i] / over;
        const double warm =
            std::min(1.0, config.coldCapacityFraction + (now - startedAt) / (1.0 * config.warmUpTime));
        check(mean <= config.cores * (1 + (config.overloadFactor - 1) * (config.startsCold ? warm : 1)),
              "too many runs on the cores");
    }

    /// The mean of calls at a shared dependency over the window stays within the quota, abandoned calls
    /// included.
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
        lastRunByKey_;                       ///< By first attempt: arrival of the attempt that ran last.
    std::vector<double> runsOnCores_;        ///< One entry a batch.
    std::vector<double> callsAtDependency_;  ///< One entry a batch.
    std::vector<Timestamp> abandonedCallsEnd_;
};

}  // namespace cottonwing::testing
