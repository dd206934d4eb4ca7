#include "scgi/upstream_groups.h"

#include <algorithm>

namespace cottonwing::scgi {

using namespace std::chrono_literals;
using routing::ExecutionState;
using State = routing::OutlierDetector::State;

namespace {

constexpr Duration kTick = 20ms;      // due times are looked at at least this often
constexpr Duration kUseful = 5ms;     // less time than this is not worth an attempt
constexpr Duration kAnswerBy = 20ms;  // given up this long before nobody waits any more

Duration now() { return net::unixNow(); }

// What only says that this server can't do it now; another may.
bool failedStatus(int status) { return status == 502 || status == 503 || status == 504; }

}  // namespace

struct ScgiGroups::Line : net::ConnectionHandler {
    Line(ScgiGroups& all, std::size_t theGroup, std::size_t theServer, RequestId theJob)
        : owner(all), group(theGroup), server(theServer), job(theJob), reader(all.bounds_.reply) {}
    void arrived(net::Connection& from) override {
        while (connection && !from.input().empty()) {
            const std::string_view piece = from.input().front();
            const auto state = reader.read(piece);
            from.input().drop(piece.size());
            if (state != scgi::ReplyReader::State::Partial && from.input().empty())
                return owner.replied(*this);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd end) override { owner.lineEnded(*this, end); }
    ScgiGroups& owner;
    const std::size_t group, server;
    const RequestId job;  // 0: a check
    std::unique_ptr<net::Connection> connection;
    scgi::ReplyReader reader;
    Duration begun{0};
    std::list<std::unique_ptr<Line>>::iterator place;
};

ScgiGroups::ScgiGroups(net::Loop& loop, const std::vector<GroupTerms>& groups,
                       std::vector<std::size_t> groupOf, std::vector<RequestClass> requestClasses,
                       std::vector<std::string> requestClassNames, const GroupBounds& bounds,
                       std::uint64_t seed, request::RequestManager& backend, telemetry::Log& log)
    : loop_(loop),
      groupOf_(std::move(groupOf)),
      requestClasses_(std::move(requestClasses)),
      requestClassNames_(std::move(requestClassNames)),
      bounds_(bounds),
      total_(std::make_shared<net::MemoryBudget>(net::MemoryBudget{bounds.bytes, 0})),
      chance_(static_cast<std::mt19937::result_type>(seed ^ seed >> 32)),
      backend_(backend),
      log_(log),
      timer_(loop, [this] { pump(); }) {
    for (const GroupTerms& terms : groups) {
        groups_.push_back(std::unique_ptr<Group>(new Group{terms,
                                                           routing::OutlierDetector(terms.members),
                                                           routing::LoadBalancer(terms.way),
                                                           routing::RetryBudget(terms.attempts),
                                                           {},
                                                           {}}));
        for (const ServerTerms& server : terms.servers) addServer(*groups_.back(), server);
    }
    timer_.start(kTick);
}

ScgiGroups::~ScgiGroups() = default;

void ScgiGroups::addServer(Group& group, const ServerTerms& terms) {
    const std::size_t at = group.members.add();
    routing::ConcurrencyLimitConfig limit;
    limit.maxLimit = terms.most;
    Server server{terms, routing::ConcurrencyLimit(limit), 0, false, false, nullptr};
    if (at < group.servers.size())
        group.servers[at] = server;
    else
        group.servers.push_back(server);
    group.choice.add(at, terms.weight);
}

std::pair<std::size_t, std::size_t> ScgiGroups::change(const std::vector<GroupTerms>& groups) {
    std::size_t added = 0, removed = 0;
    for (const GroupTerms& terms : groups) {
        const auto found = std::find_if(groups_.begin(), groups_.end(),
                                        [&](const auto& group) { return group->terms.name == terms.name; });
        if (found == groups_.end()) continue;
        Group& group = **found;
        const auto listed = [&](const net::Address& at) {
            return std::find_if(terms.servers.begin(), terms.servers.end(),
                                [&](const ServerTerms& each) { return each.at == at; });
        };
        for (std::size_t at = 0; at < group.servers.size(); ++at) {
            Server& server = group.servers[at];
            if (server.gone || server.leaving) continue;
            const auto still = listed(server.terms.at);
            if (still == terms.servers.end()) {
                // It gets nothing new; its place is free for another once nothing of it
                // is in flight.
                server.leaving = true;
                group.choice.remove(at);
                ++removed;
                if (server.flying == 0) server.gone = true, group.members.remove(at);
            } else if (!(*still == server.terms)) {
                if (still->weight != server.terms.weight) group.choice.setWeight(at, still->weight);
                if (still->most != server.terms.most) {
                    routing::ConcurrencyLimitConfig limit;
                    limit.maxLimit = still->most;
                    server.limit = routing::ConcurrencyLimit(limit);
                }
                server.terms = *still;
            }
        }
        for (const ServerTerms& server : terms.servers) {
            const bool there =
                std::any_of(group.servers.begin(), group.servers.end(), [&](const Server& each) {
                    return !each.gone && !each.leaving && each.terms.at == server.at;
                });
            if (!there) addServer(group, server), ++added;
        }
        group.terms.servers = terms.servers;
        sendWaiting(group, now());
    }
    return {added, removed};
}

std::size_t ScgiGroups::waiting() const {
    std::size_t sum = 0;
    for (const auto& group : groups_) sum += group->waiting.size();
    return sum;
}

std::size_t ScgiGroups::out(std::size_t group) const { return groups_[group]->members.ejectedCount(); }

void ScgiGroups::agenda(RequestId id, Job& job, Duration at) {
    agenda_.erase({job.at, id});
    job.at = at;
    agenda_.emplace(at, id);
    timer_.start(std::clamp(agenda_.begin()->first - now(), 0ns, kTick));
}

void ScgiGroups::start(const request::RunSpec& run) {
    const auto id = request::parseRequestId(run.externalId);
    if (!id || jobs_.contains(*id)) return;
    Job& job = jobs_[*id];
    job.name = run.externalId;
    job.requestClass = run.requestClass;
    job.group = groupOf_[static_cast<std::size_t>(run.requestClass)];
    job.format = run.format;
    job.due = run.deadline - kAnswerBy;
    job.since = now();
    job.subject = run.routingKey;
    job.request =
        run.format == request::PayloadFormat::Scgi
            ? std::string(run.body)
            : scgi::writeRequest(
                  {{"REQUEST_METHOD", "POST"},
                   {"REQUEST_URI", "/" + requestClassNames_[static_cast<std::size_t>(run.requestClass)]},
                   {"HTTP_X_TRACE", run.externalId},
                   {"HTTP_X_DUE_MS", std::to_string(run.deadline / 1ms)}},
                  run.body);
    ++counts_.first;
    begin(*id, now());
}

void ScgiGroups::begin(RequestId id, Duration at) {
    Job& job = jobs_.at(id);
    Group& group = *groups_[job.group];
    if (at + kUseful >= job.due) return finish(id, Outcome::TimedOut, {});
    const auto usable = [&](std::size_t server) {
        return group.members.isUsable(server, at) && !group.servers[server].leaving &&
               group.servers[server].limit.allows(group.servers[server].flying);
    };
    const bool room = lines_.size() < bounds_.connections;
    const auto chosen = room ? group.choice.choose(job.subject, job.server, usable, chance_) : std::nullopt;
    if (!chosen) {
        if (!std::exchange(job.waits, true)) group.waiting.push_back(id);
        return agenda(id, job, job.due);
    }
    job.waits = false;
    job.server = *chosen;
    ++job.attempts;
    ++counts_.attempts;
    counts_.again += job.attempts > 1;
    job.begun = at;
    auto line = std::make_unique<Line>(*this, job.group, *chosen, id);
    line->begun = at;
    line->connection =
        std::make_unique<net::Connection>(loop_, group.servers[*chosen].terms.at, *line,
                                          net::BufferLimits{65536, job.request.size() + 256, total_});
    line->connection->send(job.request);
    job.line = line.get();
    lines_.push_back(std::move(line));
    lines_.back()->place = std::prev(lines_.end());
    ++group.servers[*chosen].flying;
    group.choice.requestStarted(*chosen);
    group.members.requestStarted(*chosen, at);
    // With attempts left and what may be repeated an attempt gets half of what is
    // left, so that another can follow.
    const bool more =
        job.attempts < group.terms.attempts.maxAttempts &&
        requestClasses_[static_cast<std::size_t>(job.requestClass)].idempotency == Idempotency::Idempotent;
    const Duration until = more ? at + (job.due - at) / 2 : job.due;
    agenda(id, job, std::min(until, at + group.terms.connectsWithin));
}

void ScgiGroups::release(Line& line, std::optional<Duration> took, Duration at) {
    Group& group = *groups_[line.group];
    Server& server = group.servers[line.server];
    if (line.job == 0) {
        --checks_;
        server.check = nullptr;
    } else {
        --server.flying;
        group.choice.requestEnded(line.server, took, at);
        if (took) server.limit.recordSuccess(*took, server.flying + 1, at);
        if (const auto job = jobs_.find(line.job); job != jobs_.end()) job->second.line = nullptr;
    }
    line.connection.reset();
    gone_.push_back(std::move(*line.place));
    lines_.erase(line.place);
    if (server.leaving && server.flying == 0 && !server.gone) {
        server.gone = true;
        group.members.remove(line.server);
    }
    timer_.start(0ns);
}

void ScgiGroups::tellStates(Group& group, std::size_t at, State before, Duration when) {
    const State after = group.members.state(at, when);
    const bool was = before == State::Active, is = after == State::Active;
    if (was == is || group.servers[at].gone) return;
    const net::Address& where = group.servers[at].terms.at;
    log_.info("group", group.terms.name + ": " + where.host + ":" + std::to_string(where.port) +
                           (is ? " is used again" : " is left out") + ", " +
                           std::to_string(group.members.ejectedCount()) + " of " +
                           std::to_string(group.members.size()) + " out" +
                           (group.members.inPanicMode() ? ", too many: all are used" : ""));
    if (is) group.servers[at].limit.restart();
}

void ScgiGroups::replied(Line& line) {
    const Duration at = now();
    Group& group = *groups_[line.group];
    const std::size_t server = line.server;
    const auto state = line.reader.state();
    const State before = group.members.state(server, at);
    if (line.job == 0) {
        const bool good = state == scgi::ReplyReader::State::Complete && line.reader.reply().status < 500;
        release(line, std::nullopt, at);
        if (!group.servers[server].leaving) group.members.recordHealthCheck(server, good, at, chance_);
        return tellStates(group, server, before, at);
    }
    const RequestId id = line.job;
    if (state == scgi::ReplyReader::State::Malformed) {
        ++counts_.badReplies;
        release(line, std::nullopt, at);
        group.members.recordFailure(server, at, chance_);
        group.servers[server].limit.recordFailure(at);
        tellStates(group, server, before, at);
        // A reply came, so it ran: only what may run again is tried again.
        return attemptFailed(id, ExecutionState::Unknown, at, "a reply that can't be read");
    }
    Job& job = jobs_.at(id);
    const scgi::Reply reply = line.reader.reply();
    const std::string whole = line.reader.bytes();
    const Duration took = at - line.begun;
    const bool failed = failedStatus(reply.status);
    release(line, failed ? std::nullopt : std::optional(took), at);
    if (reply.status >= 500)
        group.members.recordFailure(server, at, chance_);
    else
        group.members.recordSuccess(server, at);
    tellStates(group, server, before, at);
    if (failed) {
        ++counts_.saidFailed;
        group.servers[server].limit.recordFailure(at);
        job.said = job.format == request::PayloadFormat::Scgi ? whole : reply.body;
        return attemptFailed(id, ExecutionState::Unknown, at, "the server said that it can't");
    }
    group.budget.recordSuccess();
    const bool good = job.format == request::PayloadFormat::Scgi || reply.status < 400;
    finish(id, good ? Outcome::Ok : Outcome::Error,
           job.format == request::PayloadFormat::Scgi ? whole : reply.body);
}

void ScgiGroups::lineEnded(Line& line, net::ConnectionEnd end) {
    const Duration at = now();
    Group& group = *groups_[line.group];
    const std::size_t server = line.server;
    if (end == net::ConnectionEnd::PeerClosed &&
        line.reader.connectionEnded() == scgi::ReplyReader::State::Complete)
        return replied(line);
    const bool refused =
        end == net::ConnectionEnd::ConnectRefused || end == net::ConnectionEnd::ConnectTimedOut;
    (refused ? counts_.refused : counts_.broken) += 1;
    const State before = group.members.state(server, at);
    const RequestId id = line.job;
    release(line, std::nullopt, at);
    if (id == 0) {
        if (!group.servers[server].leaving) group.members.recordHealthCheck(server, false, at, chance_);
        return tellStates(group, server, before, at);
    }
    group.members.recordFailure(server, at, chance_);
    group.servers[server].limit.recordFailure(at);
    tellStates(group, server, before, at);
    attemptFailed(id, refused ? ExecutionState::NotStarted : ExecutionState::Unknown, at,
                  refused ? "no connection" : "the connection broke");
}

void ScgiGroups::attemptFailed(RequestId id, ExecutionState began, Duration at, const char* why) {
    Job& job = jobs_.at(id);
    Group& group = *groups_[job.group];
    group.budget.recordFailure();
    routing::FailedAttempt tried;
    tried.idempotency = requestClasses_[static_cast<std::size_t>(job.requestClass)].idempotency;
    tried.execution = began;
    tried.attempts = job.attempts;
    tried.previousDelay = job.waited;
    tried.deadline = job.due;
    tried.minAttemptTime = kUseful;
    const auto verdict = routing::decideRetry(group.terms.attempts, group.budget, tried, at, chance_);
    ++counts_.notAgain[static_cast<std::size_t>(verdict.reason)];
    if (verdict.reason == routing::RetryDecisionReason::Retry) {
        job.waited = verdict.retryAt - at;
        return agenda(id, job, verdict.retryAt);
    }
    log_.debug("group", job.name + " not tried again (" + routing::nameOf(verdict.reason) + "): " + why);
    // What a server said of its failure is said on as it is; a client of another
    // protocol gets the failure alone.
    if (!job.said.empty() && job.format == request::PayloadFormat::Scgi)
        return finish(id, Outcome::Ok, job.said);
    finish(id, Outcome::Error, {});
}

void ScgiGroups::finish(RequestId id, Outcome outcome, std::string result) {
    const auto at = jobs_.find(id);
    Job job = std::move(at->second);
    agenda_.erase({job.at, id});
    if (job.waits) std::erase(groups_[job.group]->waiting, id);
    jobs_.erase(at);
    backend_.runCompleted(id, outcome, now() - job.since, result);
}

void ScgiGroups::cancel(const std::string& name) {
    const auto id = request::parseRequestId(name);
    if (!id || !jobs_.contains(*id)) return;
    over_.push_back(*id);  // not from within the backend's own turn
    timer_.start(0ns);
}

void ScgiGroups::sendWaiting(Group& group, Duration at) {
    // Each of those that wait is looked at once; one that still finds nobody is
    // behind the others again.
    for (std::size_t left = group.waiting.size(); left > 0; --left) {
        const RequestId id = group.waiting.front();
        Job& job = jobs_.at(id);
        group.waiting.pop_front();
        job.waits = false;
        begin(id, at);
        const auto still = jobs_.find(id);
        if (still == jobs_.end() || !still->second.waits) continue;
        // Nobody may be used: it stays in front, and those behind it need not be
        // looked at.
        group.waiting.pop_back();
        group.waiting.push_front(id);
        return;
    }
}

void ScgiGroups::pump() {
    gone_.clear();
    const Duration at = now();
    for (const RequestId id : std::exchange(over_, {})) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) continue;
        // The client has gone: so does its connection, which tells the server.
        if (found->second.line != nullptr) release(*found->second.line, std::nullopt, at);
        finish(id, Outcome::Cancelled, {});
    }
    while (!agenda_.empty() && agenda_.begin()->first <= at) {
        const RequestId id = agenda_.begin()->second;
        Job& job = jobs_.at(id);
        if (job.waits) {
            finish(id, Outcome::TimedOut, {});
        } else if (job.line == nullptr) {
            begin(id, at);
        } else {
            Line& line = *job.line;
            Group& group = *groups_[job.group];
            const bool more = job.attempts < group.terms.attempts.maxAttempts &&
                              requestClasses_[static_cast<std::size_t>(job.requestClass)].idempotency ==
                                  Idempotency::Idempotent;
            const Duration until = more ? job.begun + (job.due - job.begun) / 2 : job.due;
            const bool open = line.connection->isOpen();
            if (open && at < until) {
                agenda(id, job, until);
                continue;
            }
            ++counts_.timedOut;
            const std::size_t server = line.server;
            const State before = group.members.state(server, at);
            release(line, std::nullopt, at);
            group.members.recordFailure(server, at, chance_);
            group.servers[server].limit.recordFailure(at);
            tellStates(group, server, before, at);
            attemptFailed(id, open ? ExecutionState::Unknown : ExecutionState::NotStarted, at,
                          open ? "no answer in time" : "no connection in time");
        }
    }
    check(at);
    for (const auto& group : groups_) sendWaiting(*group, at);
    timer_.start(agenda_.empty() ? kTick : std::clamp(agenda_.begin()->first - now(), 0ns, kTick));
}

void ScgiGroups::check(Duration at) {
    if (at < nextCheck_) return;
    Duration every = 1s;
    for (std::size_t number = 0; number < groups_.size(); ++number) {
        Group& group = *groups_[number];
        if (group.terms.checksEvery <= 0ns) continue;
        every = std::min(every, group.terms.checksEvery);
        for (std::size_t server = 0; server < group.servers.size(); ++server) {
            Server& each = group.servers[server];
            if (each.gone || each.leaving) continue;
            if (each.check != nullptr) {  // the one before has had no answer
                lineEnded(*each.check, net::ConnectionEnd::TimedOut);
                continue;
            }
            if (lines_.size() >= bounds_.connections) continue;
            auto line = std::make_unique<Line>(*this, number, server, RequestId{0});
            line->begun = at;
            line->connection = std::make_unique<net::Connection>(loop_, each.terms.at, *line,
                                                                 net::BufferLimits{65536, 8192, total_});
            line->connection->send(
                scgi::writeRequest({{"REQUEST_METHOD", "GET"}, {"REQUEST_URI", group.terms.checkPath}}, {}));
            each.check = line.get();
            lines_.push_back(std::move(line));
            lines_.back()->place = std::prev(lines_.end());
            ++checks_;
            ++counts_.checks;
        }
    }
    nextCheck_ = at + every;
}

void ScgiGroups::requestGauges() {
    double most = 0;
    for (const auto& group : groups_)
        for (const Server& server : group->servers)
            if (!server.gone) most += server.limit.limit();
    const double flies = static_cast<double>(flying());
    backend_.updateGauges({most > 0 ? std::min(1.0, flies / most) : 0, flies + static_cast<double>(waiting()),
                           std::nullopt, std::nullopt});
}

void ScgiGroups::verifyWork(std::function<void(std::optional<bool>)> told) {
    const Duration at = now();
    bool any = false;
    for (const auto& group : groups_)
        for (std::size_t server = 0; server < group->servers.size(); ++server)
            any = any || (!group->servers[server].gone && group->members.isUsable(server, at));
    told(any);
}

}  // namespace cottonwing::scgi
