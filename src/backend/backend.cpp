#include "backend/backend.h"

#include <charconv>
#include <utility>

namespace cottonwing::backend {

namespace {

using namespace std::chrono_literals;
using report::Count;

constexpr Nanos kGaugesHold = 100ms;  // gauges older than this are not shown as present ones
constexpr Nanos kUnsure = 1s;         // what was said that long before a link was lost may be lost with it

}  // namespace

std::optional<CommandId> readId(std::string_view text) {
    CommandId id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (text.size() != 16 || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return id;
}

Backend::Backend(net::Loop& loop, const StartTerms& terms, std::size_t mostBytes, report::Log& log,
                 report::Counters& counters)
    : terms_(terms),
      mostBytes_(mostBytes),
      log_(log),
      counters_(counters),
      alarm_(loop, [this] { ring(); }),
      gathered_(log) {}

void Backend::take(Arrival arrival) {
    counters_.add(Count::CommandsRead);
    const CommandId id = arrival.command.id;
    const auto at = table_.emplace(id, Owned{}).first;
    at->second.door = arrival.from != nullptr ? arrival.from : doors_.front();
    ++unanswered_;
    // Nothing can run before the machine is there, or without memory of our own for it: a body each for the
    // command, its call and the reply.
    const std::size_t bytes = 3 * arrival.body.size() + kEachTakes;
    if (!decider_ || bytes_ + bytes > mostBytes_) {
        if (decider_) counters_.add(Count::NoMemory);
        at->second.door->bounced(id, 0ns, false);
        answered(at, Count::Bounced);
        return;
    }
    bytes_ += at->second.bytes = bytes;
    at->second.name = std::move(arrival.name);
    at->second.body = std::move(arrival.body);
    at->second.profile = arrival.command.profile;
    at->second.form = arrival.form;
    at->second.subject = arrival.subject;
    at->second.due = arrival.command.due.value_or(
        net::unixNow() + terms_.profiles[static_cast<std::size_t>(arrival.command.profile)].hardStop);
    round_.read.push_back(arrival.command);
    fresh_ = true;
}

void Backend::callerLeft(CommandId id) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.waiting()) return;
    counters_.add(Count::CallersLeft);
    --unanswered_;
    at->second.left = true;
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
    if (!owned.waiting()) return dropIfDone(at);
    if (outcome == Outcome::Ok) {
        workSeen_ = true;
        owned.door->handled(id, result);
        return answered(at, Count::Handled);
    }
    owned.door->scrapped(id);
    answered(at, Count::Scrapped);
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
    runs_->askGauges();
}

void Backend::turn() {
    if (!fresh_ || !decider_) return;
    counters_.add(Count::Rounds);
    last_ = std::max(last_ + 1ns, net::unixNow());  // the module's time never goes back
    Round round = std::move(round_);
    round_ = Round{};
    fresh_ = false;
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
    dropIfDone(at);
}

void Backend::dropIfDone(Table::iterator at) {
    if (at->second.waiting() || at->second.running) return;
    bytes_ -= at->second.bytes;
    table_.erase(at);
}

void Backend::startAgain(Nanos lostAt) {
    for (auto& [id, owned] : table_) {
        if (!owned.running) continue;
        // Also for one that nobody waits for any more: only an end, if of nothing, closes its books. A run
        // that may have ended meanwhile is not risked twice where once is all that is allowed.
        if (terms_.profiles[static_cast<std::size_t>(owned.profile)].repeat == Repeat::Repeatable)
            startRun(owned);
        if (!owned.waiting() && terms_.halting != Halting::Never)
            runs_->halt(owned.name);
        else if (owned.suppliedAt > 0ns && owned.suppliedAt > lostAt - kUnsure)
            // An older one has arrived: said again it might meet the run's next call.
            runs_->supply(owned.name, owned.supplied);
    }
}

}  // namespace cottonwing::backend
