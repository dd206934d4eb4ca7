#include "soak/rules.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;

// PROTOCOL.md, "The rules on sockets": every time limit is 50 ms longer.
constexpr Duration kSlack = 50ms;
// PROTOCOL.md, "Sidecars to backends": what crosses a close within this time is sent once more.
constexpr Duration kCrossing = 50ms;
// The regression's terms: nine in ten restarts are ready in this time.
constexpr Duration kReadyWithin = 10s;

class Judge {
public:
    explicit Judge(const Observations& seen) : seen_(seen) {
        for (const Attempt& attempt : seen.attempts) attempts_.emplace(attempt.id, &attempt);
        for (const ObservedRun& run : seen.runs) runs_[run.id].push_back(&run);
    }

    std::vector<Violation> judgeAll() {
        for (const Attempt& attempt : seen_.attempts) judgeAnswers(attempt);
        judgeRuns();
        judgeEffects();
        judgeCalls();
        judgeReports();
        for (const Life& life : seen_.lives) judgeLife(life);
        return std::move(violations_);
    }

private:
    void violation(Rule rule, const std::string& what, const std::string& attempt = "") {
        violations_.push_back({rule, what, attempt});
    }
    static std::string milliseconds(Duration time) { return std::to_string(time / 1ms) + " ms"; }
    Idempotency idempotencyOf(const Attempt& attempt) const {
        return seen_.classes[static_cast<std::size_t>(attempt.requestClass)].idempotency;
    }

    // The time between two moments that counts: during a pause of the machine none does.
    Duration elapsed(Duration from, Duration to) const {
        Duration time = to - from;
        for (const MachinePause& pause : seen_.pauses)
            time -= std::max(Duration(0), std::min(to, pause.to) - std::max(from, pause.from));
        return time;
    }

    // How long after its deadline; WIRE: that is in no case prior to the reading.
    Duration lateness(const Attempt& attempt, Duration at) const {
        const Duration given = std::max(Duration(0), attempt.deadline - *attempt.writtenAt);
        return elapsed(*attempt.writtenAt, at) - given;
    }

    void judgeAnswers(const Attempt& attempt) {
        if (!attempt.writtenAt) return;
        if (attempt.responses.size() > 1) violation(Rule::Duplicate, "a second answer", attempt.id);
        if (attempt.responses.empty()) return judgeUnanswered(attempt);
        const Response& response = attempt.responses.front();
        judgeResponseTime(attempt, response);
        if (response.kind == Response::Kind::Served) judgeResult(attempt, response);
        if (response.kind == Response::Kind::Rejected) judgeRejection(attempt, response);
    }

    void judgeResponseTime(const Attempt& attempt, const Response& response) {
        if (attempt.cancelledAt || attempt.clientPausedReading) return;
        const Duration late = lateness(attempt, response.at);
        if (late > kSlack)
            violation(Rule::Lost, "answered " + milliseconds(late) + " after its deadline", attempt.id);
    }

    // PROTOCOL.md: an answer 'served' with what no run made for the request.
    void judgeResult(const Attempt& attempt, const Response& response) {
        const bool made = std::any_of(seen_.runs.begin(), seen_.runs.end(), [&](const ObservedRun& run) {
            if (run.life != attempt.life || run.result != response.body) return false;
            const auto of = attempts_.find(run.id);
            if (of == attempts_.end()) return false;
            return run.id == attempt.id || (!attempt.key.empty() && of->second->key == attempt.key);
        });
        if (!made) violation(Rule::Lost, "served with a result that no run made", attempt.id);
    }

    // WIRE: once a try of a request that is not idempotent has run, it is not refused.
    void judgeRejection(const Attempt& attempt, const Response& response) {
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

    void judgeUnanswered(const Attempt& attempt) {
        if (attempt.cancelledAt || attempt.connection == ConnectionFate::ClosedByClient) return;
        const Life& life = seen_.lives[attempt.life];
        if (attempt.connection == ConnectionFate::ClosedByServer) return judgeClosed(attempt, life);
        violation(Rule::Lost, "no answer on an open connection", attempt.id);
    }

    // Excused are: what an instance held that was killed outright; a request that crossed the close and never
    // ran, which its client sends once more; and one on a new connection that was closed having run nothing.
    void judgeClosed(const Attempt& attempt, const Life& life) {
        const Duration closed = attempt.connectionEndedAt;
        const bool inTime = lateness(attempt, closed) <= kSlack;
        if (life.killedOutright && life.killed && closed >= *life.killed && inTime) return;
        const bool ran = !runsOf(attempt.id).empty();
        const Duration open = elapsed(*attempt.writtenAt, closed);
        if (!ran && open <= kCrossing) return;
        if (!ran && !attempt.connectionWasServed) return;
        violation(Rule::Lost,
                  "its connection ended " + milliseconds(open) + " after its last byte without an answer" +
                      (ran ? ", and it ran" : ""),
                  attempt.id);
    }

    void judgeRuns() {
        for (const ObservedRun& run : seen_.runs) {
            const auto found = attempts_.find(run.id);
            if (found == attempts_.end()) {
                violation(Rule::Lost, "a run of a request that nobody sent", run.id);
                continue;
            }
            const Attempt& attempt = *found->second;
            const std::string& requestClass =
                seen_.classes[static_cast<std::size_t>(attempt.requestClass)].name;
            if (run.body != attempt.body || run.requestClass != requestClass)
                violation(Rule::Lost, "its body or class reached the worker pool changed", run.id);
            judgeDrain(run, attempt);
        }
    }

    void judgeDrain(const ObservedRun& run, const Attempt& attempt) {
        const Life& life = seen_.lives[run.life];
        if (!life.terminated || !attempt.writtenAt) return;
        const Duration after = elapsed(*life.terminated, *attempt.writtenAt);
        if (after > seen_.drainGrace + kSlack)
            violation(Rule::Drain, "run although it arrived " + milliseconds(after) + " after SIGTERM",
                      run.id);
    }

    // What may run once: by its first attempt, or by its key within one life of the server.
    void judgeEffects() {
        std::set<std::string> ran;
        for (const ObservedRun& run : seen_.runs) {
            const auto found = attempts_.find(run.id);
            if (found == attempts_.end()) continue;
            const Attempt& attempt = *found->second;
            if (idempotencyOf(attempt) == Idempotency::Idempotent) continue;
            const bool keyed = idempotencyOf(attempt) == Idempotency::WithKey;
            const std::string effect =
                keyed ? attempt.key + " in life " + std::to_string(run.life) : attempt.firstAttempt;
            if (!ran.insert(effect).second) violation(Rule::Duplicate, "run again: " + effect, run.id);
        }
    }

    void judgeCalls() {
        std::set<std::pair<std::string, int>> made;
        for (const Call& call : seen_.calls) {
            const auto found = attempts_.find(call.id);
            if (found == attempts_.end() || idempotencyOf(*found->second) == Idempotency::Idempotent)
                continue;
            if (!made.emplace(call.id, call.segment).second)
                violation(Rule::Duplicate, "its dependency call was made again", call.id);
        }
    }

    void judgeReports() {
        std::set<std::size_t> draining;
        for (const Report& report : seen_.reports) {
            if (report.draining)
                draining.insert(report.life);
            else if (draining.contains(report.life))
                violation(Rule::Lifecycle, "reported ready after it had reported draining");
        }
    }

    void judgeLife(const Life& life) {
        judgeEnd(life);
        judgeReadiness(life);
        judgeLimits(life);
        if (!life.sanitizerReport.empty()) violation(Rule::Sanitizer, life.sanitizerReport);
        if (life.unansweredByCounters != 0)
            violation(Rule::Lost, std::to_string(life.unansweredByCounters) +
                                      " requests read and not ended, by its own counters");
        if (life.unreadableBytes > 0) violation(Rule::Lost, "an answer that can't be read");
    }

    void judgeEnd(const Life& life) {
        if (!life.endedAt) return violation(Rule::Lifecycle, "the process did not end");
        if (life.killedOutright) {
            if (life.exitSignal == 0)
                violation(Rule::Lifecycle,
                          "ended by itself, with exit code " + std::to_string(life.exitCode));
            return;
        }
        if (!life.terminated)
            return violation(Rule::Lifecycle,
                             "ended without a signal, with exit code " + std::to_string(life.exitCode));
        if (life.killed)
            return violation(Rule::Lifecycle, "had not ended " +
                                                  milliseconds(*life.killed - *life.terminated) +
                                                  " after SIGTERM, when the kill came");
        if (life.exitCode != 0 || life.exitSignal != 0)
            violation(Rule::Lifecycle, "the shutdown ended with exit code " + std::to_string(life.exitCode) +
                                           ", signal " + std::to_string(life.exitSignal));
    }

    void judgeReadiness(const Life& life) {
        if (!life.poolUpAt) return;
        const Duration from = std::max(life.startedAt, *life.poolUpAt);
        const Duration until = life.readyAt      ? *life.readyAt
                               : life.terminated ? *life.terminated
                               : life.endedAt    ? *life.endedAt
                                                 : from;
        if (elapsed(from, until) > kReadyWithin)
            violation(Rule::Lifecycle,
                      "not ready " + milliseconds(elapsed(from, until)) + " after its start");
    }

    void judgeLimits(const Life& life) {
        if (life.mostMemoryMb > seen_.memoryLimitMb)
            violation(Rule::Limits, std::to_string(life.mostMemoryMb) + " MB of memory");
        if (life.mostDescriptors > seen_.descriptorLimit)
            violation(Rule::Limits, std::to_string(life.mostDescriptors) + " descriptors");
        if (life.mostBookedKb > seen_.bookedLimitKb)
            violation(Rule::Limits, std::to_string(life.mostBookedKb) + " KB of the worker pool's memory");
        if (life.mostRunsOnCores > 1) violation(Rule::Limits, "too many runs on the cores");
    }

    const Observations& seen_;
    std::map<std::string, const Attempt*> attempts_;
    std::map<std::string, std::vector<const ObservedRun*>> runs_;
    std::vector<Violation> violations_;
};

}  // namespace

const char* nameOf(Rule rule) {
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

std::vector<Violation> judge(const Observations& seen) {
    std::vector<Violation> violations = Judge(seen).judgeAll();
    std::stable_sort(violations.begin(), violations.end(),
                     [](const Violation& a, const Violation& b) { return a.rule < b.rule; });
    return violations;
}

}  // namespace cottonwing::soak
