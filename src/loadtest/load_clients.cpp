#include "loadtest/load_clients.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <deque>
#include <random>

#include "scgi/message.h"
#include "thrift/codec.h"

namespace cottonwing::loadtest {

using namespace std::chrono_literals;
using routing::ExecutionState;

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
    // splitMix64() takes no two numbers to one, and a seed shifts all of a run's
    // numbers alike.
    return hex16(
        routing::splitMix64(routing::splitMix64(seed) + number * 16 + static_cast<std::uint64_t>(attempt)));
}

std::string bodyOf(const ScheduledRequest& planned, int calls, const std::string& firstTrace) {
    char head[120];
    std::snprintf(head, sizeof head, "cw1 %s %lld %d %lld %d;", firstTrace.c_str(),
                  static_cast<long long>(planned.work / 1us), calls,
                  static_cast<long long>(planned.callDuration / 1us), planned.runFails ? 1 : 0);
    std::string body = head;
    if (body.size() < planned.bodyBytes) body.resize(planned.bodyBytes, '.');
    return body;
}

// One connection to one server.
struct Clients::Line : net::ConnectionHandler {
    Line(Clients& all, std::size_t theClient, std::size_t theTarget, bool theCheck)
        : owner(all), client(theClient), target(theTarget), check(theCheck) {}
    void arrived(net::Connection& from) override {
        if (kiosk) return arrivedScgi(from);
        std::size_t length = 0;
        while (connection != nullptr) {
            const auto state = thrift::peekFrame(from.input(), length);
            if (state == thrift::FrameState::Partial) return;
            std::optional<ClientResponse> said;
            if (state == thrift::FrameState::Complete) {
                said = readClientResponse(from.input().peek(4 + length, scratch).substr(4));
                from.input().drop(4 + length);
            }
            if (!said) {
                owner.tally_.broken.note(owner.tally_.broken.unreadable,
                                         "an answer that can't be read, of server " + std::to_string(target));
                return owner.lineEnded(*this, net::ConnectionEnd::Malformed);
            }
            owner.clientResponse(*this, std::move(*said));
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
        if (reply.state() != scgi::ReplyReader::State::Complete) {
            owner.tally_.broken.note(owner.tally_.broken.unreadable,
                                     "an SCGI reply that can't be read, of server " + std::to_string(target));
            return owner.lineEnded(*this, net::ConnectionEnd::Malformed);
        }
        ClientResponse said;
        said.sequence = 1;
        const int status = reply.reply().status;
        said.kind = status < 400    ? ClientResponse::Kind::Answer
                    : status == 503 ? ClientResponse::Kind::Busy
                                    : ClientResponse::Kind::Failed;
        said.good = status < 400;
        said.body = reply.reply().body;
        if (const auto pause = scgi::findHeader(reply.reply().headers, "x-retry-after-ms"))
            said.fields["pause"] = *pause;
        if (scgi::findHeader(reply.reply().headers, "x-nowhere-else")) said.fields["terminal"] = "1";
        // A server that is tired says 503 of its own, and may have begun: only ours
        // tell when to come back.
        if (said.kind == ClientResponse::Kind::Busy && !said.fields.contains("pause"))
            said.kind = ClientResponse::Kind::Failed;
        owner.clientResponse(*this, std::move(said));
    }
    void ended(net::Connection&, net::ConnectionEnd end) override {
        if (kiosk && end == net::ConnectionEnd::PeerClosed &&
            reply.connectionEnded() == scgi::ReplyReader::State::Complete)
            return whole();
        owner.lineEnded(*this, end);
    }

    Clients& owner;
    const std::size_t client, target;
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

struct Clients::Client {
    Client(const Habits& habits, std::size_t theNumber, std::uint64_t seed)
        : number(theNumber),
          chance(static_cast<std::mt19937::result_type>(
              routing::splitMix64(seed ^ (theNumber + 1) * 0x9E3779B9))),
          choice(habits.way),
          members(habits.members),
          budget(habits.attempts),
          lines(habits.targets.size()),
          checks(habits.targets.size()),
          waiting(habits.targets.size()) {
        for (std::size_t at = 0; at < habits.targets.size(); ++at) members.add();
        // Clients of one fleet do not all begin their round with the same server.
        for (std::size_t at = 0; at < habits.targets.size(); ++at)
            choice.add((at + theNumber) % habits.targets.size());
    }
    const std::size_t number;
    std::mt19937 chance;
    routing::LoadBalancer choice;
    routing::OutlierDetector members;
    routing::RetryBudget budget;
    std::vector<std::vector<std::unique_ptr<Line>>> lines;  // by target
    std::vector<std::unique_ptr<Line>> checks;
    std::vector<std::deque<std::uint64_t>>
        waiting;  // for room on a connection, by target; emptied by it and by time
};

Clients::Clients(net::Loop& loop, Habits habits, const RequestScheduleConfig& plan, int worker, int workers,
                 Tally& tally, Progress& progress, Clocks clocks, Watcher* watcher)
    : loop_(loop),
      habits_(std::move(habits)),
      terms_(plan),
      worker_(worker),
      workers_(workers),
      tally_(tally),
      progress_(progress),
      clocks_(std::move(clocks)),
      watcher_(watcher),
      plan_(makeRequestSchedule(plan)),
      pace_(loop, [this] { pump(); }) {
    for (int number = worker; number < habits_.clients; number += workers)
        clients_.push_back(std::make_unique<Client>(habits_, static_cast<std::size_t>(number), plan.seed));
}

Clients::~Clients() = default;

void Clients::start(Duration steady) {
    start_ = steady;
    nextCheck_ = clocks_.steady();
    started_ = true;
    next_ = plan_->next();
    pump();
}

void Clients::stop() {
    stopped_ = true;
    next_.reset();
    pump();
}

void Clients::cut() {
    stopped_ = true;
    next_.reset();
    const Duration now = clocks_.steady();
    std::vector<std::uint64_t> all;
    for (const auto& [id, request] : open_) all.push_back(id);
    for (const std::uint64_t id : all) {
        TrackedRequest& request = open_.at(id);
        const End end =
            request.everSent ? (request.line != nullptr ? End::NoAnswer : request.worst) : End::NeverSent;
        if (request.line != nullptr) detach(request, std::nullopt, now);
        finish(id, end, now);
    }
    pump();
}

void Clients::pump() {
    if (!started_ || done_) return;
    armed_ = 0ns;
    gone_.clear();
    const Duration now = clocks_.steady();
    dispatch(now);
    while (!agenda_.empty() && agenda_.begin()->first <= now) {
        const std::uint64_t id = agenda_.begin()->second;
        TrackedRequest& request = open_.at(id);
        if (request.line != nullptr || request.queued)
            patienceOver(id, now);
        else
            begin(id, now);
    }
    check(now);
    tally_.badLines = plan_->skippedLines();
    if (!next_ && open_.empty()) {
        done_ = true;
        progress_.done = true;
        for (auto& client : clients_) {
            for (auto& lines : client->lines) {
                for (auto& line : lines) line->connection->tryFlush();  // a forget may wait there
                lines.clear();
            }
            for (auto& line : client->checks) line.reset();
        }
        pace_.stop();
        if (doneTold_) doneTold_();
        return;
    }
    wake();
}

// An earlier ring than is needed does no harm, so the timer is set anew only
// for one that is earlier still.
void Clients::wake() {
    Duration at = nextSweep_;
    if (!agenda_.empty()) at = std::min(at, agenda_.begin()->first);
    if (next_ && habits_.closed == 0) at = std::min(at, start_ + next_->arrival);
    if (armed_ > 0ns && at >= armed_) return;
    armed_ = at;
    pace_.startAt(at);
}

void Clients::soon() {
    armed_ = clocks_.steady();
    pace_.startAt(armed_);
}

// Each worker reads the whole plan and takes the requests of its own clients,
// so that what is sent does not turn on the number of workers.
void Clients::dispatch(Duration now) {
    std::size_t taken = 0;
    while (next_) {
        const auto client = next_->number % static_cast<std::uint64_t>(habits_.clients);
        const bool mine = static_cast<int>(client % static_cast<std::uint64_t>(workers_)) == worker_;
        if (mine) {
            if (habits_.closed > 0) {
                const int share = habits_.closed / workers_ + (worker_ < habits_.closed % workers_ ? 1 : 0);
                if (open_.size() >= static_cast<std::size_t>(share) || now >= start_ + terms_.duration) {
                    if (now >= start_ + terms_.duration) next_.reset();
                    return;
                }
                take(*next_, now, now);
            } else {
                if (start_ + next_->arrival > now) return;
                take(*next_, start_ + next_->arrival, now);
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

void Clients::take(const ScheduledRequest& planned, Duration scheduled, Duration now) {
    const RequestClassLoad& requestClass =
        terms_.requestClasses[static_cast<std::size_t>(planned.requestClass)];
    RequestClassStats& tally = tally_.requestClasses[static_cast<std::size_t>(planned.requestClass)];
    ++tally.planned;
    tally.value += requestClass.value;
    progress_.planned.fetch_add(1, std::memory_order_relaxed);
    if (watcher_ != nullptr) watcher_->planned(planned, scheduled);
    const std::uint64_t id = planned.number;
    TrackedRequest& request = open_[id];
    request.planned = planned;
    request.scheduled = scheduled;
    request.stopsAt = scheduled + std::min(requestClass.timeout, planned.attemptTimeout);
    request.client =
        (planned.number % static_cast<std::uint64_t>(habits_.clients)) / static_cast<std::uint64_t>(workers_);
    request.first = traceOf(terms_.seed, id, 0);
    Stretch& stretch = tally_.series.at(scheduled - start_);
    stretch.open = std::max<std::uint64_t>(stretch.open, open_.size());
    stretch.value += requestClass.value;
    if (open_.size() > habits_.openMost) {
        tally_.lag.add(now - scheduled);
        return finish(id, End::NeverSent, now);
    }
    begin(id, now);
}

void Clients::agenda(std::uint64_t id, TrackedRequest& request, Duration due) {
    agenda_.erase({request.due, id});
    request.due = due;
    agenda_.emplace(due, id);
}

void Clients::begin(std::uint64_t id, Duration now) {
    TrackedRequest& request = open_.at(id);
    Client& client = *clients_[request.client];
    if (now >= request.stopsAt) return finish(id, request.everSent ? request.worst : End::NeverSent, now);
    const auto usable = [&](std::size_t at) { return client.members.isUsable(at, now); };
    const auto chosen = client.choice.choose(request.planned.subject, request.target, usable, client.chance);
    ++request.attempts;
    if (!chosen) {
        // Nobody may be used just now: it waits like one that was turned away
        // before it began.
        return tryFailed(id, now, ExecutionState::NotStarted, End::NeverSent);
    }
    request.target = *chosen;
    if (put(id, request, *chosen, now)) return;
    request.queued = true;
    client.waiting[*chosen].push_back(id);
    agenda(id, request, request.stopsAt);
}

// The connection with the fewest requests on it, a new one where all are busy
// and one more may be opened.
Clients::Line* Clients::lineFor(Client& client, std::size_t target) {
    auto& lines = client.lines[target];
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
        std::make_unique<Line>(*this, client.number / static_cast<std::size_t>(workers_), target, false);
    line->begun = line->used = clocks_.steady();
    line->connection = std::make_unique<net::Connection>(loop_, habits_.targets[target], *line,
                                                         net::BufferLimits{1 << 20, 1 << 20});
    ++tally_.links.opened;
    lines.push_back(std::move(line));
    return lines.back().get();
}

bool Clients::put(std::uint64_t id, TrackedRequest& request, std::size_t target, Duration now) {
    Client& client = *clients_[request.client];
    const bool kiosk = terms_.requestClasses[static_cast<std::size_t>(request.planned.requestClass)].usesScgi;
    Line* const line = kiosk ? kioskLine(client, target) : lineFor(client, target);
    if (line == nullptr) return false;
    request.queued = false;
    request.trace = request.sentAgain ? traceOf(terms_.seed, id, request.attempts + 7)
                                      : traceOf(terms_.seed, id, request.attempts - 1);
    request.line = line;
    request.sequence = ++line->sequence;
    request.written = now;
    if (!request.everSent) {
        request.firstWritten = now;
        tally_.lag.add(now - request.scheduled);
    }
    request.everSent = true;
    const ScheduledRequest& planned = request.planned;
    if (kiosk)
        line->connection->send(scgiOf(request, now));
    else
        line->connection->send(thriftOf(request, client.number, now));

    line->open.emplace(request.sequence, id);
    line->used = now;
    client.choice.requestStarted(target);
    client.members.requestStarted(target, now);
    ++tally_.requestClasses[static_cast<std::size_t>(planned.requestClass)].tries;
    ++tally_.series.at(request.scheduled - start_).tries;
    if (watcher_ != nullptr) watcher_->sent(planned, request.trace, request.first, target);
    agenda(id, request, request.stopsAt);
    return true;
}

std::string Clients::thriftOf(const TrackedRequest& request, std::size_t client, Duration now) const {
    const ScheduledRequest& planned = request.planned;
    const RequestClassLoad& requestClass =
        terms_.requestClasses[static_cast<std::size_t>(planned.requestClass)];
    const Duration born = clocks_.unix();
    thrift::Fields fields;
    fields["route"] = requestClass.claimedClass.empty() ? requestClass.name : requestClass.claimedClass;
    fields["trace"] = request.trace;
    fields["born"] = std::to_string(born / 1ms);
    fields["client"] = std::to_string(client);
    fields["customer"] = tenantName(planned.tenant);
    fields["patience"] = std::to_string(std::max<std::int64_t>(1, (request.stopsAt - now) / 1ms));
    if (planned.isRetry || request.attempts > 1) fields["redo"] = "1";
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(planned.workHint.count()) / 1e6);
    fields["weight"] = text;
    std::snprintf(text, sizeof text, "%.1f", planned.memoryKb);
    fields["size"] = text;
    std::snprintf(text, sizeof text, "%.4f", std::min(planned.rank, 0.9999));
    fields["order"] = text;
    if (requestClass.idempotency == Idempotency::Idempotent)
        fields["entity"] = hex16(routing::splitMix64(planned.subject));
    return writeServeCall(request.sequence, fields, bodyOf(planned, requestClass.callsPerRun, request.first));
}

std::string Clients::scgiOf(const TrackedRequest& request, Duration now) const {
    const ScheduledRequest& planned = request.planned;
    const RequestClassLoad& requestClass =
        terms_.requestClasses[static_cast<std::size_t>(planned.requestClass)];
    scgi::Headers headers = {
        {"REQUEST_METHOD", "POST"},
        {"REQUEST_URI",
         "/" + (requestClass.claimedClass.empty() ? requestClass.name : requestClass.claimedClass) + "/" +
             std::to_string(planned.subject)},
        {"HTTP_X_TRACE", request.trace},
        {"HTTP_X_CUSTOMER", tenantName(planned.tenant)},
        {"HTTP_X_PATIENCE_MS", std::to_string(std::max<std::int64_t>(1, (request.stopsAt - now) / 1ms))}};
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(planned.workHint.count()) / 1e6);
    headers.emplace_back("HTTP_X_COST_MS", text);
    if (planned.isRetry || request.attempts > 1) headers.emplace_back("HTTP_X_REDO", "1");
    return scgi::writeRequest(headers, bodyOf(planned, requestClass.callsPerRun, request.first));
}

// A connection of its own for each request, as the protocol has it.
Clients::Line* Clients::kioskLine(Client& client, std::size_t target) {
    auto line =
        std::make_unique<Line>(*this, client.number / static_cast<std::size_t>(workers_), target, false);
    line->kiosk = true;
    line->goaway = true;  // nothing more goes on it
    line->begun = line->used = clocks_.steady();
    line->connection = std::make_unique<net::Connection>(loop_, habits_.kiosks[target], *line,
                                                         net::BufferLimits{1 << 20, 1 << 20});
    ++tally_.links.opened;
    client.lines[target].push_back(std::move(line));
    return client.lines[target].back().get();
}

// A request's place on its connection and with its server is given back.
void Clients::detach(TrackedRequest& request, std::optional<Duration> took, Duration now) {
    if (request.line == nullptr) return;
    if (watcher_ != nullptr) watcher_->released(request.trace);
    clients_[request.client]->choice.requestEnded(*request.target, took, now);
    request.line->open.erase(request.sequence);
    request.line->used = now;
    request.line = nullptr;
}

void Clients::tryFailed(std::uint64_t id, Duration now, ExecutionState began, End how,
                        std::optional<Duration> retryAfter, bool noRetryElsewhere) {
    TrackedRequest& request = open_.at(id);
    Client& client = *clients_[request.client];
    request.worst = how;
    client.budget.recordFailure();
    routing::FailedAttempt tried;
    tried.idempotency =
        terms_.requestClasses[static_cast<std::size_t>(request.planned.requestClass)].idempotency;
    tried.execution = began;
    tried.attempts = request.attempts;
    tried.previousDelay = request.waited;
    tried.retryAfter = retryAfter;
    tried.noRetryElsewhere = noRetryElsewhere;
    tried.deadline = request.stopsAt;
    tried.minAttemptTime = kUseful;
    const auto verdict = routing::decideRetry(habits_.attempts, client.budget, tried, now, client.chance);
    ++tally_.links.notAgain[static_cast<std::size_t>(verdict.reason)];
    if (verdict.reason != routing::RetryDecisionReason::Retry || (stopped_ && habits_.closed > 0))
        return finish(id, how, now);
    request.waited = verdict.retryAt - now;
    agenda(id, request, verdict.retryAt);
}

void Clients::patienceOver(std::uint64_t id, Duration now) {
    TrackedRequest& request = open_.at(id);
    if (request.queued) return finish(id, request.everSent ? request.worst : End::NeverSent, now);
    Line& line = *request.line;
    // The server owes its answer until the patience is over; what crosses that
    // moment is nobody's fault. One that is told to forget owes nothing, so such
    // a client waits a little before it says so.
    if (now < request.stopsAt + kLate) return agenda(id, request, request.stopsAt + kLate);
    if (line.connection && line.connection->isOpen())
        tally_.broken.note(tally_.broken.lost,
                           "no answer to " + request.trace + " of server " + std::to_string(line.target));
    clients_[request.client]->members.recordFailure(*request.target, now, clients_[request.client]->chance);
    // A kiosk that gives up closes its connection: so it is told.
    const bool kiosk = line.kiosk;
    if (habits_.forgets && line.connection && !kiosk) {
        line.connection->send(writeCancel(++line.sequence, request.sequence));
        ++tally_.links.forgets;
    }
    line.forgotten.insert(request.sequence);
    line.forgottenOrder.push_back(request.sequence);
    if (line.forgottenOrder.size() > kForgottenKept) {
        line.forgotten.erase(line.forgottenOrder.front());
        line.forgottenOrder.pop_front();
    }
    detach(request, std::nullopt, now);
    finish(id, End::NoAnswer, now);
    if (kiosk) lineEnded(line, net::ConnectionEnd::Unused);
}

void Clients::finish(std::uint64_t id, End end, Duration now) {
    const auto at = open_.find(id);
    TrackedRequest& request = at->second;
    const RequestClassLoad& requestClass =
        terms_.requestClasses[static_cast<std::size_t>(request.planned.requestClass)];
    RequestClassStats& tally = tally_.requestClasses[static_cast<std::size_t>(request.planned.requestClass)];
    if (!request.everSent && end == End::NeverSent && open_.size() <= habits_.openMost)
        tally_.lag.add(now - request.scheduled);
    const Duration took = now - request.scheduled;
    if (end == End::Completed && took > requestClass.latencyObjective) end = End::Late;
    Stretch& stretch = tally_.series.at(request.scheduled - start_);
    if (end == End::Completed || end == End::Late) {
        tally.fromSchedule.add(took);
        tally.fromWrite.add(now - request.firstWritten);
        const double earned =
            end == End::Completed ? requestClass.value : requestClass.value * requestClass.lateValueFraction;
        tally.earned += earned;
        stretch.earned += earned;
        if (!stretch.latencies) stretch.latencies = std::make_unique<LatencyHistogram>();
        stretch.latencies->add(took);
        progress_.completed.fetch_add(1, std::memory_order_relaxed);
    }
    ++tally.ends[static_cast<std::size_t>(end)];
    ++stretch.ends[static_cast<std::size_t>(end)];
    progress_.ended.fetch_add(1, std::memory_order_relaxed);
    if (watcher_ != nullptr) watcher_->ended(request.planned, request.trace, end);
    if (request.queued) std::erase(clients_[request.client]->waiting[*request.target], id);
    agenda_.erase({request.due, id});
    open_.erase(at);
}

void Clients::sendWaiting(Client& client, std::size_t target, Duration now) {
    auto& waiting = client.waiting[target];
    while (!waiting.empty()) {
        const std::uint64_t id = waiting.front();
        TrackedRequest& request = open_.at(id);
        if (!put(id, request, target, now)) return;
        waiting.pop_front();
    }
}

void Clients::clientResponse(Line& line, ClientResponse&& said) {
    const Duration now = clocks_.steady();
    Client& client = *clients_[line.client];
    if (habits_.honoursAdvice)
        if (const auto advice = numberIn(said.fields, "advice"))
            client.choice.setWeight(line.target, std::clamp(*advice, 0.05, 4.0));
    if (said.kind == ClientResponse::Kind::Goaway) {
        line.goaway = true;
        ++tally_.links.goaways;
        if (line.open.empty()) lineEnded(line, net::ConnectionEnd::Unused);
        return;
    }
    if (line.check) {
        const bool good = said.kind == ClientResponse::Kind::Answer && said.good;
        ++tally_.links.checks;
        tally_.links.badChecks += !good;
        line.open.clear();
        client.members.recordHealthCheck(line.target, good, now, client.chance);
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
    TrackedRequest& request = open_.at(id);
    if (watcher_ != nullptr) watcher_->answered(request.trace, said.kind);
    const Duration took = now - request.written;
    const std::size_t target = line.target;
    switch (said.kind) {
        case ClientResponse::Kind::Answer: {
            detach(request, took, now);
            client.members.recordSuccess(target, now);
            const std::string expected = "ok " + request.trace;
            if (habits_.checksResults && said.body.substr(0, expected.size()) != expected) {
                tally_.broken.note(tally_.broken.wrongResult,
                                   "a result that no run made for " + request.trace);
                finish(id, End::Failed, now);
                break;
            }
            client.budget.recordSuccess();
            finish(id, End::Completed, now);
            break;
        }
        case ClientResponse::Kind::Busy: {
            detach(request, std::nullopt, now);
            client.members.recordSuccess(target, now);  // it is well enough to turn away
            std::optional<Duration> retryAfter;
            if (const auto pause = numberIn(said.fields, "pause"))
                retryAfter = Duration(static_cast<std::int64_t>(std::min(*pause, 1e9) * 1e6));
            tryFailed(id, now, ExecutionState::NotStarted, End::Rejected, retryAfter,
                      said.fields.contains("terminal"));
            break;
        }
        case ClientResponse::Kind::Failed:
        case ClientResponse::Kind::Exception:
        case ClientResponse::Kind::Goaway:
            detach(request, std::nullopt, now);
            client.members.recordFailure(target, now, client.chance);
            tryFailed(id, now, ExecutionState::Unknown, End::Failed);
            break;
    }
    if (line.goaway && line.open.empty()) return lineEnded(line, net::ConnectionEnd::Unused);
    sendWaiting(client, target, now);
    // From here the agenda may have an earlier entry than the timer, or nothing
    // is left to wait for.
    if (habits_.closed > 0 || (!next_ && open_.empty()))
        soon();
    else
        wake();
}

void Clients::lineEnded(Line& line, net::ConnectionEnd end) {
    const Duration now = clocks_.steady();
    Client& client = *clients_[line.client];
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
            client.members.recordHealthCheck(target, false, now, client.chance);
        }
        gone_.push_back(std::move(client.checks[target]));
    } else {
        auto& lines = client.lines[target];
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
        TrackedRequest& request = at->second;
        detach(request, std::nullopt, now);
        // What may run once only is sent again only where the server has said that
        // it takes no more there.
        const bool harmless =
            line.goaway ||
            terms_.requestClasses[static_cast<std::size_t>(request.planned.requestClass)].idempotency ==
                Idempotency::Idempotent;
        const bool crossed = !refused && !line.kiosk && harmless && now - request.written < kCrossing &&
                             !request.sentAgain &&
                             (end == net::ConnectionEnd::PeerClosed || end == net::ConnectionEnd::Reset);
        if (crossed) {
            request.sentAgain = true;
            ++tally_.links.sentAgain;
            request.worst = End::ConnectionLost;
            if (!put(id, request, target, now)) agenda(id, request, now);
            continue;
        }
        // One broken connection is one sign, however many requests were on it.
        if (!std::exchange(booked, true)) client.members.recordFailure(target, now, client.chance);
        tryFailed(id, now, refused ? ExecutionState::NotStarted : ExecutionState::Unknown,
                  End::ConnectionLost);
    }
    sendWaiting(client, target, now);
    soon();
}

void Clients::check(Duration now) {
    if (now < nextSweep_) return;
    nextSweep_ = now + kSweep;
    const bool checks = habits_.checksEvery > 0ns && now >= nextCheck_;
    if (checks) nextCheck_ = now + habits_.checksEvery;
    for (auto& client : clients_)
        for (std::size_t target = 0; target < habits_.targets.size(); ++target) {
            // Connections that hang in opening or that nobody has used for long are
            // closed.
            auto& lines = client->lines[target];
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
            auto& line = client->checks[target];
            if (line && !line->open.empty()) {  // the one before has had no answer
                lineEnded(*line, net::ConnectionEnd::TimedOut);
            }
            if (!line) {
                line = std::make_unique<Line>(*this, client->number / static_cast<std::size_t>(workers_),
                                              target, true);
                line->begun = line->used = now;
                line->connection = std::make_unique<net::Connection>(loop_, habits_.targets[target], *line,
                                                                     net::BufferLimits{65536, 65536});
            }
            line->connection->send(writeHealthCheck(++line->sequence, habits_.thorough));
            line->open.emplace(line->sequence, 0);
        }
}

}  // namespace cottonwing::loadtest
