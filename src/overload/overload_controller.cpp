// The decision module of cottonwing: all decisions, tables and tuned values of one backend.
//
// Called once a round, Decider::decide(round, out): round holds all that came in, decisions go straight into
// out. The interface is logic.h; docs/design.md says what follows DESIGN and what is ours. A round books what
// came in, answers what is out of time, thins the hold, serves calls below, starts held commands by due time,
// then speaks to the callers. An alarm every kPulse brings the gauges; no other clock is needed.

#include "overload/overload_controller.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <set>

namespace cottonwing {

namespace {

using namespace std::chrono_literals;
using std::chrono::duration;
using std::chrono::duration_cast;

// The design's figures.
constexpr int kMaxAttempts = 3;
constexpr double kMaxTokens = 10, kTokenRatio = 0.1;
constexpr int kTripInARow = 5, kWindow = 20, kProbesToClose = 3;
constexpr double kMemoryMark = 0.85;

// Ours.
constexpr Duration kPulse = 20ms;         // gauges, due times and back-off ends are looked at this often
constexpr Duration kStall = 150ms;        // a pulse this late means that the process stood still
constexpr Duration kAnswerMargin = 30ms;  // answered this long before the hard stop
constexpr Duration kLeaveMargin = 150ms;  // answered this long before the process ends
constexpr double kAttemptLeast = 0.05, kAttemptMost = 0.5;  // AttemptTimeout, of the shortest promised time
constexpr double kAttemptCalls = 7.0;  // between those, as a multiple of what good calls take in the long run
constexpr double kBackoffShare = 1.0 / 16;  // BackoffBase as a part of AttemptTimeout
constexpr double kOpenShare = 1.0;          // OpenFor as a multiple of AttemptTimeout
constexpr double kStartMark = 0.95;         // memory a start may fill, above what gates arrivals
constexpr double kCrowd = 1.25;             // what should ask for a core, by the gauge, for each core
constexpr double kCrowdSafety = 0.8;        // part of the survivable crowd that is ever used
constexpr double kCallSafety = 0.8;         // part of our share of the dependency that is ever used
constexpr double kCallFloor = 0.4;          // part of it that is always used when wanted
constexpr double kCallPeak = 2.0;           // multiple of the cap that may be out for a moment
constexpr double kPeakBelow = 0.5;    // part of our share that is earned for that, a second's worth at most
constexpr double kCrowdedCall = 3.0;  // calls taking this multiple of the usual mean a crowd below
constexpr double kAdvice = 0.5;       // time to come back, as a part of the longest, for each part given up
constexpr double kNowhere = 4.0;      // chance of asking not to go elsewhere, for each part given up
constexpr double kJam = 4.0;          // time to come back, for each promised time spent unread
constexpr double kValve = 0.5;        // part given up above which connections are kept
constexpr double kCaution = 0.75;     // how much of its usual time a held command must have after its wait
constexpr double kFurther = 0.5;      // what a further try counts beside a first one
constexpr Duration kSick = 5s;        // OpenFor of the breaker for our own runs
constexpr double kOverShare = 1.25;   // a customer's excess is believed past this multiple of its quota

double seconds(Duration time) { return duration<double>(time).count(); }
Duration nanos(double time) { return duration_cast<Duration>(duration<double>(time)); }

enum class Phase { Held, Joined, Running, AtCall, Calling };

// One command in hand. The table of these empties as commands end.
struct InHand {
    int profile = 0, customer = -1;
    Phase phase = Phase::Held;
    Duration due{0}, answerBy{0}, promised{0}, reached{0};
    double kb = 0, work = 0;
    bool again = false, answered = false, ran = false, entry = false, probe = false, weak = false;
    int attempts = 0;
    Duration since{0}, readyAt{0};  // of the phase; end of the back-off
    double onCores = 0;             // seconds, before this phase
    int calls = 0;
};

// One row a profile: its terms, and what was seen of it lately.
struct ProfileRow {
    RequestClass terms;
    double seen = 0, onCores, whole,
           calls;               // runs seen; mean seconds on the cores, in all, and calls of a run
    double work = 0;            // mean expected work, where told
    double asked = 0, got = 0;  // decaying: commands read, earnings kept of them
    double firstLeft = 0;       // what callers of first tries wait at most, lately
};

// DESIGN: one for the dependency; 5 failures in a row or half of the last 20 open it, one probe at a time
// once OpenFor is over, three good probes close it.
class Breaker {
public:
    enum class State { Closed, Open, HalfOpen };
    State state = State::Closed;
    Duration until{0};
    bool probing = false;

    void book(bool good, Duration now, Duration openFor) {
        if (state == State::HalfOpen) {
            if (!good) return open(now, openFor);
            if (++inARow_ >= kProbesToClose) *this = Breaker();
        } else if (state == State::Closed) {
            last_[next_++ % kWindow] = !good;
            failed_ = std::min(next_, kWindow) == kWindow ? std::count(last_, last_ + kWindow, true) : 0;
            inARow_ = good ? 0 : inARow_ + 1;
            if (inARow_ >= kTripInARow || failed_ * 2 >= kWindow) open(now, openFor);
        }
    }
    int inARow() const { return inARow_; }
    int failed() const { return static_cast<int>(failed_); }
    void halfOpen() { state = State::HalfOpen, inARow_ = 0, probing = false; }

private:
    void open(Duration now, Duration openFor) { state = State::Open, until = now + openFor, probing = false; }

    int inARow_ = 0, next_ = 0;
    long failed_ = 0;
    bool last_[kWindow] = {};
};

class Logic : public OverloadController {
public:
    explicit Logic(const ControllerConfig& terms)
        : terms_(terms), chance_(static_cast<std::mt19937::result_type>(terms.seed ^ (terms.seed >> 32))) {
        Duration shortest = Duration::max();
        for (const RequestClass& profile : terms.requestClasses) {
            const double guess = seconds(profile.latencyObjective) / 6;
            profiles_.push_back({profile, 0, guess, guess, profile.callsDependency ? 1.0 : 0.0});
            if (profile.callsDependency) shortest = std::min(shortest, profile.latencyObjective);
        }
        shortest_ = shortest == Duration::max() ? 1.0 : seconds(shortest);
        attemptTimeout_ = nanos(shortest_ * kAttemptMost);
        limit_ = terms.cores;
        callCap_ = terms.dependencyQuota * kCallFloor;
        customers_.resize(terms.tenants.size());
    }

    void decide(const EventBatch& round, DecisionSink& out) override {
        out_ = &out;
        now_ = round.now;
        if (!begun_) begin();
        noticeStall(round.gauges.has_value());
        if (round.shutdownAt) leave(*round.shutdownAt);
        for (const Request& command : round.arrivals) read(command);
        for (const Completion& result : round.dependencyResults) callBack(result);
        for (const RequestId id : round.waitingForDependency) parked(id);
        // Who has gone comes first: an end may give up what is held, and nobody is answered who has left.
        for (const RequestId id : round.clientCancellations) callerLeft(id);
        for (const Completion& result : round.runResults) runEnded(result);
        if (round.gauges) gauge(*round.gauges);
        // Here, as the share pays for them also while nothing waits at a call.
        while (!lingering_.empty() && *lingering_.begin() <= now_) lingering_.erase(lingering_.begin());
        answerOverdue();
        thinCalls();
        serveCalls();
        thinHold();
        startHeld();
        if (now_ >= nextPulse_) pulse();
    }

private:
    using Table = std::map<RequestId, InHand>;

    void begin() {
        begun_ = true;
        bornAt_ = decayedAt_ = now_;
        out_->setHealth(true);
    }

    // A process that stood still hears of time-outs it caused itself: results that come with a late pulse, or
    // shortly after, are not the dependency's failures.
    void noticeStall(bool rang) {
        if (rang && nextPulse_ > Duration(0) && now_ - nextPulse_ > kStall) {
            stalledUntil_ = now_ + kPulse;
            log("stall: pulse late by %.0f ms", seconds(now_ - nextPulse_) * 1e3);
        }
    }

    // ---- reading ------------------------------------------------------------------------------------------

    void read(const Request& command) {
        ProfileRow& row = profiles_[command.requestClass];
        InHand in;
        in.profile = command.requestClass;
        in.customer = command.tenant;
        in.reached = now_ - command.queuedBeforeRead;
        in.due = command.deadline.value_or(in.reached + row.terms.timeout);
        in.work = command.expectedWork ? seconds(*command.expectedWork) : 0;
        in.kb = command.memoryKb;
        in.again = command.isRetry;
        in.promised = promisedEnd(in, row);
        if (!command.isRetry) row.asked += 1;  // a further try is not asked for anew
        readLately_ += 1;
        unread_ += (seconds(command.queuedBeforeRead) / seconds(row.terms.latencyObjective) - unread_) * 0.1;
        // The first hint stands for the mean: a mean that grows from nothing makes every early command look
        // huge.
        if (in.work > 0) row.work += (in.work - row.work) * (row.work > 0 ? 0.05 : 1.0);
        if (in.customer >= 0 && !command.isRetry) customers_[in.customer] += 1;
        heldKb_ += in.kb;
        const auto at = table_.emplace(command.id, in).first;
        setAnswerBy(at);
        // Either it is still here or some try of it ran: only the answer of that one may be given, also after
        // the grace. Joined ones eat memory too, so past the mark they are scrapped; a bounce would promise
        // that no try ran.
        if (row.terms.idempotency == Idempotency::WithKey && command.duplicateOf != 0) {
            at->second.phase = Phase::Joined;
            if (memoryKb() > kMemoryMark * terms_.memoryLimitKb) return giveUp(at);
            return out_->joinDuplicate(command.id);
        }
        // Anything that reached us after notice + grace is never run.
        if (stopAt_ && in.reached > noticeAt_ + terms_.drainGrace) return giveUp(at);
        // An entry has to outlive the window of whatever may run from it; without room for one it can't be
        // run.
        const double entry = row.terms.idempotency == Idempotency::WithKey ? terms_.idempotencyKeyKb : 0;
        if (memoryKb() + entry > kMemoryMark * terms_.memoryLimitKb) return giveUp(at);
        if (entry > 0) {
            at->second.entry = true;
            const Duration until = now_ + row.terms.idempotencyWindow + kStall;
            entries_.emplace(until, command.id);
            out_->retainKey(command.id, until - now_);
        }
        if (runs_.state == Breaker::State::Open ||
            (runs_.state == Breaker::State::HalfOpen && (running_ > 0 || !hold_.empty())))
            return giveUp(at, terms_.maxRetryAfter);
        // A command that would meet an open breaker is turned away before it costs work.
        if (breaker_.state == Breaker::State::Open && row.terms.callsDependency &&
            row.terms.degradedValueFraction <= 0)
            return giveUp(at, breaker_.until - now_);
        hold_.emplace(at->second.due, command.id);
    }

    // When the promised time of the first try ends. A further try that waits for less than first tries do was
    // cut by its client's hard stop, which tells when the first try began.
    Duration promisedEnd(const InHand& in, ProfileRow& row) const {
        const double left = seconds(in.due - in.reached);
        if (!in.again) row.firstLeft = std::max(left, row.firstLeft * 0.999);
        Duration end = row.terms.latencyObjective + nanos(row.terms.latencyObjectiveWorkFactor * in.work);
        end = in.again && left < 0.97 * row.firstLeft ? in.due - row.terms.timeout + end : in.reached + end;
        return std::min(end, in.due) - kPulse;
    }

    void setAnswerBy(Table::iterator at) {
        Duration by = at->second.due - kAnswerMargin;
        if (stopAt_) by = std::min(by, *stopAt_ - kLeaveMargin);
        overdue_.erase({at->second.answerBy, at->first});
        at->second.answerBy = by;
        overdue_.emplace(by, at->first);
    }

    void leave(Duration stopAt) {
        if (stopAt_) return;
        stopAt_ = stopAt;
        noticeAt_ = now_;
        out_->setHealth(false);
        log("leaving: %.1f s left, %zu in hand", seconds(stopAt - now_), table_.size());
        for (auto at = table_.begin(); at != table_.end(); ++at)
            if (!at->second.answered) setAnswerBy(at);
    }

    // ---- endings ------------------------------------------------------------------------------------------

    double memoryKb() {
        while (!entries_.empty() && entries_.begin()->first <= now_) entries_.erase(entries_.begin());
        return heldKb_ + runningKb_ * terms_.runMemoryFactor +
               static_cast<double>(entries_.size()) * terms_.idempotencyKeyKb;
    }

    // Out of every table but the entries: those run out by their window.
    void drop(Table::iterator at) {
        InHand& in = at->second;
        overdue_.erase({in.answerBy, at->first});
        hold_.erase({in.due, at->first});
        atCalls_.erase({in.due, at->first});
        if (in.phase == Phase::Calling) callLeft(in);
        if (in.phase == Phase::Held || in.phase == Phase::Joined) {
            heldKb_ -= in.kb;
        } else {
            runningKb_ -= in.kb;
            if (in.phase == Phase::Running) --onCores_;
            --running_;
        }
        table_.erase(at);
    }

    // A call that ends with its command still counts below, and frees the probe's place.
    void callLeft(InHand& in) {
        lingering_.insert(now_ + terms_.abandonedCallTime);
        --callsOut_;
        if (in.probe) breaker_.probing = in.probe = false;
    }

    // The final answer of what has been given up, at once. What never ran is bounced, so that its caller may
    // take it elsewhere; what ran is scrapped, and stopped where that can be done.
    void giveUp(Table::iterator at, Duration retryAfter = 0ns) {
        InHand& in = at->second;
        const RequestId id = at->first;
        if (!in.ran && in.phase == Phase::Held) {
            // Jittered by a half, so that callers told at once do not come back at once. What waited long
            // unread tells of a jam before the hold, which only callers that stay away can end.
            if (retryAfter == 0ns) {
                const double jam = std::max(0.0, kJam * unread_ - 0.2);
                retryAfter = nanos(seconds(terms_.maxRetryAfter) * std::min(1.0, kAdvice * pressure_ + jam) *
                                   (0.5 + 0.5 * draw()));
            }
            retryAfter = terms_.retryAfterAllowed ? std::min(retryAfter, terms_.maxRetryAfter) : 0ns;
            // A fleet that is full reads, for nothing, what its callers take from one to the next: a further
            // try that is bounced here too, and first ones in step with what is given up, are asked not to go
            // on.
            const bool retryElsewhere =
                !(runs_.state == Breaker::State::Closed && (in.again || draw() < kNowhere * pressure_));
            out_->reject(id, {retryAfter, retryElsewhere});
            if (in.entry) {
                out_->releaseKey(id);
                std::erase_if(entries_, [id](const auto& entry) { return entry.second == id; });
            }
            return drop(at);
        }
        out_->fail(id);
        if (in.phase == Phase::Joined) return drop(at);
        endedUnhandled(at);
    }

    // Seconds on the cores so far, of a run that is on them.
    double coreTime(const InHand& in) const { return in.onCores + seconds(now_ - in.since); }

    // Runs on without a caller: its end still has to come.
    void endedUnhandled(Table::iterator at) {
        InHand& in = at->second;
        in.answered = true;
        // A run cut off by its hard stop or its caller took at least this long: on a machine that is slow or
        // hangs no other run may ever end, and what is learned from ends alone would stay at the old pace.
        if (in.phase == Phase::Running) {
            ProfileRow& row = profiles_[in.profile];
            const double sofar = coreTime(in);
            if (sofar > row.onCores) {
                row.whole += (sofar - row.onCores) * 0.1;
                row.onCores += (sofar - row.onCores) * 0.1;
            }
        }
        overdue_.erase({in.answerBy, at->first});
        atCalls_.erase({in.due, at->first});
        // At a call too: nothing but this tells what runs commands that one is over, and one that waits there
        // for ever keeps a place of those that may run.
        if (terms_.runCancellation != RunCancellation::Unsupported) out_->cancelRun(at->first);
    }

    void runEnded(const Completion& result) {
        const auto at = table_.find(result.id);
        if (at == table_.end()) return;
        InHand& in = at->second;
        ProfileRow& row = profiles_[in.profile];
        if (in.phase == Phase::Running && result.outcome == Outcome::Ok) {
            const double onCores = coreTime(in);
            const double weight = std::max(0.05, 1 / (row.seen += 1));
            row.onCores += (onCores - row.onCores) * weight;
            row.whole += (seconds(result.elapsed) - row.whole) * weight;
            row.calls += (in.calls - row.calls) * weight;
        }
        // Only what ran tells how runs go: not one that was stopped, never started or unknown below.
        if (in.phase == Phase::Running && (result.outcome == Outcome::Ok || result.outcome == Outcome::Error))
            bookRun(result.outcome == Outcome::Ok);
        if (result.outcome == Outcome::Ok && !in.answered)
            row.got += now_ <= in.promised + kPulse ? 1 : row.terms.lateValueFraction;
        drop(at);
    }

    // Runs that fail by themselves, one after the other, tell that this backend is not well. Failing fast it
    // would look quick, and draw callers; bounced instead, its commands may still be handled elsewhere. A
    // breaker like that of the calls, with one run at a time as probe and health to match.
    void bookRun(bool good) {
        const bool open = runs_.state == Breaker::State::Open;
        book(runs_, "run", good, kSick);
        if (runs_.state != Breaker::State::Open || open) return;
        out_->setHealth(false);
        while (!hold_.empty()) giveUp(table_.find(hold_.begin()->second), runs_.until - now_);
    }

    void callerLeft(RequestId id) {
        const auto at = table_.find(id);
        if (at == table_.end() || at->second.answered) return;
        if (at->second.phase == Phase::Held || at->second.phase == Phase::Joined) return drop(at);
        endedUnhandled(at);
    }

    void answerOverdue() {
        while (!overdue_.empty() && overdue_.begin()->first <= now_ + kPulse)
            giveUp(table_.find(overdue_.begin()->second));
    }

    // ---- the hold -----------------------------------------------------------------------------------------

    // Seconds on the cores, and in all, that a command should take here. Runs that are older than runs
    // usually get (a slow or hanging machine) stretch both before any of them has ended.
    double onCores(const InHand& in, const ProfileRow& row) const {
        const double told = in.work > 0 && row.work > 0 ? in.work / row.work : 1.0;
        return row.onCores * told * strain_;
    }
    double whole(const InHand& in, const ProfileRow& row) const {
        return onCores(in, row) + std::max(0.0, row.whole - row.onCores);
    }

    double meanOnCores() const {
        double sum = 0;
        for (const ProfileRow& row : profiles_) sum += row.onCores;
        return sum / static_cast<double>(profiles_.size());
    }

    // What handling a command in time adds to the goal: its earnings, and more while its profile is the one
    // that fares worst here. A customer believed beyond its share is worth what its excess is.
    double worth(const InHand& in) const {
        const ProfileRow& row = profiles_[in.profile];
        double all = 0, worst = 1;
        for (const ProfileRow& other : profiles_) {
            all += other.asked * other.terms.priorityWeight;
            if (other.asked > 1) worst = std::min(worst, other.got / other.asked);
        }
        const double behind = row.asked > 1 ? std::exp(-10 * (row.got / row.asked - worst)) : 1;
        double value = terms_.goalTotalValue * row.terms.priorityWeight +
                       terms_.goalWorstClass * behind * all / std::max(1.0, row.asked);
        if (in.customer >= 0) {
            const double quota =
                terms_.tenants[in.customer].requestsPerSecond / terms_.peerCount * kOverShare;
            const double rate = customers_[in.customer] / kMemory;
            const double over = rate > quota ? 1 - quota / rate : 0;
            value *= 1 - over * (1 - terms_.overQuotaValueFraction);
        }
        if (in.again) value *= kFurther;
        return value * (terms_.valueCountsWork && in.work > 0 ? in.work : 1);
    }

    // Gives up what the hold can't handle in time, as soon as that is seen, and of what stands before the
    // first late one that which earns least for its work (after Moore and Hodgson), not the one at the end.
    void thinHold() {
        if (hold_.empty()) return;
        struct Entry {
            RequestId id;
            double cost, density, calls;
        };
        std::vector<Entry> kept;
        std::vector<RequestId> out;
        double ahead = -std::max(0.0, limit_ - onCores_) * meanOnCores() * strain_;
        const double callPace = this->callPace();
        // Calls are served by due time, so only what is due earlier stands before a command there.
        // With no call out or to come the first one has no wait: however slow calls seem, one must go, or
        // nothing would ever tell that they are quick again.
        double calls = unused_ > 0 && callsOut_ == 0 && atCalls_.empty() && callers_.empty() ? -callPace : 0;
        auto under = callers_.begin();
        for (const auto& [due, id] : hold_) {
            for (; under != callers_.end() && under->first <= due; ++under) calls += under->second * callPace;
            const InHand& in = table_.at(id);
            const ProfileRow& row = profiles_[in.profile];
            const double cost = onCores(in, row), all = whole(in, row);
            double value = worth(in);
            Duration latest = in.promised;
            if (now_ + nanos(kCaution * all) > latest) {
                value *= row.terms.lateValueFraction;
                latest = in.answerBy;
                // With nothing on the cores one goes all the same: only a run can tell that the machine is
                // well again.
                const bool probe = onCores_ == 0 && kept.empty() && now_ < in.promised;
                if (!probe && (value <= 0 || now_ + nanos(kCaution * all) > latest)) {
                    out.push_back(id);
                    continue;
                }
            }
            kept.push_back({id, cost, value / cost, row.calls * callPace});
            ahead += cost;
            calls += kept.back().calls;
            const double wait = std::max(0.0, ahead / limit_ - cost / limit_);
            const double line = row.calls > 0 ? calls : 0;  // one that makes no call waits for none
            if (now_ + nanos(std::max(wait, line) + kCaution * all) <= latest) continue;
            const bool callsBind = line > wait;
            auto least = kept.end();
            for (auto entry = kept.begin(); entry != kept.end(); ++entry)
                if ((!callsBind || entry->calls > 0) &&
                    (least == kept.end() || entry->density < least->density))
                    least = entry;
            if (least == kept.end()) least = kept.end() - 1;
            ahead -= least->cost;
            calls -= least->calls;
            out.push_back(least->id);
            kept.erase(least);
        }
        for (const RequestId id : out) {
            // What came with little time of its own is no sign that this backend is full.
            const auto at = table_.find(id);
            const InHand& in = at->second;
            if (in.due - in.reached >= profiles_[in.profile].terms.latencyObjective / 2) shedLately_ += 1;
            giveUp(at);
        }
    }

    // The crowd that kills counts what is on the cores; what waits at a call may come back all at once.
    double crowdBorne() const {
        double speed = 1;
        if (terms_.startsCold && terms_.warmUpTime > 0ns)
            speed = std::min(1.0, terms_.coldCapacityFraction + (1 - terms_.coldCapacityFraction) *
                                                                    seconds(now_ - bornAt_) /
                                                                    seconds(terms_.warmUpTime));
        return terms_.cores * (1 + (terms_.overloadFactor - 1) * speed);
    }

    void toCores(InHand& in) { in.phase = Phase::Running, in.since = now_, ++onCores_; }

    void startHeld() {
        // One that would only wait for its call there takes memory and the place of one that makes none, and
        // is lost work where it can't be served: bounced from the hold, it may still be handled elsewhere.
        const double line = callPace() * static_cast<double>(atCalls_.size());
        // Where the machine bears little, the last run that fits under the safe part may be a part too much.
        const double bears = crowdBorne(), safe = bears * kCrowdSafety;
        for (auto next = hold_.begin();
             next != hold_.end() && onCores_ < limit_ && running_ < safe && running_ + 1 <= bears;) {
            const auto at = table_.find((next++)->second);
            InHand& in = at->second;
            if (profiles_[in.profile].terms.callsDependency && line > 2 * onCores(in, profiles_[in.profile]))
                continue;
            if (memoryKb() + in.kb * (terms_.runMemoryFactor - 1) > kStartMark * terms_.memoryLimitKb) return;
            hold_.erase({in.due, at->first});
            toCores(in);
            in.ran = true;
            heldKb_ -= in.kb;
            runningKb_ += in.kb;
            ++running_;
            out_->startRun(at->first);
        }
    }

    // ---- calls below --------------------------------------------------------------------------------------

    void parked(RequestId id) {
        const auto at = table_.find(id);
        if (at == table_.end() || at->second.phase != Phase::Running) return;
        InHand& in = at->second;
        in.onCores += seconds(now_ - in.since);
        in.phase = Phase::AtCall;
        in.since = in.readyAt = now_;
        in.attempts = 0;
        ++in.calls;
        --onCores_;
        if (!in.answered) atCalls_.emplace(in.due, id);
    }

    void callBack(const Completion& result) {
        const auto at = table_.find(result.id);
        if (at == table_.end() || at->second.phase != Phase::Calling) return;
        InHand& in = at->second;
        const RequestClass& terms = profiles_[in.profile].terms;
        const bool good = result.outcome == Outcome::Ok, timedOut = result.outcome == Outcome::TimedOut;
        --callsOut_;
        if (timedOut || result.outcome == Outcome::ConnectionLost)
            lingering_.insert(now_ + terms_.abandonedCallTime);
        // Time-outs of a process that stood still, or of a command with little time of its own, and what our
        // own limits kept back say nothing of the dependency; one whose reply was spoilt has done its work.
        const bool noRoom = result.outcome == Outcome::LocalLimit;
        const bool ours = noRoom || result.outcome == Outcome::MalformedResponse ||
                          (timedOut && (now_ <= stalledUntil_ || in.weak));
        if (in.probe) breaker_.probing = in.probe = false;
        if (!ours) book(breaker_, "call", good, nanos(seconds(attemptTimeout_) * kOpenShare));
        if (!noRoom)
            tokens_ = good ? std::min(kMaxTokens, tokens_ + kTokenRatio) : std::max(0.0, tokens_ - 1);
        // All backends meet a slow dependency at once: those that wait for a random time do not come back as
        // one.
        if (timedOut) unused_ -= seconds(result.elapsed) * draw();
        if (good || timedOut) learnCallTime(seconds(result.elapsed), good);
        if (good) return toCores(in);
        in.phase = Phase::AtCall;
        if (in.answered) return;
        const bool neverRan =
            noRoom || result.outcome == Outcome::ResourceExhausted || result.outcome == Outcome::Unreachable;
        const bool repeats =
            terms.idempotency == Idempotency::Idempotent ? result.outcome != Outcome::Error : neverRan;
        const double most =
            seconds(attemptTimeout_) * std::min(1.0, kBackoffShare * std::pow(2.0, in.attempts - 1));
        in.readyAt = now_ + nanos(most * draw());
        if (repeats && in.attempts < kMaxAttempts && tokens_ > kMaxTokens / 2 && in.readyAt < in.promised) {
            atCalls_.emplace(in.due, result.id);
        } else {
            withoutCall(at);
        }
    }

    void book(Breaker& breaker, const char* what, bool good, Duration openFor) {
        const Breaker::State before = breaker.state;
        breaker.book(good, now_, nanos(seconds(openFor) * (0.8 + 0.4 * draw())));
        if (breaker.state == before) return;
        if (breaker.state == Breaker::State::Closed)
            log("%s breaker closed: %d good probes", what, kProbesToClose);
        else if (before == Breaker::State::HalfOpen)
            log("%s breaker open again: a probe failed, %d good before", what, breaker.inARow());
        else
            log("%s breaker open: %d failures in a row, %d of the last %d", what, breaker.inARow(),
                breaker.failed(), kWindow);
    }

    bool halfOpenWhenDue(Breaker& breaker, const char* what, std::size_t waiting) {
        if (breaker.state != Breaker::State::Open || now_ < breaker.until) return false;
        breaker.halfOpen();
        log("%s breaker half-open: %zu waiting", what, waiting);
        return true;
    }

    // The dependency slows long before it falls: calls that take a multiple of what they usually take mean
    // that all of us have too many out.
    void learnCallTime(double took, bool good) {
        // One that hung is no crowd, many are: a time-out counts no more than twice what tells of one.
        callTime_ += ((good ? took : std::min(took, 2 * kCrowdedCall * usualCall_)) - callTime_) * 0.1;
        if (good) {
            usualCall_ =
                usualCall_ == 0 ? took : usualCall_ + (took - usualCall_) * (took < usualCall_ ? 0.1 : 0.01);
            // In the long run: a dependency that gets slow must not stretch the time it is given at once.
            goodCall_ += (took - goodCall_) * std::max(0.005, 1.0 / ++goodCalls_);
            if (goodCalls_ >= kWindow)
                attemptTimeout_ = nanos(std::clamp(kAttemptCalls * goodCall_, kAttemptLeast * shortest_,
                                                   kAttemptMost * shortest_));
        }
        if (terms_.dependency != DependencyKind::Shared || now_ < nextCap_) return;
        const double most = terms_.dependencyQuota * kCallSafety;
        if (crowdedBelow()) {
            callCap_ *= 0.9;
            nextCap_ = now_ + nanos(callTime_);
        } else {
            callCap_ += 0.05 * terms_.dependencyQuota;
        }
        callCap_ = std::clamp(callCap_, terms_.dependencyQuota * kCallFloor, most);
    }

    // The design fails a command whose call was rejected, or leaves the call out where its profile allows
    // that.
    void withoutCall(Table::iterator at) {
        InHand& in = at->second;
        atCalls_.erase({in.due, at->first});
        if (profiles_[in.profile].terms.degradedValueFraction <= 0) return giveUp(at);
        toCores(in);
        out_->skipDependencyCall(at->first);
    }

    // Seconds between two calls that the cap lets out; a tier below sets no pace.
    double callPace() const {
        return terms_.dependency == DependencyKind::Shared ? callsNow_ / std::max(callCap_, 0.01) : 0;
    }

    // The line at the calls is thinned as the hold is: when what lies below gets slow, serving it by due time
    // alone would handle all of it late. What earns least of those that can't be in time goes on without its
    // call.
    void thinCalls() {
        const double pace = callPace();
        if (pace <= 0 || atCalls_.empty()) return;
        std::vector<std::pair<double, RequestId>> kept;
        std::vector<RequestId> out;
        for (const auto& [due, id] : atCalls_) {
            const InHand& in = table_.at(id);
            const ProfileRow& row = profiles_[in.profile];
            const Duration rest = nanos(callsNow_ + 0.5 * onCores(in, row));
            const bool late = now_ + rest > in.promised;
            kept.emplace_back(worth(in) * (late ? row.terms.lateValueFraction : 1), id);
            const Duration wait = nanos(pace * static_cast<double>(kept.size() - 1));
            if (now_ + wait + rest <= (late ? in.answerBy : in.promised)) continue;
            const auto least = std::min_element(kept.begin(), kept.end());
            out.push_back(least->second);
            kept.erase(least);
        }
        for (const RequestId id : out) withoutCall(table_.find(id));
    }

    // Seconds of calls in hand that a second adds to what our share left unused. What was borrowed is paid
    // back at half of our share, so that a call that hung is soon followed by the next.
    double earned() const {
        const double most = kPeakBelow * terms_.dependencyQuota;
        return unused_ < 0 ? most : std::min(callCap_, most);
    }

    // Calls of ours in the dependency's hands, abandoned ones included.
    double inHands() const { return callsOut_ + static_cast<double>(lingering_.size()); }
    bool crowdedBelow() const { return callsNow_ > kCrowdedCall * usualCall_; }

    bool roomBelow() {
        if (terms_.dependency != DependencyKind::Shared) return true;
        // As many as the cap lets never break our share. The rule counts the mean, so more may be out for a
        // moment, paid from what was left unused: a single call where our share is less than one, and while
        // calls are not crowded twice the cap instead of queueing all behind one call.
        if (inHands() + 1 <= callCap_) return true;
        return inHands() + 1 <= std::max(1.0, crowdedBelow() ? callCap_ : kCallPeak * callCap_) &&
               unused_ > 0;
    }

    void serveCalls() {
        halfOpenWhenDue(breaker_, "call", atCalls_.size());
        const auto waiting = std::vector<std::pair<Duration, RequestId>>(atCalls_.begin(), atCalls_.end());
        for (const auto& [due, id] : waiting) {
            const auto at = table_.find(id);
            InHand& in = at->second;
            if (breaker_.state == Breaker::State::Open) {
                withoutCall(at);
                continue;
            }
            // Past its promised time it earns nothing here: no call for it.
            if (now_ >= in.promised && profiles_[in.profile].terms.lateValueFraction <= 0) {
                giveUp(at);
                continue;
            }
            if (in.readyAt > now_ || !roomBelow()) continue;
            // While a probe is out the others wait for its result rather than being scrapped.
            if (breaker_.state == Breaker::State::HalfOpen) {
                if (breaker_.probing) continue;
                breaker_.probing = in.probe = true;
            }
            const Duration patience = std::min(attemptTimeout_, (in.answerBy - now_) / 2);
            in.weak = patience < attemptTimeout_ / 2;
            in.phase = Phase::Calling;
            in.since = now_;
            ++in.attempts;
            ++callsOut_;
            atCalls_.erase({due, id});
            out_->callDependency(id, patience);
        }
    }

    // ---- observation and what callers are told ------------------------------------------------------------

    // How many run is learned: as many as keep the cores asked for a little more than once, reading included.
    // Runs that wait for disk are seen only by what the gauge lacks.
    void gauge(const Gauges& gauges) {
        if (!gauges.coreDemand) return;
        asking_ += (std::min(*gauges.coreDemand, 2.0 * terms_.cores) - asking_) * 0.1;
        const double want = kCrowd * terms_.cores;
        if (!hold_.empty() && onCores_ + 1 > limit_)
            limit_ += 0.02 * std::clamp(want - asking_, -want, want);
        else
            limit_ += 0.005 * (terms_.cores - limit_);
        limit_ = std::clamp(limit_, 0.5 * terms_.cores, 3.0 * terms_.cores);
    }

    void pulse() {
        if (halfOpenWhenDue(runs_, "run", hold_.size())) out_->setHealth(!stopAt_);
        const double passed = seconds(now_ - decayedAt_);
        decayedAt_ = now_;
        const double slow = std::exp(-passed / kMemory), quick = std::exp(-passed);
        for (ProfileRow& row : profiles_) row.asked *= slow, row.got *= slow;
        for (double& customer : customers_) customer *= slow;
        readLately_ *= quick, shedLately_ *= quick;
        pressure_ += (std::min(1.0, shedLately_ / std::max(1.0, readLately_)) - pressure_) * 0.1;
        unused_ = std::min(earned(), unused_ + (earned() - inHands()) * passed);
        double age = 0, usual = 0, callAge = 0;
        callers_.clear();
        for (const auto& [id, in] : table_) {
            if (in.phase == Phase::Calling) callAge += seconds(now_ - in.since);
            const double more = in.phase == Phase::AtCall ? 1 : profiles_[in.profile].calls - in.calls;
            if (!in.answered && in.ran && more > 0) callers_.emplace_back(in.due, more);
            if (in.phase != Phase::Running) continue;
            age += coreTime(in);
            usual += profiles_[in.profile].onCores;
        }
        // A few runs tell little (one long command is no slow machine): they weigh against as many usual ones
        // as there are cores. Runs in progress are on average as old as runs take when these vary as usual.
        const double prior = terms_.cores * meanOnCores();
        std::sort(callers_.begin(), callers_.end());
        strain_ = std::clamp((age + prior) / (usual + prior), 1.0, 10.0);
        // Calls that are out longer than calls take tell of a slow dependency before any of them is back. One
        // long call is no slow dependency: they weigh against a usual one, and only while they are out.
        callsNow_ = std::max(callTime_, (callAge + callTime_) / (callsOut_ + 1));
        tellCallers();
        nextPulse_ = now_ + kPulse;
        out_->scheduleTick(kPulse);
    }

    void tellCallers() {
        if (overloaded_ ? pressure_ < 0.02 : pressure_ > 0.15) {
            overloaded_ = !overloaded_;
            log(overloaded_ ? "overload: %.0f%% given up, %zu held"
                            : "overload over: %.0f%% given up, %zu held",
                pressure_ * 100, hold_.size());
        }
        if (now_ < nextTold_) return;
        nextTold_ = now_ + 200ms;
        tendConnections();
        if (terms_.loadSignal != LoadSignal::Share) return;
        const double value = std::clamp(told_ + (pressure_ > 0.05 ? -0.1 * pressure_ : 0.02), 0.4, 1.0);
        if (value == told_) return;
        told_ = value;
        out_->advertiseLoadShare(value);
    }

    // Where the average caller comes back more seldom than connections live, an open one is hardly used again
    // and only fills the table, which takes core time and keeps others out: they are closed early. Under
    // pressure a full table is the cheapest bounce there is (no handshake, no reading), so they are kept.
    void tendConnections() {
        const double longest = seconds(terms_.maxConnectionIdle), before = idle_;
        const bool seldom = readLately_ * longest < terms_.clientCount;
        idle_ = std::clamp(idle_ * (!seldom || (pressure_ > kValve && !crowdedBelow()) ? 1.1 : 0.9),
                           std::min(1.0, longest), longest);
        if (idle_ != before) out_->closeIdleConnections(nanos(idle_));
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

    template <typename... Figures>
    void log(const char* format, Figures... figures) {
        char line[160];
        std::snprintf(line, sizeof line, format, figures...);
        out_->log(line);
    }

    static constexpr double kMemory = 10;  // seconds over which asked and got fade

    const ControllerConfig terms_;
    std::mt19937 chance_;
    DecisionSink* out_ = nullptr;
    Duration now_{0}, bornAt_{0}, nextPulse_{0}, decayedAt_{0}, stalledUntil_{-1}, noticeAt_{0}, nextTold_{0};
    bool begun_ = false, overloaded_ = false;
    std::optional<Duration> stopAt_;

    std::vector<ProfileRow> profiles_;
    std::vector<double> customers_;                     // decaying: commands read of each
    Table table_;                                       // emptied by answers, ends and callers that leave
    std::set<std::pair<Duration, RequestId>> hold_;     // held, by due time; emptied by starts and answers
    std::set<std::pair<Duration, RequestId>> atCalls_;  // waiting for a call or its repeat; emptied by both
    std::set<std::pair<Duration, RequestId>>
        overdue_;  // unanswered, by when they must be; emptied by answers
    std::set<std::pair<Duration, RequestId>> entries_;  // kept tags, by their end; emptied by time
    std::vector<std::pair<Duration, double>>
        callers_;                        // calls that runs will still make, by due time; each pulse's
    std::multiset<Duration> lingering_;  // abandoned calls, by their end; emptied by time

    int onCores_ = 0, running_ = 0, callsOut_ = 0;
    double heldKb_ = 0, runningKb_ = 0;
    double limit_ = 1, asking_ = 0, strain_ = 1;
    double readLately_ = 0, unread_ = 0, shedLately_ = 0, pressure_ = 0;
    double told_ = 1;  // share of the usual traffic

    double idle_ = seconds(terms_.maxConnectionIdle);
    Breaker breaker_, runs_;  // of the calls below; of our own runs
    Duration attemptTimeout_{0}, nextCap_{0};
    double shortest_ = 1, goodCall_ = 0, goodCalls_ = 0;
    double tokens_ = kMaxTokens, callTime_ = 0, callsNow_ = 0, usualCall_ = 0, callCap_ = 1;
    double unused_ = 0;  // seconds of calls in hand that our share has left; below 0 what was borrowed
};

}  // namespace

std::unique_ptr<OverloadController> makeOverloadController(const ControllerConfig& terms) {
    return std::make_unique<Logic>(terms);
}

}  // namespace cottonwing
