// A backend with its sidecars left out: keeps what the module wrote and judges it by a model of the four
// rules that shares nothing with the module's own books.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "logic.h"

namespace cottonwing::testing {

using namespace std::chrono_literals;

inline StartTerms plainTerms() {
    StartTerms terms;
    terms.seed = 7;
    terms.profiles = {{Repeat::Repeatable, 2s, 0, 5s, 5s, 1, 0, 0, true},
                      {Repeat::Tagged, 2s, 0, 5s, 3s, 4, 0.2, 0, true},
                      {Repeat::OnceOnly, 2s, 0, 5s, 5s, 2, 0, 0.5, true}};
    terms.goalWorstProfile = 0.2;
    terms.peers = 4;
    terms.cores = 2;
    terms.startCapacity = 0.2;
    terms.rampTime = 18s;
    terms.memoryKb = 4000;
    terms.entryKb = 20;
    terms.runFactor = 4;
    terms.below = Below::Tier;
    terms.drainGrace = 1s;
    terms.fallMultiple = 4;
    terms.fallOver = 1500ms;
    terms.callsOver = 5s;
    terms.linger = 200ms;
    terms.comeBackAllowed = true;
    terms.longestComeBack = 1s;
    terms.longestIdle = 30s;
    return terms;
}

// One backend's machine as the module sees it; every decision is checked as it is written.
class Machine : public DecisionWriter {
public:
    enum class At { Hold, Cores, Call, Below, Joined };
    struct Work {
        Command command;
        Nanos reached{0}, due{0}, callEnds{0};
        At at = At::Hold;
        bool answered = false, left = false, ran = false, calledBefore = false, lastCallNeverRan = true;
    };

    explicit Machine(const StartTerms& terms) : terms(terms), decider(makeDecider(terms)) {}
    ~Machine() override {
        for (const std::string& what : broken) ADD_FAILURE() << what;
    }
    void rule(bool kept, const std::string& what) {
        if (!kept) broken.push_back(what);
    }

    StartTerms terms;
    std::unique_ptr<Decider> decider;
    Nanos now = 1000s, noticeAt{-1}, stopAt{-1}, born = now;
    Nanos patience{0}, wake{-1}, comeBack{0};
    std::map<CommandId, Work> work;
    std::map<CommandId, std::pair<Nanos, CommandId>> ranTags;  // tag (first try) -> arrival of the run
    std::map<CommandId, Nanos> kept;
    std::vector<std::string> logs, broken;
    std::vector<double> crowd, below;
    std::vector<Nanos> lingering;
    Nanos idle{-1};
    std::optional<double> asking;  // what the gauge says, where it is not what runs
    int starts = 0, bounces = 0, scraps = 0, calls = 0, out = 0, leftOut = 0;
    bool good = false;

    Command command(CommandId id, int profile = 0, Nanos left = 5s) {
        Command c;
        c.id = id;
        c.profile = profile;
        c.due = now + left;
        c.heldKb = 20;
        return c;
    }

    void step(Round round, Nanos passed = 20ms) {
        now += passed;
        round.now = now;
        if (wake >= 0ns && now >= wake && !round.gauges) {
            round.gauges = Gauges{0.5, asking.value_or(on(At::Cores)), 0.1, 3.0};
            wake = -1ns;
        }
        if (round.stopAt && noticeAt < 0ns) noticeAt = now, stopAt = *round.stopAt;
        for (const Command& c : round.read) {
            Work& w = work[c.id];
            w.command = c;
            w.reached = now - c.waited;
            w.due = std::max(c.due.value_or(w.reached + terms.profiles[c.profile].hardStop), now);
        }
        for (const Result& r : round.callsBack) {
            Work& w = work.at(r.id);
            if (r.outcome == Outcome::TimedOut) lingering.push_back(now + terms.linger);
            w.at = r.outcome == Outcome::Ok ? At::Cores : At::Call;
            w.lastCallNeverRan = r.outcome == Outcome::Full || r.outcome == Outcome::Unreachable;
            if (r.outcome == Outcome::Ok) w.calledBefore = false;
            --out;
        }
        for (const CommandId id : round.parked) work.at(id).at = At::Call, work.at(id).calledBefore = false;
        for (const Result& r : round.runsEnded) {
            if (work.at(r.id).at == At::Below) --out;
            work.erase(r.id);
        }
        for (const CommandId id : round.callersLeft) {
            Work& w = work.at(id);
            w.left = true;
            if (w.at == At::Hold || w.at == At::Joined) work.erase(id);
        }
        decider->decide(round, *this);
        judge(round);
    }
    void step(Nanos passed = 20ms) { step(Round{}, passed); }

    int on(At place) const {
        return static_cast<int>(std::count_if(work.begin(), work.end(),
                                              [&](const auto& entry) { return entry.second.at == place; }));
    }
    Repeat repeat(const Work& w) const { return terms.profiles[w.command.profile].repeat; }
    CommandId tag(const Work& w) const { return w.command.repeats != 0 ? w.command.repeats : w.command.id; }
    double memoryKb() const {
        double sum = 0;
        for (const auto& [id, w] : work)
            sum += w.command.heldKb * (w.at == At::Hold || w.at == At::Joined ? 1 : terms.runFactor);
        for (const auto& [id, until] : kept) sum += until > now ? terms.entryKb : 0;
        return sum;
    }

    // Rules 1 and 4, after every round.
    void judge(const Round&) {
        for (const auto& [id, w] : work)
            if (!w.answered && !w.left) {
                rule(now <= w.due + 80ms, "lost");
                if (stopAt >= 0ns) rule(now < stopAt, "unanswered at the stop");
            }
        rule(memoryKb() <= terms.memoryKb, "fell over: memory");
        crowd.push_back(on(At::Cores));
        const std::size_t over = static_cast<std::size_t>(terms.fallOver / 20ms);
        if (crowd.size() >= over) {
            double mean = 0;
            for (std::size_t i = crowd.size() - over; i < crowd.size(); ++i) mean += crowd[i] / over;
            const double warm = std::min(1.0, terms.startCapacity + (now - born) / (1.0 * terms.rampTime));
            rule(mean <= terms.cores * (1 + (terms.fallMultiple - 1) * (terms.cold ? warm : 1)), "crowd");
        }
        std::erase_if(lingering, [&](Nanos until) { return until <= now; });
        below.push_back(out + static_cast<double>(lingering.size()));
        const auto window = static_cast<std::size_t>(terms.callsOver / 20ms);
        if (terms.below == Below::Shared && below.size() >= window)
            rule(std::accumulate(below.end() - static_cast<long>(window), below.end(), 0.0) <=
                     terms.callShare * static_cast<double>(window),
                 "load below");
    }

    void start(CommandId id) override {
        ++starts;
        Work& w = work.at(id);
        rule(w.at == At::Hold && !w.answered && !w.ran, "started twice");
        if (noticeAt >= 0ns) rule(w.reached <= noticeAt + terms.drainGrace, "started after the grace");
        if (repeat(w) == Repeat::Tagged) {
            const auto ran = ranTags.find(tag(w));
            if (ran != ranTags.end())
                rule(w.reached > ran->second.first + terms.profiles[w.command.profile].window, "twice");
            const auto entry = kept.find(tag(w));
            rule(entry != kept.end() && entry->second >= w.reached + terms.profiles[w.command.profile].window,
                 "no entry for the window");
            ranTags[tag(w)] = {w.reached, id};
        }
        w.ran = true;
        w.at = At::Cores;
    }
    void answer(CommandId id) {
        Work& w = work.at(id);
        rule(!(w.answered), "answered twice");
        w.answered = true;
    }
    void bounce(CommandId id, Nanos wait, bool) override {
        ++bounces;
        comeBack = wait;
        rule(wait <= terms.longestComeBack, "come back too late");
        rule(!(work.at(id).ran), "bounced after it ran");
        answer(id);
        work.erase(id);
    }
    void scrap(CommandId id) override {
        ++scraps;
        answer(id);
        if (work.at(id).at == At::Hold || work.at(id).at == At::Joined) work.erase(id);
    }
    void halt(CommandId id) override { rule(work.at(id).answered || work.at(id).left, "halted"); }
    void call(CommandId id, Nanos p) override {
        ++calls, ++out;
        patience = p;
        Work& w = work.at(id);
        rule(w.at == At::Call && !w.answered, "not at a call");
        if (repeat(w) != Repeat::Repeatable) rule(!w.calledBefore || w.lastCallNeverRan, "call repeated");
        w.at = At::Below;
        w.callEnds = now + p;
        w.calledBefore = true;
    }
    void leaveOut(CommandId id) override {
        ++leftOut;
        Work& w = work.at(id);
        rule(w.at == At::Call, "left out when at no call");
        rule(terms.profiles[w.command.profile].poorerShare > 0, "left out against the terms");
        w.at = At::Cores;
    }
    void keep(CommandId id, Nanos lifetime) override { kept[id] = now + lifetime; }
    void forget(CommandId id) override { kept.erase(id); }
    void join(CommandId id) override {
        rule(work.at(id).command.repeats != 0U, "joined to nothing");
        work.at(id).at = At::Joined;
    }
    void health(bool value) override { good = value; }
    void freeValue(double) override {
        rule(terms.freeValue != FreeValue::None, "free value against the terms");
    }
    void closeIdle(Nanos unusedFor) override { idle = unusedFor; }
    void wakeAfter(Nanos wait) override { wake = now + wait; }
    void log(std::string_view line) override { logs.emplace_back(line); }
    bool logged(std::string_view word) const {
        return std::any_of(logs.begin(), logs.end(),
                           [&](const std::string& l) { return l.find(word) != l.npos; });
    }
};

}  // namespace cottonwing::testing
