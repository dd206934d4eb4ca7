#include "lab/callers.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>
#include <random>

#include "scgi/message.h"
#include "thrift/codec.h"

namespace cottonwing::lab {

using namespace std::chrono_literals;
using decide::Began;

namespace {

constexpr std::size_t kDispatchAtOnce = 512;  // between two looks at the sockets
constexpr std::size_t kForgottenKept = 256;   // sequence numbers of a connection whose answer may still come
constexpr Duration kCrossing = 50ms;          // a close may cross what was written within this time before it
constexpr Duration kLate = 50ms;    // an answer is owed until the patience is over, and this much longer
constexpr Duration kSweep = 100ms;  // connections are looked at this often, health checks begun
constexpr Duration kUseful = 5ms;   // less time than this is not worth an attempt

std::string hex16(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::optional<double> numberIn(const thrift::Fields& fields, const char* name) {
    const auto found = fields.find(name);
    if (found == fields.end()) return std::nullopt;
    double value = 0;
    const char* const last = found->second.data() + found->second.size();
    const auto [end, error] = std::from_chars(found->second.data(), last, value);
    if (error != std::errc() || end != last || value < 0) return std::nullopt;
    return value;
}

}  // namespace

std::string traceOf(std::uint64_t seed, std::uint64_t number, int attempt) {
    // spread() takes no two numbers to one, and a seed shifts all of a run's
    // numbers alike.
    return hex16(decide::spread(decide::spread(seed) + number * 16 + static_cast<std::uint64_t>(attempt)));
}

std::string bodyOf(const Planned& planned, int calls, const std::string& firstTrace) {
    char head[120];
    std::snprintf(head, sizeof head, "cw1 %s %lld %d %lld %d;", firstTrace.c_str(),
                  static_cast<long long>(planned.work / 1us), calls,
                  static_cast<long long>(planned.call / 1us), planned.fails ? 1 : 0);
    std::string body = head;
    if (body.size() < planned.body) body.resize(planned.body, '.');
    return body;
}

// One connection to one server.
struct Callers::Line : net::Owner {
    Line(Callers& all, std::size_t theCaller, std::size_t theTarget, bool theCheck)
        : owner(all), caller(theCaller), target(theTarget), check(theCheck) {}
    void arrived(net::Connection& from) override {
        if (kiosk) return arrivedScgi(from);
        std::size_t length = 0;
        while (connection != nullptr) {
            const auto state = thrift::lookForFrame(from.input(), length);
            if (state == thrift::FrameState::Partial) return;
            std::optional<Heard> said;
            if (state == thrift::FrameState::Whole) {
                said = readHeard(from.input().peek(4 + length, scratch).substr(4));
                from.input().drop(4 + length);
            }
            if (!said) {
                owner.tally_.broken.note(owner.tally_.broken.unreadable,
                                         "an answer that can't be read, of server " + std::to_string(target));
                return owner.lineEnded(*this, net::ConnectionEnd::Malformed);
            }
            owner.heard(*this, std::move(*said));
        }
    }
    void arrivedScgi(net::Connection& from) {
        while (connection && !from.input().empty()) {
            const std::string_view piece = from.input().front();
            const auto state = reply.read(piece);
            from.input().drop(piece.size());
            if (state != scgi::ReplyReader::State::Partial && from.input().empty()) return whole();
        }
    }
    // 503 was turned away before it ran, what else is no success has failed.
    void whole() {
        if (reply.state() != scgi::ReplyReader::State::Whole) {
            owner.tally_.broken.note(owner.tally_.broken.unreadable,
                                     "an SCGI reply that can't be read, of server " + std::to_string(target));
            return owner.lineEnded(*this, net::ConnectionEnd::Malformed);
        }
        Heard said;
        said.sequence = 1;
        const int status = reply.reply().status;
        said.kind = status < 400    ? Heard::Kind::Answer
                    : status == 503 ? Heard::Kind::Busy
                                    : Heard::Kind::Failed;
        said.good = status < 400;
        said.body = reply.reply().body;
        if (const auto pause = scgi::headerOf(reply.reply().headers, "x-retry-after-ms"))
            said.fields["pause"] = *pause;
        if (scgi::headerOf(reply.reply().headers, "x-nowhere-else")) said.fields["terminal"] = "1";
        // A server that is tired says 503 of its own, and may have begun: only ours
        // tell when to come back.
        if (said.kind == Heard::Kind::Busy && !said.fields.contains("pause")) said.kind = Heard::Kind::Failed;
        owner.heard(*this, std::move(said));
    }
    void ended(net::Connection&, net::ConnectionEnd end) override {
        if (kiosk && end == net::ConnectionEnd::PeerClosed && reply.end() == scgi::ReplyReader::State::Whole)
            return whole();
        owner.lineEnded(*this, end);
    }

    Callers& owner;
    const std::size_t caller, target;
    const bool check;
    bool kiosk = false;
    scgi::ReplyReader reply{1 << 20};
    std::unique_ptr<net::Connection> connection;
    std::unordered_map<std::int32_t, std::uint64_t> open;  // by sequence number; emptied by answers and ends
    std::unordered_set<std::int32_t> forgotten;            // emptied by answers, the oldest past a bound
    std::deque<std::int32_t> forgottenOrder;
    std::int32_t sequence = 0;
    bool goaway = false;
    Duration begun{0}, used{0};
    std::string scratch;
};

struct Callers::Caller {
    Caller(const Habits& habits, std::size_t theNumber, std::uint64_t seed)
        : number(theNumber),
          chance(static_cast<std::mt19937::result_type>(decide::spread(seed ^ (theNumber + 1) * 0x9E3779B9))),
          choice(habits.way),
          members(habits.members),
          budget(habits.attempts),
          lines(habits.targets.size()),
          checks(habits.targets.size()),
          waiting(habits.targets.size()) {
        for (std::size_t at = 0; at < habits.targets.size(); ++at) members.add();
        // Callers of one fleet do not all begin their round with the same server.
        for (std::size_t at = 0; at < habits.targets.size(); ++at)
            choice.add((at + theNumber) % habits.targets.size());
    }
    const std::size_t number;
    std::mt19937 chance;
    decide::Choice choice;
    decide::Members members;
    decide::Budget budget;
    std::vector<std::vector<std::unique_ptr<Line>>> lines;  // by target
    std::vector<std::unique_ptr<Line>> checks;
    std::vector<std::deque<std::uint64_t>>
        waiting;  // for room on a connection, by target; emptied by it and by time
};

Callers::Callers(net::Loop& loop, Habits habits, const PlanTerms& plan, int worker, int workers, Tally& tally,
                 Progress& progress, Clocks clocks, Watcher* watcher)
    : loop_(loop),
      habits_(std::move(habits)),
      terms_(plan),
      worker_(worker),
      workers_(workers),
      tally_(tally),
      progress_(progress),
      clocks_(std::move(clocks)),
      watcher_(watcher),
      plan_(makePlan(plan)),
      pace_(loop, [this] { pump(); }) {
    for (int number = worker; number < habits_.callers; number += workers)
        callers_.push_back(std::make_unique<Caller>(habits_, static_cast<std::size_t>(number), plan.seed));
}

Callers::~Callers() = default;

void Callers::start(Duration steady) {
    start_ = steady;
    nextCheck_ = clocks_.steady();
    started_ = true;
    next_ = plan_->next();
    pump();
}

void Callers::stop() {
    stopped_ = true;
    next_.reset();
    pump();
}

void Callers::cut() {
    stopped_ = true;
    next_.reset();
    const Duration now = clocks_.steady();
    std::vector<std::uint64_t> all;
    for (const auto& [id, command] : open_) all.push_back(id);
    for (const std::uint64_t id : all) {
        Command& command = open_.at(id);
        const End end =
            command.everSent ? (command.line != nullptr ? End::NoAnswer : command.worst) : End::NeverSent;
        if (command.line != nullptr) detach(command, std::nullopt, now);
        finish(id, end, now);
    }
    pump();
}

void Callers::pump() {
    if (!started_ || done_) return;
    armed_ = 0ns;
    gone_.clear();
    const Duration now = clocks_.steady();
    dispatch(now);
    while (!agenda_.empty() && agenda_.begin()->first <= now) {
        const std::uint64_t id = agenda_.begin()->second;
        Command& command = open_.at(id);
        if (command.line != nullptr || command.queued)
            patienceOver(id, now);
        else
            begin(id, now);
    }
    check(now);
    tally_.badLines = plan_->skipped();
    if (!next_ && open_.empty()) {
        done_ = true;
        progress_.done = true;
        for (auto& caller : callers_) {
            for (auto& lines : caller->lines) {
                for (auto& line : lines) line->connection->writeLast();  // a forget may wait there
                lines.clear();
            }
            for (auto& line : caller->checks) line.reset();
        }
        pace_.stop();
        if (doneTold_) doneTold_();
        return;
    }
    wake();
}

// An earlier ring than is needed does no harm, so the timer is set anew only
// for one that is earlier still.
void Callers::wake() {
    Duration at = nextSweep_;
    if (!agenda_.empty()) at = std::min(at, agenda_.begin()->first);
    if (next_ && habits_.closed == 0) at = std::min(at, start_ + next_->at);
    if (armed_ > 0ns && at >= armed_) return;
    armed_ = at;
    pace_.ringAt(at);
}

void Callers::soon() {
    armed_ = clocks_.steady();
    pace_.ringAt(armed_);
}

// Each worker reads the whole plan and takes the commands of its own callers,
// so that what is sent does not turn on the number of workers.
void Callers::dispatch(Duration now) {
    std::size_t taken = 0;
    while (next_) {
        const auto caller = next_->number % static_cast<std::uint64_t>(habits_.callers);
        const bool mine = static_cast<int>(caller % static_cast<std::uint64_t>(workers_)) == worker_;
        if (mine) {
            if (habits_.closed > 0) {
                const int share = habits_.closed / workers_ + (worker_ < habits_.closed % workers_ ? 1 : 0);
                if (open_.size() >= static_cast<std::size_t>(share) || now >= start_ + terms_.length) {
                    if (now >= start_ + terms_.length) next_.reset();
                    return;
                }
                take(*next_, now, now);
            } else {
                if (start_ + next_->at > now) return;
                take(*next_, start_ + next_->at, now);
            }
            // Behind its time it still looks at the sockets now and then: answers
            // must not wait for the backlog.
            if (++taken >= kDispatchAtOnce) {
                next_ = plan_->next();
                return soon();
            }
        }
        next_ = plan_->next();
    }
}

void Callers::take(const Planned& planned, Duration scheduled, Duration now) {
    const Profile& profile = terms_.profiles[static_cast<std::size_t>(planned.profile)];
    ProfileTally& tally = tally_.profiles[static_cast<std::size_t>(planned.profile)];
    ++tally.planned;
    tally.worth += profile.worth;
    progress_.planned.fetch_add(1, std::memory_order_relaxed);
    if (watcher_ != nullptr) watcher_->planned(planned, scheduled);
    const std::uint64_t id = planned.number;
    Command& command = open_[id];
    command.planned = planned;
    command.scheduled = scheduled;
    command.stopsAt = scheduled + std::min(profile.hardStop, planned.patience);
    command.caller =
        (planned.number % static_cast<std::uint64_t>(habits_.callers)) / static_cast<std::uint64_t>(workers_);
    command.first = traceOf(terms_.seed, id, 0);
    Stretch& stretch = tally_.series.at(scheduled - start_);
    stretch.open = std::max<std::uint64_t>(stretch.open, open_.size());
    stretch.worth += profile.worth;
    if (open_.size() > habits_.openMost) {
        tally_.lag.add(now - scheduled);
        return finish(id, End::NeverSent, now);
    }
    begin(id, now);
}

void Callers::agenda(std::uint64_t id, Command& command, Duration due) {
    agenda_.erase({command.due, id});
    command.due = due;
    agenda_.emplace(due, id);
}

void Callers::begin(std::uint64_t id, Duration now) {
    Command& command = open_.at(id);
    Caller& caller = *callers_[command.caller];
    if (now >= command.stopsAt) return finish(id, command.everSent ? command.worst : End::NeverSent, now);
    const auto usable = [&](std::size_t at) { return caller.members.usable(at, now); };
    const auto chosen = caller.choice.choose(command.planned.subject, command.target, usable, caller.chance);
    ++command.attempts;
    if (!chosen) {
        // Nobody may be used just now: it waits like one that was turned away
        // before it began.
        return tryFailed(id, now, Began::Never, End::NeverSent);
    }
    command.target = *chosen;
    if (put(id, command, *chosen, now)) return;
    command.queued = true;
    caller.waiting[*chosen].push_back(id);
    agenda(id, command, command.stopsAt);
}

// The connection with the fewest commands on it, a new one where all are busy
// and one more may be opened.
Callers::Line* Callers::lineFor(Caller& caller, std::size_t target) {
    auto& lines = caller.lines[target];
    Line* best = nullptr;
    std::size_t usable = 0;
    for (const auto& line : lines) {
        if (line->goaway) continue;
        ++usable;
        if (best == nullptr || line->open.size() < best->open.size()) best = line.get();
    }
    if (best != nullptr && (best->open.empty() || usable >= static_cast<std::size_t>(habits_.connections)))
        return best->open.size() < static_cast<std::size_t>(habits_.openEach) ? best : nullptr;
    if (usable >= static_cast<std::size_t>(habits_.connections)) return nullptr;
    auto line =
        std::make_unique<Line>(*this, caller.number / static_cast<std::size_t>(workers_), target, false);
    line->begun = line->used = clocks_.steady();
    line->connection = std::make_unique<net::Connection>(loop_, habits_.targets[target], *line,
                                                         net::Bounds{1 << 20, 1 << 20});
    ++tally_.links.opened;
    lines.push_back(std::move(line));
    return lines.back().get();
}

bool Callers::put(std::uint64_t id, Command& command, std::size_t target, Duration now) {
    Caller& caller = *callers_[command.caller];
    const bool kiosk = terms_.profiles[static_cast<std::size_t>(command.planned.profile)].scgi;
    Line* const line = kiosk ? kioskLine(caller, target) : lineFor(caller, target);
    if (line == nullptr) return false;
    command.queued = false;
    command.trace = command.sentAgain ? traceOf(terms_.seed, id, command.attempts + 7)
                                      : traceOf(terms_.seed, id, command.attempts - 1);
    command.line = line;
    command.sequence = ++line->sequence;
    command.written = now;
    if (!command.everSent) {
        command.firstWritten = now;
        tally_.lag.add(now - command.scheduled);
    }
    command.everSent = true;
    const Planned& planned = command.planned;
    if (kiosk)
        line->connection->send(scgiOf(command, now));
    else
        line->connection->send(thriftOf(command, caller.number, now));

    line->open.emplace(command.sequence, id);
    line->used = now;
    caller.choice.began(target);
    caller.members.began(target, now);
    ++tally_.profiles[static_cast<std::size_t>(planned.profile)].tries;
    ++tally_.series.at(command.scheduled - start_).tries;
    if (watcher_ != nullptr) watcher_->sent(planned, command.trace, command.first, target);
    agenda(id, command, command.stopsAt);
    return true;
}

std::string Callers::thriftOf(const Command& command, std::size_t caller, Duration now) const {
    const Planned& planned = command.planned;
    const Profile& profile = terms_.profiles[static_cast<std::size_t>(planned.profile)];
    const Duration born = clocks_.unix();
    thrift::Fields fields;
    fields["route"] = profile.claims.empty() ? profile.name : profile.claims;
    fields["trace"] = command.trace;
    fields["born"] = std::to_string(born / 1ms);
    fields["client"] = std::to_string(caller);
    fields["customer"] = customerName(planned.customer);
    fields["patience"] = std::to_string(std::max<std::int64_t>(1, (command.stopsAt - now) / 1ms));
    if (planned.again || command.attempts > 1) fields["redo"] = "1";
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(planned.hint.count()) / 1e6);
    fields["weight"] = text;
    std::snprintf(text, sizeof text, "%.1f", planned.heldKb);
    fields["size"] = text;
    std::snprintf(text, sizeof text, "%.4f", std::min(planned.rank, 0.9999));
    fields["order"] = text;
    if (profile.repeat == Idempotency::Idempotent) fields["entity"] = hex16(decide::spread(planned.subject));
    return writeServe(command.sequence, fields, bodyOf(planned, profile.calls, command.first));
}

std::string Callers::scgiOf(const Command& command, Duration now) const {
    const Planned& planned = command.planned;
    const Profile& profile = terms_.profiles[static_cast<std::size_t>(planned.profile)];
    scgi::Headers headers = {
        {"REQUEST_METHOD", "POST"},
        {"REQUEST_URI", "/" + (profile.claims.empty() ? profile.name : profile.claims) + "/" +
                            std::to_string(planned.subject)},
        {"HTTP_X_TRACE", command.trace},
        {"HTTP_X_CUSTOMER", customerName(planned.customer)},
        {"HTTP_X_PATIENCE_MS", std::to_string(std::max<std::int64_t>(1, (command.stopsAt - now) / 1ms))}};
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(planned.hint.count()) / 1e6);
    headers.emplace_back("HTTP_X_COST_MS", text);
    if (planned.again || command.attempts > 1) headers.emplace_back("HTTP_X_REDO", "1");
    return scgi::writeRequest(headers, bodyOf(planned, profile.calls, command.first));
}

// A connection of its own for each command, as the protocol has it.
Callers::Line* Callers::kioskLine(Caller& caller, std::size_t target) {
    auto line =
        std::make_unique<Line>(*this, caller.number / static_cast<std::size_t>(workers_), target, false);
    line->kiosk = true;
    line->goaway = true;  // nothing more goes on it
    line->begun = line->used = clocks_.steady();
    line->connection = std::make_unique<net::Connection>(loop_, habits_.kiosks[target], *line,
                                                         net::Bounds{1 << 20, 1 << 20});
    ++tally_.links.opened;
    caller.lines[target].push_back(std::move(line));
    return caller.lines[target].back().get();
}

// A command's place on its connection and with its server is given back.
void Callers::detach(Command& command, std::optional<Duration> took, Duration now) {
    if (command.line == nullptr) return;
    if (watcher_ != nullptr) watcher_->released(command.trace);
    callers_[command.caller]->choice.ended(*command.target, took, now);
    command.line->open.erase(command.sequence);
    command.line->used = now;
    command.line = nullptr;
}

void Callers::tryFailed(std::uint64_t id, Duration now, Began began, End how,
                        std::optional<Duration> retryAfter, bool nowhereElse) {
    Command& command = open_.at(id);
    Caller& caller = *callers_[command.caller];
    command.worst = how;
    caller.budget.failed();
    decide::Tried tried;
    tried.idempotency = terms_.profiles[static_cast<std::size_t>(command.planned.profile)].repeat;
    tried.began = began;
    tried.attempts = command.attempts;
    tried.waited = command.waited;
    tried.retryAfter = retryAfter;
    tried.nowhereElse = nowhereElse;
    tried.stopsAt = command.stopsAt;
    tried.useful = kUseful;
    const auto verdict = decide::again(habits_.attempts, caller.budget, tried, now, caller.chance);
    ++tally_.links.notAgain[static_cast<std::size_t>(verdict.why)];
    if (verdict.why != decide::Why::Again || (stopped_ && habits_.closed > 0)) return finish(id, how, now);
    command.waited = verdict.at - now;
    agenda(id, command, verdict.at);
}

void Callers::patienceOver(std::uint64_t id, Duration now) {
    Command& command = open_.at(id);
    if (command.queued) return finish(id, command.everSent ? command.worst : End::NeverSent, now);
    Line& line = *command.line;
    // The server owes its answer until the patience is over; what crosses that
    // moment is nobody's fault. One that is told to forget owes nothing, so such
    // a caller waits a little before it says so.
    if (now < command.stopsAt + kLate) return agenda(id, command, command.stopsAt + kLate);
    if (line.connection && line.connection->isOpen())
        tally_.broken.note(tally_.broken.lost,
                           "no answer to " + command.trace + " of server " + std::to_string(line.target));
    callers_[command.caller]->members.failed(*command.target, now, callers_[command.caller]->chance);
    // A kiosk that gives up closes its connection: so it is told.
    const bool kiosk = line.kiosk;
    if (habits_.forgets && line.connection && !kiosk) {
        line.connection->send(writeForget(++line.sequence, command.sequence));
        ++tally_.links.forgets;
    }
    line.forgotten.insert(command.sequence);
    line.forgottenOrder.push_back(command.sequence);
    if (line.forgottenOrder.size() > kForgottenKept) {
        line.forgotten.erase(line.forgottenOrder.front());
        line.forgottenOrder.pop_front();
    }
    detach(command, std::nullopt, now);
    finish(id, End::NoAnswer, now);
    if (kiosk) lineEnded(line, net::ConnectionEnd::Unused);
}

void Callers::finish(std::uint64_t id, End end, Duration now) {
    const auto at = open_.find(id);
    Command& command = at->second;
    const Profile& profile = terms_.profiles[static_cast<std::size_t>(command.planned.profile)];
    ProfileTally& tally = tally_.profiles[static_cast<std::size_t>(command.planned.profile)];
    if (!command.everSent && end == End::NeverSent && open_.size() <= habits_.openMost)
        tally_.lag.add(now - command.scheduled);
    const Duration took = now - command.scheduled;
    if (end == End::Handled && took > profile.promised) end = End::Late;
    Stretch& stretch = tally_.series.at(command.scheduled - start_);
    if (end == End::Handled || end == End::Late) {
        tally.fromSchedule.add(took);
        tally.fromWrite.add(now - command.firstWritten);
        const double earned = end == End::Handled ? profile.worth : profile.worth * profile.lateShare;
        tally.earned += earned;
        stretch.earned += earned;
        if (!stretch.latencies) stretch.latencies = std::make_unique<Latencies>();
        stretch.latencies->add(took);
        progress_.handled.fetch_add(1, std::memory_order_relaxed);
    }
    ++tally.ends[static_cast<std::size_t>(end)];
    ++stretch.ends[static_cast<std::size_t>(end)];
    progress_.ended.fetch_add(1, std::memory_order_relaxed);
    if (watcher_ != nullptr) watcher_->ended(command.planned, command.trace, end);
    if (command.queued) std::erase(callers_[command.caller]->waiting[*command.target], id);
    agenda_.erase({command.due, id});
    open_.erase(at);
}

void Callers::sendWaiting(Caller& caller, std::size_t target, Duration now) {
    auto& waiting = caller.waiting[target];
    while (!waiting.empty()) {
        const std::uint64_t id = waiting.front();
        Command& command = open_.at(id);
        if (!put(id, command, target, now)) return;
        waiting.pop_front();
    }
}

void Callers::heard(Line& line, Heard&& said) {
    const Duration now = clocks_.steady();
    Caller& caller = *callers_[line.caller];
    if (habits_.honoursAdvice)
        if (const auto advice = numberIn(said.fields, "advice"))
            caller.choice.setWeight(line.target, std::clamp(*advice, 0.05, 4.0));
    if (said.kind == Heard::Kind::Goaway) {
        line.goaway = true;
        ++tally_.links.goaways;
        if (line.open.empty()) lineEnded(line, net::ConnectionEnd::Unused);
        return;
    }
    if (line.check) {
        const bool good = said.kind == Heard::Kind::Answer && said.good;
        ++tally_.links.checks;
        tally_.links.badChecks += !good;
        line.open.clear();
        caller.members.checked(line.target, good, now, caller.chance);
        return;
    }
    const auto found = line.open.find(said.sequence);
    if (found == line.open.end()) {
        if (line.forgotten.erase(said.sequence) > 0) return;
        const std::string where = " with sequence number " + std::to_string(said.sequence) + ", of server " +
                                  std::to_string(line.target);
        if (said.sequence >= 1 && said.sequence <= line.sequence)
            tally_.broken.note(tally_.broken.twice, "a second answer" + where);
        else
            tally_.broken.note(tally_.broken.toNothing, "an answer to nothing" + where);
        return;
    }
    const std::uint64_t id = found->second;
    Command& command = open_.at(id);
    if (watcher_ != nullptr) watcher_->answered(command.trace, said.kind);
    const Duration took = now - command.written;
    const std::size_t target = line.target;
    switch (said.kind) {
        case Heard::Kind::Answer: {
            detach(command, took, now);
            caller.members.good(target, now);
            const std::string expected = "ok " + command.trace;
            if (habits_.checksResults && said.body.substr(0, expected.size()) != expected) {
                tally_.broken.note(tally_.broken.wrongResult,
                                   "a result that no run made for " + command.trace);
                finish(id, End::Scrapped, now);
                break;
            }
            caller.budget.good();
            finish(id, End::Handled, now);
            break;
        }
        case Heard::Kind::Busy: {
            detach(command, std::nullopt, now);
            caller.members.good(target, now);  // it is well enough to turn away
            std::optional<Duration> retryAfter;
            if (const auto pause = numberIn(said.fields, "pause"))
                retryAfter = Duration(static_cast<std::int64_t>(std::min(*pause, 1e9) * 1e6));
            tryFailed(id, now, Began::Never, End::Bounced, retryAfter, said.fields.contains("terminal"));
            break;
        }
        case Heard::Kind::Failed:
        case Heard::Kind::Exception:
        case Heard::Kind::Goaway:
            detach(command, std::nullopt, now);
            caller.members.failed(target, now, caller.chance);
            tryFailed(id, now, Began::Unknown, End::Scrapped);
            break;
    }
    if (line.goaway && line.open.empty()) return lineEnded(line, net::ConnectionEnd::Unused);
    sendWaiting(caller, target, now);
    // From here the agenda may have an earlier entry than the timer, or nothing
    // is left to wait for.
    if (habits_.closed > 0 || (!next_ && open_.empty()))
        soon();
    else
        wake();
}

void Callers::lineEnded(Line& line, net::ConnectionEnd end) {
    const Duration now = clocks_.steady();
    Caller& caller = *callers_[line.caller];
    const std::size_t target = line.target;
    const bool refused =
        end == net::ConnectionEnd::ConnectRefused || end == net::ConnectionEnd::ConnectTimedOut;
    if (refused)
        ++tally_.links.refused;
    else if (end == net::ConnectionEnd::Unused)
        ++tally_.links.idleClosed;
    else if (end == net::ConnectionEnd::PeerClosed)
        ++tally_.links.closed;
    else
        ++tally_.links.reset;
    line.connection.reset();
    // The object goes with the next pump: the callback that led here may still
    // look at it.
    if (line.check) {
        if (!line.open.empty() || refused) {
            ++tally_.links.checks, ++tally_.links.badChecks;
            caller.members.checked(target, false, now, caller.chance);
        }
        gone_.push_back(std::move(caller.checks[target]));
    } else {
        auto& lines = caller.lines[target];
        const auto place =
            std::find_if(lines.begin(), lines.end(), [&](const auto& each) { return each.get() == &line; });
        gone_.push_back(std::move(*place));
        lines.erase(place);
    }
    const auto open = std::move(line.open);
    line.open.clear();
    bool booked = false;
    for (const auto& [sequence, id] : open) {
        if (line.check) continue;
        const auto at = open_.find(id);
        if (at == open_.end()) continue;
        Command& command = at->second;
        detach(command, std::nullopt, now);
        // What may run once only is sent again only where the server has said that
        // it takes no more there.
        const bool harmless =
            line.goaway || terms_.profiles[static_cast<std::size_t>(command.planned.profile)].repeat ==
                               Idempotency::Idempotent;
        const bool crossed = !refused && !line.kiosk && harmless && now - command.written < kCrossing &&
                             !command.sentAgain &&
                             (end == net::ConnectionEnd::PeerClosed || end == net::ConnectionEnd::Reset);
        if (crossed) {
            command.sentAgain = true;
            ++tally_.links.sentAgain;
            command.worst = End::ConnectionLost;
            if (!put(id, command, target, now)) agenda(id, command, now);
            continue;
        }
        // One broken connection is one sign, however many commands were on it.
        if (!std::exchange(booked, true)) caller.members.failed(target, now, caller.chance);
        tryFailed(id, now, refused ? Began::Never : Began::Unknown, End::ConnectionLost);
    }
    sendWaiting(caller, target, now);
    soon();
}

void Callers::check(Duration now) {
    if (now < nextSweep_) return;
    nextSweep_ = now + kSweep;
    const bool checks = habits_.checksEvery > 0ns && now >= nextCheck_;
    if (checks) nextCheck_ = now + habits_.checksEvery;
    for (auto& caller : callers_)
        for (std::size_t target = 0; target < habits_.targets.size(); ++target) {
            // Connections that hang in opening or that nobody has used for long are
            // closed.
            auto& lines = caller->lines[target];
            for (std::size_t at = 0; at < lines.size();) {
                Line& line = *lines[at];
                const bool hangs = !line.connection->isOpen() && now - line.begun > habits_.connectsWithin;
                const bool idle = line.open.empty() && now - line.used > habits_.closesIdle;
                if (hangs)
                    lineEnded(line, net::ConnectionEnd::ConnectTimedOut);
                else if (idle)
                    lineEnded(line, net::ConnectionEnd::Unused);
                else
                    ++at;
            }
            if (!checks) continue;
            auto& line = caller->checks[target];
            if (line && !line->open.empty()) {  // the one before has had no answer
                lineEnded(*line, net::ConnectionEnd::TimedOut);
            }
            if (!line) {
                line = std::make_unique<Line>(*this, caller->number / static_cast<std::size_t>(workers_),
                                              target, true);
                line->begun = line->used = now;
                line->connection = std::make_unique<net::Connection>(loop_, habits_.targets[target], *line,
                                                                     net::Bounds{65536, 65536});
            }
            line->connection->send(writeIsWell(++line->sequence, habits_.thorough));
            line->open.emplace(line->sequence, 0);
        }
}

}  // namespace cottonwing::lab
