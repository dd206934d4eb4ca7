/// @file
/// A model of the four rules that every decision of the overload controller has to keep. It follows each
/// request from the events and the decisions alone and shares nothing with the controller's own books.
///
/// | rule | checked in |
/// | --- | --- |
/// | 1 no request is lost: each is answered by its deadline and before the process ends | `judge` |
/// | 2 nothing happens twice: no run, dependency call or answer that may happen only once | `startRun`, |
/// | | `callDependency`, `answer`, `reject`, `joinDuplicate` |
/// | 3 after the drain grace nothing new runs | `startRun` |
/// | 4 the server does not collapse: memory, runs on the cores, the dependency's quota | `judge` |
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
    enum class At {
        Hold,   ///< Queued, not started.
        Cores,  ///< Running.
        Call,   ///< Waiting for its dependency call.
        Below,  ///< Its dependency call is in progress.
        Joined  ///< A duplicate that waits for the attempt with its idempotency key.
    };

    /// A request in progress.
    struct Work {
        Request command;
        Timestamp arrivedAt{0};
        Timestamp deadline{0};
        Timestamp callEnds{0};  ///< End of the timeout of its dependency call.
        At at = At::Hold;
        bool answered = false;
        bool left = false;  ///< The client cancelled it.
        bool ran = false;
        bool calledBefore = false;  ///< An attempt of the call that it waits for was sent.
        bool lastCallNeverRan = true;
    };

    explicit ReferenceModel(const ControllerConfig& config) : terms(config) {}

    ControllerConfig terms;
    Timestamp now = 1000s;
    Timestamp born = now;  ///< Start of the server.
    Timestamp shutdownNoticeAt{-1};
    Timestamp stopAt{-1};  ///< When the process ends; -1 before the notice.
    std::map<RequestId, Work> work;
    std::map<RequestId, Timestamp>
        kept;     ///< Idempotency keys, by the request that holds them: retained until.
    int out = 0;  ///< Dependency calls in progress.

    /// Follows the events of a batch, before the controller decides on it.
    void observe(const EventBatch& batch) {
        if (batch.processEndsAt && shutdownNoticeAt < 0ns) {
            shutdownNoticeAt = now;
            stopAt = *batch.processEndsAt;
        }
        for (const Request& request : batch.arrivals) {
            Work& w = work[request.id];
            w.command = request;
            w.arrivedAt = now - request.queuedBeforeRead;
            const Duration timeout = terms.requestClasses[request.requestClass].timeout;
            w.deadline = std::max(request.deadline.value_or(w.arrivedAt + timeout), now);
        }
        for (const Completion& call : batch.dependencyResults) {
            Work& w = work.at(call.id);
            if (call.outcome == Outcome::TimedOut)
                abandonedCallsEnd_.push_back(now + terms.abandonedCallTime);
            w.at = call.outcome == Outcome::Ok ? At::Cores : At::Call;
            w.lastCallNeverRan = call.outcome == Outcome::ResourceExhausted ||
                                 call.outcome == Outcome::Unreachable || call.outcome == Outcome::LocalLimit;
            if (call.outcome == Outcome::Ok) w.calledBefore = false;
            --out;
        }
        for (const RequestId id : batch.waitingForDependency) {
            work.at(id).at = At::Call;
            work.at(id).calledBefore = false;
        }
        for (const Completion& run : batch.runResults) {
            if (work.at(run.id).at == At::Below) --out;
            work.erase(run.id);
        }
        for (const RequestId id : batch.clientCancellations) {
            Work& w = work.at(id);
            w.left = true;
            if (w.at == At::Hold || w.at == At::Joined) work.erase(id);
        }
    }

    /// Checks rules 1 and 4 on the whole, after the decisions of a batch.
    void judge() {
        for (const auto& [id, w] : work)
            if (!w.answered && !w.left) {
                rule(now <= w.deadline + 80ms, "no answer by the deadline");
                if (stopAt >= 0ns) rule(now < stopAt, "no answer at the end of the process");
            }
        rule(memoryKb() <= terms.memoryLimitKb, "memory limit exceeded");
        judgeCores();
        judgeDependency();
    }

    /// @return how many requests are there.
    int on(At place) const {
        return static_cast<int>(std::count_if(work.begin(), work.end(),
                                              [&](const auto& entry) { return entry.second.at == place; }));
    }

    void startRun(RequestId id) override {
        Work& w = work.at(id);
        rule(w.at == At::Hold && !w.answered && !w.ran, "started twice");
        if (shutdownNoticeAt >= 0ns)
            rule(w.arrivedAt <= shutdownNoticeAt + terms.drainGrace, "started after the drain grace");
        if (idempotency(w) == Idempotency::WithKey) {
            const Duration window = terms.requestClasses[w.command.requestClass].idempotencyWindow;
            const auto ran = keysRan_.find(firstAttempt(w));
            if (ran != keysRan_.end())
                rule(w.arrivedAt > ran->second + window, "ran twice under one idempotency key");
            const auto entry = kept.find(firstAttempt(w));
            rule(entry != kept.end() && entry->second >= w.arrivedAt + window,
                 "idempotency key not retained for its window");
            keysRan_[firstAttempt(w)] = w.arrivedAt;
        }
        w.ran = true;
        w.at = At::Cores;
    }
    void reject(RequestId id, const Pushback& pushback) override {
        rule(pushback.retryAfter <= terms.maxRetryAfter, "Retry-After above its maximum");
        rule(!(work.at(id).ran), "rejected after it ran");
        answer(id);
        work.erase(id);
    }
    void fail(RequestId id) override {
        answer(id);
        if (work.at(id).at == At::Hold || work.at(id).at == At::Joined) work.erase(id);
    }
    void cancelRun(RequestId id) override {
        rule(work.at(id).answered || work.at(id).left, "cancelled while the client waits");
    }
    void callDependency(RequestId id, Duration timeout) override {
        ++out;
        Work& w = work.at(id);
        rule(w.at == At::Call && !w.answered, "call of a run that waits for none");
        if (idempotency(w) != Idempotency::Idempotent)
            rule(!w.calledBefore || w.lastCallNeverRan, "call repeated that may have had its effect");
        w.at = At::Below;
        w.callEnds = now + timeout;
        w.calledBefore = true;
    }
    void skipDependencyCall(RequestId id) override {
        Work& w = work.at(id);
        rule(w.at == At::Call, "skipped the call of a run that waits for none");
        rule(terms.requestClasses[w.command.requestClass].degradedValueFraction > 0,
             "skipped a call that is required");
        w.at = At::Cores;
    }
    void retainKey(RequestId id, Duration lifetime) override { kept[id] = now + lifetime; }
    void releaseKey(RequestId id) override { kept.erase(id); }
    void joinDuplicate(RequestId id) override {
        rule(work.at(id).command.duplicateOf != 0U, "joined to no earlier attempt");
        work.at(id).at = At::Joined;
    }
    void setHealth(bool) override {}
    void advertiseLoadShare(double) override {
        rule(terms.loadSignal != LoadSignal::None, "load advertised against the configuration");
    }
    void setIdleTimeout(Duration) override {}
    void scheduleTick(Duration) override {}
    void log(std::string_view) override {}

private:
    Idempotency idempotency(const Work& w) const {
        return terms.requestClasses[w.command.requestClass].idempotency;
    }
    static RequestId firstAttempt(const Work& w) {
        return w.command.duplicateOf != 0 ? w.command.duplicateOf : w.command.id;
    }

    void answer(RequestId id) {
        Work& w = work.at(id);
        rule(!(w.answered), "answered twice");
        w.answered = true;
    }

    double memoryKb() const {
        double sum = 0;
        for (const auto& [id, w] : work)
            sum += w.command.memoryKb * (w.at == At::Hold || w.at == At::Joined ? 1 : terms.runMemoryFactor);
        for (const auto& [id, until] : kept) sum += until > now ? terms.idempotencyKeyKb : 0;
        return sum;
    }

    /// The mean of runs on the cores over the window stays below the number at which the server collapses.
    void judgeCores() {
        runsOnCores_.push_back(on(At::Cores));
        const std::size_t over = static_cast<std::size_t>(terms.overloadWindow / 20ms);
        if (runsOnCores_.size() < over) return;
        double mean = 0;
        for (std::size_t i = runsOnCores_.size() - over; i < runsOnCores_.size(); ++i)
            mean += runsOnCores_[i] / over;
        const double warm =
            std::min(1.0, terms.coldCapacityFraction + (now - born) / (1.0 * terms.warmUpTime));
        rule(mean <= terms.cores * (1 + (terms.overloadFactor - 1) * (terms.startsCold ? warm : 1)),
             "too many runs on the cores");
    }

    /// The mean of calls at a shared dependency over the window stays within the quota, abandoned calls
    /// included.
    void judgeDependency() {
        std::erase_if(abandonedCallsEnd_, [&](Timestamp end) { return end <= now; });
        callsAtDependency_.push_back(out + static_cast<double>(abandonedCallsEnd_.size()));
        const auto window = static_cast<std::size_t>(terms.dependencyQuotaWindow / 20ms);
        if (terms.dependency == DependencyKind::Shared && callsAtDependency_.size() >= window)
            rule(std::accumulate(callsAtDependency_.end() - static_cast<long>(window),
                                 callsAtDependency_.end(),
                                 0.0) <= terms.dependencyQuota * static_cast<double>(window),
                 "quota of the dependency exceeded");
    }

    std::map<RequestId, Timestamp> keysRan_;  ///< By first attempt: arrival of the attempt that ran last.
    std::vector<double> runsOnCores_;         ///< One entry a batch.
    std::vector<double> callsAtDependency_;   ///< One entry a batch.
    std::vector<Timestamp> abandonedCallsEnd_;
};

}  // namespace cottonwing::testing
