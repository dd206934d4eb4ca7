#include "backend/backend.h"

#include <charconv>
#include <utility>

namespace cottonwing::backend {

namespace {

using namespace std::chrono_literals;
using report::Count;

constexpr Nanos kGaugesHold = 100ms;  // gauges older than this are not shown as present ones
constexpr Nanos kUnsure = 1s;         // what was said that long before a link was lost may be lost with it
// A command that is over for that long is over for what runs commands, too: started again it is not run.
constexpr Nanos kOver = 1s;
// Beside its window and the longest wait of its caller: the longest that clocks are borne to differ.
constexpr Nanos kKeySlack = 2s;

}  // namespace

std::optional<CommandId> readId(std::string_view text) {
    CommandId id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (text.size() != 16 || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return id;
}

Backend::Backend(net::Loop& loop, const StartTerms& terms, std::size_t mostBytes, std::size_t keyBytes,
                 report::Log& log, report::Counters& counters)
    : terms_(terms),
      mostBytes_(mostBytes),
      log_(log),
      counters_(counters),
      alarm_(loop, [this] { ring(); }),
      gathered_(log),
      keys_(keyBytes) {}

void Backend::take(Arrival arrival) {
    counters_.add(Count::CommandsRead);
    const CommandId id = arrival.command.id;
    const auto at = table_.emplace(id, Owned{}).first;
    at->second.door = arrival.from != nullptr ? arrival.from : doors_.front();
    ++unanswered_;
    const ProfileTerms& profile = terms_.profiles[static_cast<std::size_t>(arrival.command.profile)];
    // Nothing can run before the machine is there, or without memory of our own for it: a body each for the
    // command, its call and the reply. Where another try may have run, only that must not be denied.
    const std::size_t bytes = 3 * arrival.body.size() + kEachTakes;
    if (!decider_ || bytes_ + bytes > mostBytes_) {
        if (decider_) counters_.add(Count::NoMemory);
        if (!arrival.key.empty() && keys_.holder(arrival.key) != 0) {
            at->second.door->scrapped(id);
            answered(at, Count::Scrapped);
        } else {
            at->second.door->bounced(id, 0ns, false);
            answered(at, Count::Bounced);
        }
        return;
    }
    if (profile.repeat == Repeat::Keyed) {
        using Claim = state::IdempotencyKeys::Claim;
        const Nanos now = net::unixNow();
        // Marked with our seed, so that nobody finds a body of another meaning with the same mark.
        const std::size_t mark = std::hash<std::string>{}(std::to_string(terms_.seed) + arrival.body);
        const Claim claim = keys_.claim(arrival.key, id, mark, now - arrival.command.waited, now,
                                        {profile.window, profile.hardStop + kKeySlack});
        if (claim == Claim::Conflict) {
            counters_.add(Count::KeyConflicts);
            at->second.door->unknown(id);
            return answered(at, Count::Scrapped);
        }
        if (claim == Claim::NoRoom) {
            counters_.add(Count::NoMemory);
            at->second.door->bounced(id, 0ns, false);
            return answered(at, Count::Bounced);
        }
        at->second.holdsKey = claim == Claim::First;
        if (claim == Claim::Repeat) {
            counters_.add(Count::KeyRepeats);
            arrival.command.repeats = keys_.holder(arrival.key);
        }
        at->second.key = std::move(arrival.key);
    }
    bytes_ += at->second.bytes = bytes;
    at->second.name = std::move(arrival.name);
    at->second.body = std::move(arrival.body);
    at->second.profile = arrival.command.profile;
    at->second.form = arrival.form;
    at->second.subject = arrival.subject;
    at->second.due = arrival.command.due.value_or(net::unixNow() + profile.hardStop);
    round_.read.push_back(arrival.command);
    fresh_ = true;
}

void Backend::callerLeft(CommandId id) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.waiting()) return;
    counters_.add(Count::CallersLeft);
    --unanswered_;
    at->second.left = true;
    at->second.overAt = net::unixNow();
    if (at->second.calling) calls_->giveUp(id);
    at->second.calling = false;
    round_.callersLeft.push_back(id);
    fresh_ = true;
}

void Backend::up(bool cold, Nanos ago) {
    if (decider_) return;
    StartTerms terms = terms_;
    terms.cold = cold;
    decider_ = makeDecider(terms);
    log_.info("backend", std::string("machine is up, ") + (cold ? "cold" : "warm") + ", for " +
                             std::to_string(ago / 1ms) + " ms");
    fresh_ = true;
}

void Backend::parked(CommandId id, std::string callBody) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.running) return;
    at->second.callBody = std::move(callBody);
    at->second.supplied.clear();
    at->second.suppliedAt = 0ns;
    round_.parked.push_back(id);
    fresh_ = true;
}

void Backend::runEnded(CommandId id, Outcome outcome, Nanos took, std::string_view result) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.running) return;
    counters_.add(Count::RunsEnded);
    Owned& owned = at->second;
    owned.running = false;
    if (owned.calling) calls_->giveUp(id);
    owned.calling = false;
    round_.runsEnded.push_back({id, outcome, took});
    fresh_ = true;
    if (outcome == Outcome::Ok) workSeen_ = true;
    if (owned.holdsKey) {
        using Known = state::IdempotencyKeys::Known;
        using End = state::IdempotencyKeys::Outcome;
        if (outcome == Outcome::Moot && !owned.unsure)
            tellJoined(keys_.release(owned.key, id), Known{End::NeverRan, {}});
        else if (outcome == Outcome::Ok)
            tellJoined(keys_.ended(owned.key, id, true, result), Known{End::Ok, result});
        else
            tellJoined(keys_.ended(owned.key, id, false, {}), Known{End::Failed, {}});
    }
    if (owned.unsure) --unsure_;
    owned.unsure = false;
    if (!owned.waiting()) return dropIfDone(at);
    if (outcome == Outcome::Ok) {
        owned.door->handled(id, result);
        return answered(at, Count::Handled);
    }
    owned.door->scrapped(id);
    answered(at, Count::Scrapped);
}

void Backend::tellJoined(const std::vector<CommandId>& ids, state::IdempotencyKeys::Known known) {
    for (const CommandId id : ids) tellJoined(id, known);
}

// A repeat is answered with what became of the try that has its key.
void Backend::tellJoined(CommandId id, state::IdempotencyKeys::Known known) {
    using End = state::IdempotencyKeys::Outcome;
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.waiting()) return;
    at->second.joined = known.outcome == End::Pending;
    if (at->second.joined) return;
    fresh_ = true;
    if (known.outcome == End::Ok) {
        round_.runsEnded.push_back({id, Outcome::Ok, 0ns});
        at->second.door->handled(id, known.result);
        return answered(at, Count::Handled);
    }
    if (known.outcome == End::Failed) {
        round_.runsEnded.push_back({id, Outcome::Error, 0ns});
        at->second.door->scrapped(id);
        return answered(at, Count::Scrapped);
    }
    round_.runsEnded.push_back({id, Outcome::Moot, 0ns});
    at->second.door->bounced(id, 0ns, false);
    answered(at, Count::Bounced);
}

void Backend::runUnknown(CommandId id) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.running) return;
    if (at->second.waiting()) {
        at->second.door->unknown(id);
        answered(at, Count::Scrapped);  // its run has yet to end, so it stays
    }
    runEnded(id, Outcome::Moot, 0ns, {});
}

void Backend::checkWork(std::function<void(bool)> told) {
    if (!well_ || std::exchange(workSeen_, false)) return told(well_);
    runs_->verify([this, told = std::move(told)](std::optional<bool> good) {
        told(well_ && good.value_or(true));  // no word in time is no proof that work fails
    });
}

void Backend::gauges(const Gauges& gauges) {
    gauges_ = gauges;
    gaugesAt_ = net::unixNow();
}

void Backend::callEnded(CommandId id, Outcome outcome, Nanos took, std::string_view reply) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.calling) return;
    at->second.calling = false;
    // No run waits for that call: the run's end is on its way, and it is what counts.
    if (outcome == Outcome::Moot) return;
    if (outcome == Outcome::Ok) {
        at->second.supplied = reply;
        at->second.suppliedAt = net::unixNow();
        at->second.leftOut = false;
        runs_->supply(at->second.name, reply);
    }
    round_.callsBack.push_back({id, outcome, took});
    fresh_ = true;
}

void Backend::leave(Nanos stopAt) {
    round_.stopAt = stopAt;
    fresh_ = true;
}

// The last figures go with the alarm, and new ones are asked for: a round never waits for them, and figures
// that did not come are absent rather than old.
void Backend::ring() {
    const Nanos now = net::unixNow();
    if (now < alarmAt_) return alarm_.start(alarmAt_ - now);
    round_.gauges = now - gaugesAt_ < kGaugesHold ? gauges_ : Gauges{};
    fresh_ = true;
    askAfterUnsure(now);
    runs_->askGauges();
}

void Backend::turn() {
    if (!decider_) return ended_.clear();
    if (!fresh_) return;
    counters_.add(Count::Rounds);
    last_ = std::max(last_ + 1ns, net::unixNow());  // the module's time never goes back
    Round round = std::move(round_);
    round_ = Round{};
    fresh_ = false;
    ended_.clear();
    round.now = last_;
    decider_->decide(round, gathered_);
    for (const Decision& decision : gathered_.all) carryOut(decision);
    gathered_.all.clear();
    for (const CommandId id : round.callersLeft)
        if (const auto at = table_.find(id); at != table_.end()) dropIfDone(at);
}

void Backend::carryOut(const Decision& decision) {
    using Kind = Decision::Kind;
    const auto at = table_.find(decision.id);
    const bool there = at != table_.end();
    switch (decision.kind) {
        case Kind::Start:
            if (!there || at->second.running) return;
            at->second.running = true;
            at->second.startedAt = net::unixNow();
            counters_.add(Count::RunsStarted);
            return startRun(at->second);
        case Kind::Halt:
            if (!there || !at->second.running) return;
            counters_.add(Count::RunsHalted);
            return runs_->halt(at->second.name);
        case Kind::Call:
            if (!there || !at->second.running || !at->second.waiting()) return;
            at->second.calling = true;
            return calls_->begin(decision.id, at->second.name, decision.time, at->second.callBody);
        case Kind::LeaveOut:
            if (!there || !at->second.running || !at->second.waiting()) return;
            at->second.leftOut = true;
            at->second.suppliedAt = net::unixNow();
            return runs_->leaveOut(at->second.name);
        case Kind::Join:
            if (!there || !at->second.waiting()) return;
            return tellJoined(decision.id, keys_.join(at->second.key, decision.id));
        case Kind::Bounce:
        case Kind::Scrap:
            if (!there || !at->second.waiting()) return;
            if (decision.kind == Kind::Bounce)
                at->second.door->bounced(decision.id, decision.time, decision.yes);
            else
                at->second.door->scrapped(decision.id);
            if (at->second.calling) calls_->giveUp(decision.id);
            at->second.calling = false;
            return answered(at, decision.kind == Kind::Bounce ? Count::Bounced : Count::Scrapped);
        case Kind::Health:
            if (well_ != decision.yes) log_.info("backend", decision.yes ? "health good" : "health bad");
            well_ = decision.yes;
            if (healthTold_) healthTold_(well_);
            return;
        case Kind::FreeValue:
            freeValue_ = decision.value;
            return;
        case Kind::CloseIdle:
            for (Door* door : doors_) door->closeIdle(decision.time);
            return;
        case Kind::Wake:
            alarmAt_ = last_ + decision.time;
            return alarm_.start(decision.time);
    }
}

void Backend::startRun(const Owned& owned) {
    runs_->start({owned.name, owned.profile, owned.body, owned.form, owned.subject, owned.due});
}

void Backend::answered(Table::iterator at, Count kind) {
    counters_.add(kind);
    --unanswered_;
    at->second.answered = true;
    at->second.overAt = net::unixNow();
    dropIfDone(at);
}

void Backend::dropIfDone(Table::iterator at) {
    if (at->second.waiting() || at->second.running) return;
    bytes_ -= at->second.bytes;
    const CommandId id = at->first;
    const Owned gone = std::move(at->second);
    ended_.insert(id);
    table_.erase(at);
    if (gone.joined) keys_.leave(gone.key, id);
    // Where its run has ended the key stays; else nothing ran, and those that wait may try again.
    if (gone.holdsKey) tellJoined(keys_.release(gone.key, id), {});
}

void Backend::startAgain(Nanos lostAt) {
    for (auto& [id, owned] : table_) {
        if (!owned.running) continue;
        // Also for one that nobody waits for any more: only an end, if of nothing, closes its books. A run
        // that may have ended meanwhile is not risked twice where once is all that is allowed: that one is
        // asked after when it is over.
        if (terms_.profiles[static_cast<std::size_t>(owned.profile)].repeat == Repeat::Repeatable) {
            startRun(owned);
        } else if (!owned.unsure && owned.startedAt > lostAt - kUnsure) {
            owned.unsure = true;
            ++unsure_;
        }
        if (!owned.waiting() && terms_.halting != Halting::Never)
            runs_->halt(owned.name);
        else if (owned.suppliedAt > 0ns && owned.suppliedAt > lostAt - kUnsure)
            // An older one has arrived: said again it might meet the run's next call.
            owned.leftOut ? runs_->leaveOut(owned.name) : runs_->supply(owned.name, owned.supplied);
    }
}

// One whose start may be lost would hold its place for ever. Started again once it is over, a run that goes
// on is not disturbed, and where there is none what runs commands tells that nothing was started.
void Backend::askAfterUnsure(Nanos now) {
    if (unsure_ == 0) return;
    for (auto& [id, owned] : table_) {
        if (!owned.unsure || owned.waiting() || now - owned.overAt < kOver) continue;
        owned.overAt = now;  // and again after as long, should this word be lost as well
        startRun(owned);
    }
}

}  // namespace cottonwing::backend
