#include "soak/rules.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;

// PROTOCOL.md, "The rules on sockets": every time limit is extended by 50 ms.
constexpr Duration kTimingTolerance = 50ms;
// PROTOCOL.md, "Sidecars to backends": a request that crosses a close within this time is sent again.
constexpr Duration kCloseRaceWindow = 50ms;
// The terms of the regression: nine in ten restarts are ready within this time.
constexpr Duration kMaxStartupTime = 10s;

class RuleChecker {
public:
    explicit RuleChecker(const Observations& observations) : observations_(observations) {
        for (const Attempt& attempt : observations.attempts) attempts_.emplace(attempt.id, &attempt);
        for (const ObservedRun& run : observations.runs) runs_[run.id].push_back(&run);
    }

    std::vector<Violation> checkAll() {
        for (const Attempt& attempt : observations_.attempts) checkAnswers(attempt);
        checkRuns();
        checkEffects();
        checkCalls();
        checkReports();
        for (const Incarnation& incarnation : observations_.incarnations) checkIncarnation(incarnation);
        return std::move(violations_);
    }

private:
    void violation(Rule rule, const std::string& what, const std::string& attempt = "") {
        violations_.push_back({rule, what, attempt});
    }
    static std::string milliseconds(Duration time) { return std::to_string(time / 1ms) + " ms"; }
    Idempotency idempotencyOf(const Attempt& attempt) const {
        return observations_.classes[static_cast<std::size_t>(attempt.requestClass)].idempotency;
    }

    // The time between two points without the pauses of the machine.
    Duration elapsed(Duration from, Duration to) const {
        Duration time = to - from;
        for (const MachinePause& pause : observations_.pauses)
            time -= std::max(Duration(0), std::min(to, pause.to) - std::max(from, pause.from));
        return time;
    }

    // The time since the deadline of the attempt. WIRE: a deadline is never earlier than the reading of the
    // request.
    Duration lateness(const Attempt& attempt, Duration at) const {
        const Duration given = std::max(Duration(0), attempt.deadline - *attempt.writtenAt);
        return elapsed(*attempt.writtenAt, at) - given;
    }

    void checkAnswers(const Attempt& attempt) {
        if (!attempt.writtenAt) return;
        if (attempt.responses.size() > 1) violation(Rule::Duplicate, "answered twice", attempt.id);
        if (attempt.responses.empty()) return checkUnanswered(attempt);
        const Response& response = attempt.responses.front();
        checkResponseTime(attempt, response);
        if (response.kind == Response::Kind::Served) checkResult(attempt, response);
        if (response.kind == Response::Kind::Rejected) checkRejection(attempt, response);
    }

    void checkResponseTime(const Attempt& attempt, const Response& response) {
        if (attempt.cancelledAt || attempt.clientPausedReading) return;
        const Duration late = lateness(attempt, response.at);
        if (late > kTimingTolerance)
            violation(Rule::Lost, "answered " + milliseconds(late) + " after its deadline", attempt.id);
    }

    // PROTOCOL.md: a 'served' answer must contain a result that a run produced for the request.
    void checkResult(const Attempt& attempt, const Response& response) {
        const bool made =
            std::any_of(observations_.runs.begin(), observations_.runs.end(), [&](const ObservedRun& run) {
                if (run.incarnation != attempt.incarnation || run.result != response.body) return false;
                const auto found = attempts_.find(run.id);
                if (found == attempts_.end()) return false;
                return run.id == attempt.id || (!attempt.key.empty() && found->second->key == attempt.key);
            });
        if (!made) violation(Rule::Lost, "served with a result that no run produced", attempt.id);
    }

    // WIRE: once an attempt of a request that is not idempotent has run, the request is not rejected.
    void checkRejection(const Attempt& attempt, const Response& response) {
        if (idempotencyOf(attempt) == Idempotency::Idempotent) return;
        for (const ObservedRun* const run : runsOf(attempt.id))
            if (run->startedAt <= response.at)
                violation(Rule::Duplicate, "rejected although it had run", attempt.id);
    }

    const std::vector<const ObservedRun*>& runsOf(const std::string& id) const {
        static const std::vector<const ObservedRun*> none;
        const auto found = runs_.find(id);
        return found == runs_.end() ? none : found->second;
    }

    void checkUnanswered(const Attempt& attempt) {
        if (attempt.cancelledAt || attempt.connection == ConnectionOutcome::ClosedByClient) return;
        const Incarnation& incarnation = observations_.incarnations[attempt.incarnation];
        if (attempt.connection == ConnectionOutcome::ClosedByServer) return checkClosed(attempt, incarnation);
        violation(Rule::Lost, "no answer on an open connection", attempt.id);
    }

    // Not a violation: an open request of an instance that was killed without notice; a request that crossed
    // the close and never ran, as its client sends it again; and a request that never ran on a new connection
    // that was closed.
    void checkClosed(const Attempt& attempt, const Incarnation& incarnation) {
        const Duration closed = attempt.connectionEndedAt;
        const bool inTime = lateness(attempt, closed) <= kTimingTolerance;
        if (incarnation.killedWithoutNotice && incarnation.killedAt && closed >= *incarnation.killedAt &&
            inTime)
            return;
        const bool ran = !runsOf(attempt.id).empty();
        const Duration open = elapsed(*attempt.writtenAt, closed);
        if (!ran && open <= kCloseRaceWindow) return;
        if (!ran && !attempt.connectionHadResponse) return;
        violation(Rule::Lost,
                  "its connection ended " + milliseconds(open) + " after its last byte without an answer" +
                      (ran ? ", and it ran" : ""),
                  attempt.id);
    }

    void checkRuns() {
        for (const ObservedRun& run : observations_.runs) {
            const auto found = attempts_.find(run.id);
            if (found == attempts_.end()) {
                violation(Rule::Lost, "run of a request that no client sent", run.id);
                continue;
            }
            const Attempt& attempt = *found->second;
            const std::string& requestClass =
                observations_.classes[static_cast<std::size_t>(attempt.requestClass)].name;
            if (run.body != attempt.body || run.requestClass != requestClass)
                violation(Rule::Lost, "body or request class changed on the way to the worker pool", run.id);
            checkDrain(run, attempt);
        }
    }

    void checkDrain(const ObservedRun& run, const Attempt& attempt) {
        const Incarnation& incarnation = observations_.incarnations[run.incarnation];
        if (!incarnation.terminatedAt || !attempt.writtenAt) return;
        const Duration after = elapsed(*incarnation.terminatedAt, *attempt.writtenAt);
        if (after > observations_.drainGrace + kTimingTolerance)
            violation(Rule::Drain, "run although it arrived " + milliseconds(after) + " after SIGTERM",
                      run.id);
    }

    // A request that may run only once is identified by its first attempt, or by its key within one
    // incarnation of the server.
    void checkEffects() {
        std::set<std::string> ran;
        for (const ObservedRun& run : observations_.runs) {
            const auto found = attempts_.find(run.id);
            if (found == attempts_.end()) continue;
            const Attempt& attempt = *found->second;
            if (idempotencyOf(attempt) == Idempotency::Idempotent) continue;
            const bool keyed = idempotencyOf(attempt) == Idempotency::WithKey;
            const std::string effect =
                keyed ? attempt.key + " in incarnation " + std::to_string(run.incarnation)
                      : attempt.firstAttempt;
            if (!ran.insert(effect).second) violation(Rule::Duplicate, "run again: " + effect, run.id);
        }
    }

    void checkCalls() {
        std::set<std::pair<std::string, int>> made;
        for (const ObservedCall& call : observations_.calls) {
            const auto found = attempts_.find(call.id);
            if (found == attempts_.end() || idempotencyOf(*found->second) == Idempotency::Idempotent)
                continue;
            if (!made.emplace(call.id, call.segment).second)
                violation(Rule::Duplicate, "dependency call made twice", call.id);
        }
    }

    void checkReports() {
        std::set<std::size_t> draining;
        for (const RegistryReport& report : observations_.reports) {
            if (report.draining)
                draining.insert(report.incarnation);
            else if (draining.contains(report.incarnation))
                violation(Rule::Lifecycle, "reported ready after it had reported draining");
        }
    }

    void checkIncarnation(const Incarnation& incarnation) {
        checkEnd(incarnation);
        checkReadiness(incarnation);
        checkLimits(incarnation);
        if (!incarnation.sanitizerReport.empty()) violation(Rule::Sanitizer, incarnation.sanitizerReport);
        if (incarnation.unansweredByCounters != 0)
            violation(Rule::Lost, std::to_string(incarnation.unansweredByCounters) +
                                      " requests read but not ended, by the counters of the server");
        if (incarnation.unreadableBytes > 0) violation(Rule::Lost, "answer could not be decoded");
    }

    void checkEnd(const Incarnation& incarnation) {
        if (!incarnation.endedAt) return violation(Rule::Lifecycle, "the process did not end");
        if (incarnation.killedWithoutNotice) {
            if (incarnation.exitSignal == 0)
                violation(Rule::Lifecycle,
                          "exited before the kill, with exit code " + std::to_string(incarnation.exitCode));
            return;
        }
        if (!incarnation.terminatedAt)
            return violation(Rule::Lifecycle, "ended without a signal, with exit code " +
                                                  std::to_string(incarnation.exitCode));
        if (incarnation.killedAt)
            return violation(Rule::Lifecycle,
                             "still running " +
                                 milliseconds(*incarnation.killedAt - *incarnation.terminatedAt) +
                                 " after SIGTERM, when it was killed");
        if (incarnation.exitCode != 0 || incarnation.exitSignal != 0)
            violation(Rule::Lifecycle, "shutdown ended with exit code " +
                                           std::to_string(incarnation.exitCode) + ", signal " +
                                           std::to_string(incarnation.exitSignal));
    }

    void checkReadiness(const Incarnation& incarnation) {
        if (!incarnation.poolUpAt) return;
        const Duration from = std::max(incarnation.startedAt, *incarnation.poolUpAt);
        const Duration until = incarnation.readyAt        ? *incarnation.readyAt
                               : incarnation.terminatedAt ? *incarnation.terminatedAt
                               : incarnation.endedAt      ? *incarnation.endedAt
                                                          : from;
        if (elapsed(from, until) > kMaxStartupTime)
            violation(Rule::Lifecycle,
                      "not ready " + milliseconds(elapsed(from, until)) + " after its start");
    }

    void checkLimits(const Incarnation& incarnation) {
        if (incarnation.peakMemoryMb > observations_.memoryLimitMb)
            violation(Rule::Limits, std::to_string(incarnation.peakMemoryMb) + " MB of memory");
        if (incarnation.peakDescriptors > observations_.descriptorLimit)
            violation(Rule::Limits, std::to_string(incarnation.peakDescriptors) + " descriptors");
        if (incarnation.peakReservedKb > observations_.reservedLimitKb)
            violation(Rule::Limits,
                      std::to_string(incarnation.peakReservedKb) + " KB of the worker pool's memory");
        if (incarnation.peakOverloadFraction > 1) violation(Rule::Limits, "too many runs on the cores");
    }

    const Observations& observations_;
    std::map<std::string, const Attempt*> attempts_;
    std::map<std::string, std::vector<const ObservedRun*>> runs_;
    std::vector<Violation> violations_;
};

}  // namespace

const char* nameOfRule(Rule rule) {
    switch (rule) {
        case Rule::Lost:
            return "lost";
        case Rule::Duplicate:
            return "duplicate";
        case Rule::Drain:
            return "drain";
        case Rule::Limits:
            return "limits";
        case Rule::Lifecycle:
            return "lifecycle";
        case Rule::Sanitizer:
            return "sanitizer";
    }
    return "";
}

std::vector<Violation> checkRules(const Observations& observations) {
    std::vector<Violation> violations = RuleChecker(observations).checkAll();
    std::stable_sort(violations.begin(), violations.end(),
                     [](const Violation& a, const Violation& b) { return a.rule < b.rule; });
    return violations;
}

}  // namespace cottonwing::soak
