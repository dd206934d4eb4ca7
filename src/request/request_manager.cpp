#include "request/request_manager.h"

#include <charconv>
#include <utility>

namespace cottonwing::request {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr Duration kGaugesHold = 100ms;  // gauges older than this are not shown as present ones
constexpr Duration kUnsure = 1s;         // what was said that long before a link was lost may be lost with it
// A command that is over for that long is over for what runs commands, too: started again it is not run.
constexpr Duration kOver = 1s;
// Beside its window and the longest wait of its caller: the longest that clocks are borne to differ.
constexpr Duration kKeySlack = 2s;

}  // namespace

std::optional<RequestId> parseRequestId(std::string_view text) {
    RequestId id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (text.size() != 16 || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return id;
}

RequestManager::RequestManager(net::Loop& loop, const ControllerConfig& terms, std::size_t mostBytes,
                               std::size_t keyBytes, telemetry::Log& log, telemetry::Counters& counters)
    : terms_(terms),
      mostBytes_(mostBytes),
      log_(log),
      counters_(counters),
      alarm_(loop, [this] { ring(); }),
      gathered_(log),
      keys_(keyBytes) {}

void RequestManager::accept(IncomingRequest arrival) {
    counters_.add(Count::RequestsRead);
    const RequestId id = arrival.request.id;
    const auto at = table_.emplace(id, Owned{}).first;
    at->second.door = arrival.sink != nullptr ? arrival.sink : doors_.front();
    ++unanswered_;
    const RequestClass& profile =
        terms_.requestClasses[static_cast<std::size_t>(arrival.request.requestClass)];
    // Nothing can run before the machine is there, or without memory of our own for it: a body each for the
    // command, its call and the reply. Where another try may have run, only that must not be denied.
    const std::size_t bytes = 3 * arrival.body.size() + kEachTakes;
    if (!controller_ || bytes_ + bytes > mostBytes_) {
        if (controller_) counters_.add(Count::RejectedForMemory);
        if (!arrival.idempotencyKey.empty() && keys_.holder(arrival.idempotencyKey) != 0) {
            at->second.door->failed(id);
            answered(at, Count::Failed);
        } else {
            at->second.door->rejected(id, {});
            answered(at, Count::Rejected);
        }
        return;
    }
    if (profile.idempotency == Idempotency::WithKey) {
        using Claim = state::IdempotencyKeys::Claim;
        const Duration now = net::unixNow();
        // Marked with our seed, so that nobody finds a body of another meaning with the same mark.
        const std::size_t mark = std::hash<std::string>{}(std::to_string(terms_.seed) + arrival.body);
        const Claim claim =
            keys_.claim(arrival.idempotencyKey, id, mark, now - arrival.request.queuedBeforeRead, now,
                        {profile.idempotencyWindow, profile.timeout + kKeySlack});
        if (claim == Claim::Conflict) {
            counters_.add(Count::KeyConflicts);
            at->second.door->unknownToExecutor(id);
            return answered(at, Count::Failed);
        }
        if (claim == Claim::NoRoom) {
            counters_.add(Count::RejectedForMemory);
            at->second.door->rejected(id, {});
            return answered(at, Count::Rejected);
        }
        at->second.holdsKey = claim == Claim::First;
        if (claim == Claim::Repeat) {
            counters_.add(Count::DuplicateRequests);
            arrival.request.duplicateOf = keys_.holder(arrival.idempotencyKey);
        }
        at->second.key = std::move(arrival.idempotencyKey);
    }
    bytes_ += at->second.bytes = bytes;
    at->second.name = std::move(arrival.externalId);
    at->second.body = std::move(arrival.body);
    at->second.profile = arrival.request.requestClass;
    at->second.format = arrival.format;
    at->second.subject = arrival.routingKey;
    at->second.due = arrival.request.deadline.value_or(net::unixNow() + profile.timeout);
    round_.arrivals.push_back(arrival.request);
    fresh_ = true;
}

void RequestManager::clientCancelled(RequestId id) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.waiting()) return;
    counters_.add(Count::ClientCancellations);
    --unanswered_;
    at->second.left = true;
    at->second.overAt = net::unixNow();
    if (at->second.calling) calls_->abandonCall(id);
    at->second.calling = false;
    round_.clientCancellations.push_back(id);
    fresh_ = true;
}

void RequestManager::executorReady(bool cold, Duration ago) {
    if (controller_) return;
    ControllerConfig terms = terms_;
    terms.startsCold = cold;
    controller_ = makeOverloadController(terms);
    log_.info("backend", std::string("machine is up, ") + (cold ? "cold" : "warm") + ", for " +
                             std::to_string(ago / 1ms) + " ms");
    fresh_ = true;
}

void RequestManager::runWaitsForDependency(RequestId id, std::string callBody) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.running) return;
    at->second.callBody = std::move(callBody);
    at->second.supplied.clear();
    at->second.suppliedAt = 0ns;
    round_.waitingForDependency.push_back(id);
    fresh_ = true;
}

void RequestManager::runCompleted(RequestId id, Outcome outcome, Duration took, std::string_view result) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.running) return;
    counters_.add(Count::RunsCompleted);
    Owned& owned = at->second;
    owned.running = false;
    if (owned.calling) calls_->abandonCall(id);
    owned.calling = false;
    round_.runResults.push_back({id, outcome, took});
    fresh_ = true;
    if (outcome == Outcome::Ok) workSeen_ = true;
    if (owned.holdsKey) {
        using Known = state::IdempotencyKeys::Known;
        using End = state::IdempotencyKeys::Outcome;
        if (outcome == Outcome::Superseded && !owned.unsure)
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
        owned.door->completed(id, result);
        return answered(at, Count::Completed);
    }
    owned.door->failed(id);
    answered(at, Count::Failed);
}

void RequestManager::tellJoined(const std::vector<RequestId>& ids, state::IdempotencyKeys::Known known) {
    for (const RequestId id : ids) tellJoined(id, known);
}

// A repeat is answered with what became of the try that has its key.
void RequestManager::tellJoined(RequestId id, state::IdempotencyKeys::Known known) {
    using End = state::IdempotencyKeys::Outcome;
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.waiting()) return;
    at->second.joined = known.outcome == End::Pending;
    if (at->second.joined) return;
    fresh_ = true;
    if (known.outcome == End::Ok) {
        round_.runResults.push_back({id, Outcome::Ok, 0ns});
        at->second.door->completed(id, known.result);
        return answered(at, Count::Completed);
    }
    if (known.outcome == End::Failed) {
        round_.runResults.push_back({id, Outcome::Error, 0ns});
        at->second.door->failed(id);
        return answered(at, Count::Failed);
    }
    round_.runResults.push_back({id, Outcome::Superseded, 0ns});
    at->second.door->rejected(id, {});
    answered(at, Count::Rejected);
}

void RequestManager::runUnknownToExecutor(RequestId id) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.running) return;
    if (at->second.waiting()) {
        at->second.door->unknownToExecutor(id);
        answered(at, Count::Failed);  // its run has yet to end, so it stays
    }
    runCompleted(id, Outcome::Superseded, 0ns, {});
}

void RequestManager::checkWorkGetsDone(std::function<void(bool)> told) {
    if (!well_ || std::exchange(workSeen_, false)) return told(well_);
    runs_->verifyWork([this, told = std::move(told)](std::optional<bool> good) {
        told(well_ && good.value_or(true));  // no word in time is no proof that work fails
    });
}

void RequestManager::updateGauges(const Gauges& gauges) {
    gauges_ = gauges;
    gaugesAt_ = net::unixNow();
}

void RequestManager::dependencyCallCompleted(RequestId id, Outcome outcome, Duration took,
                                             std::string_view reply) {
    const auto at = table_.find(id);
    if (at == table_.end() || !at->second.calling) return;
    at->second.calling = false;
    // No run waits for that call: the run's end is on its way, and it is what counts.
    if (outcome == Outcome::Superseded) return;
    if (outcome == Outcome::Ok) {
        at->second.supplied = reply;
        at->second.suppliedAt = net::unixNow();
        at->second.leftOut = false;
        runs_->supplyReply(at->second.name, reply);
    }
    round_.dependencyResults.push_back({id, outcome, took});
    fresh_ = true;
}

void RequestManager::beginShutdown(Duration stopAt) {
    round_.shutdownAt = stopAt;
    fresh_ = true;
}

// The last figures go with the alarm, and new ones are asked for: a round never waits for them, and figures
// that did not come are absent rather than old.
void RequestManager::ring() {
    const Duration now = net::unixNow();
    if (now < alarmAt_) return alarm_.start(alarmAt_ - now);
    round_.gauges = now - gaugesAt_ < kGaugesHold ? gauges_ : Gauges{};
    fresh_ = true;
    askAfterUnsure(now);
    runs_->requestGauges();
}

void RequestManager::processEvents() {
    if (!controller_) return ended_.clear();
    if (!fresh_) return;
    counters_.add(Count::EventBatches);
    last_ = std::max(last_ + 1ns, net::unixNow());  // the module's time never goes back
    EventBatch round = std::move(round_);
    round_ = EventBatch{};
    fresh_ = false;
    ended_.clear();
    round.now = last_;
    controller_->decide(round, gathered_);
    for (const Decision& decision : gathered_.all) carryOut(decision);
    gathered_.all.clear();
    for (const RequestId id : round.clientCancellations)
        if (const auto at = table_.find(id); at != table_.end()) dropIfDone(at);
}

void RequestManager::carryOut(const Decision& decision) {
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
            counters_.add(Count::RunsCancelled);
            return runs_->cancel(at->second.name);
        case Kind::Call:
            if (!there || !at->second.running || !at->second.waiting()) return;
            at->second.calling = true;
            return calls_->startCall(decision.id, at->second.name, decision.time, at->second.callBody);
        case Kind::LeaveOut:
            if (!there || !at->second.running || !at->second.waiting()) return;
            at->second.leftOut = true;
            at->second.suppliedAt = net::unixNow();
            return runs_->skipDependencyCall(at->second.name);
        case Kind::Join:
            if (!there || !at->second.waiting()) return;
            return tellJoined(decision.id, keys_.join(at->second.key, decision.id));
        case Kind::Bounce:
        case Kind::Scrap:
            if (!there || !at->second.waiting()) return;
            if (decision.kind == Kind::Bounce)
                at->second.door->rejected(decision.id, {decision.time, decision.yes});
            else
                at->second.door->failed(decision.id);
            if (at->second.calling) calls_->abandonCall(decision.id);
            at->second.calling = false;
            return answered(at, decision.kind == Kind::Bounce ? Count::Rejected : Count::Failed);
        case Kind::Health:
            if (well_ != decision.yes) log_.info("backend", decision.yes ? "health good" : "health bad");
            well_ = decision.yes;
            if (healthTold_) healthTold_(well_);
            return;
        case Kind::FreeValue:
            freeValue_ = decision.value;
            return;
        case Kind::CloseIdle:
            for (ResponseSink* door : doors_) door->closeIdleConnections(decision.time);
            return;
        case Kind::Wake:
            alarmAt_ = last_ + decision.time;
            return alarm_.start(decision.time);
    }
}

void RequestManager::startRun(const Owned& owned) {
    runs_->start({owned.name, owned.profile, owned.body, owned.format, owned.subject, owned.due});
}

void RequestManager::answered(Table::iterator at, Count kind) {
    counters_.add(kind);
    --unanswered_;
    at->second.answered = true;
    at->second.overAt = net::unixNow();
    dropIfDone(at);
}

void RequestManager::dropIfDone(Table::iterator at) {
    if (at->second.waiting() || at->second.running) return;
    bytes_ -= at->second.bytes;
    const RequestId id = at->first;
    const Owned gone = std::move(at->second);
    ended_.insert(id);
    table_.erase(at);
    if (gone.joined) keys_.leave(gone.key, id);
    // Where its run has ended the key stays; else nothing ran, and those that wait may try again.
    if (gone.holdsKey) tellJoined(keys_.release(gone.key, id), {});
}

void RequestManager::resumeRuns(Duration lostAt) {
    for (auto& [id, owned] : table_) {
        if (!owned.running) continue;
        // Also for one that nobody waits for any more: only an end, if of nothing, closes its books. A run
        // that may have ended meanwhile is not risked twice where once is all that is allowed: that one is
        // asked after when it is over.
        if (terms_.requestClasses[static_cast<std::size_t>(owned.profile)].idempotency ==
            Idempotency::Idempotent) {
            startRun(owned);
        } else if (!owned.unsure && owned.startedAt > lostAt - kUnsure) {
            owned.unsure = true;
            ++unsure_;
        }
        if (!owned.waiting() && terms_.runCancellation != RunCancellation::Unsupported)
            runs_->cancel(owned.name);
        else if (owned.suppliedAt > 0ns && owned.suppliedAt > lostAt - kUnsure)
            // An older one has arrived: said again it might meet the run's next call.
            owned.leftOut ? runs_->skipDependencyCall(owned.name)
                          : runs_->supplyReply(owned.name, owned.supplied);
    }
}

// One whose start may be lost would hold its place for ever. Started again once it is over, a run that goes
// on is not disturbed, and where there is none what runs commands tells that nothing was started.
void RequestManager::askAfterUnsure(Duration now) {
    if (unsure_ == 0) return;
    for (auto& [id, owned] : table_) {
        if (!owned.unsure || owned.waiting() || now - owned.overAt < kOver) continue;
        owned.overAt = now;  // and again after as long, should this word be lost as well
        startRun(owned);
    }
}

}  // namespace cottonwing::request
