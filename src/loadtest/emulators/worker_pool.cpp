#include "loadtest/emulators/worker_pool.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "worker_pool/protocol.h"

namespace cottonwing::loadtest {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {
constexpr std::size_t kNoticesKept = 4000;
constexpr Duration kWatch = 20ms;
}  // namespace

struct WorkerPool::Link : net::ConnectionHandler {
    explicit Link(WorkerPool& all) : owner(all) {}
    void arrived(net::Connection& from) override {
        while (connection && !closing) {
            const std::size_t end = from.input().find('\n', 0);
            if (end == from.input().size()) return;
            const std::string line(from.input().peek(end, scratch));
            from.input().drop(end + 1);
            owner.hear(line);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override {
        closing = true;
        connection.reset();
    }
    WorkerPool& owner;
    std::unique_ptr<net::Connection> connection;
    std::string scratch;
    bool closing = false;
};

WorkerPool::WorkerPool(net::Loop& loop, std::size_t instance, const net::Address& at, const PoolTerms& terms,
                       InvariantChecker& checker)
    : loop_(loop),
      instance_(instance),
      at_(at),
      terms_(terms),
      checker_(checker),
      cores_(terms.cores),
      upAt_(steadyNow() + terms.startsAfter),
      cold_(terms.cold),
      pace_(loop, [this] { pump(); }) {
    listen();
    cores_.start(upAt_);
    upSince_ = upAt_;
    pace_.startAt(upAt_);
}

WorkerPool::~WorkerPool() = default;

void WorkerPool::listen() {
    listener_ = std::make_unique<net::Listener>(
        loop_, at_,
        [this](net::PendingConnection socket) {
            auto link = std::make_unique<Link>(*this);
            link->connection.reset(new net::Connection(loop_, socket, *link, {4 << 20, 16 << 20}));
            older_ = std::move(link_);  // a new link replaces the one before it
            if (older_) older_->connection.reset(), older_->closing = true;
            link_ = std::move(link);
            rest_.clear();
        },
        [] { return false; });
}

void WorkerPool::write(const std::string& line) {
    if (!link_ || link_->closing || !link_->connection) return;
    link_->connection->send(std::exchange(rest_, "") + line);
}

void WorkerPool::notice(std::string line) {
    notices_.emplace_back(lastNotice_, line);
    if (notices_.size() > kNoticesKept) notices_.pop_front();
    if (waitsBound_ || !boundOnce_) return;
    ++pieces_;
    if (terms_.twiceEvery > 0 && pieces_ % static_cast<std::uint64_t>(terms_.twiceEvery) == 0) write(line);
    if (terms_.piecesEvery > 0 && pieces_ % static_cast<std::uint64_t>(terms_.piecesEvery) == 0) {
        // The rest follows with the next look, a few milliseconds on: the reader
        // has half a line until then.
        write(line.substr(0, line.size() / 2));
        return void(rest_ += line.substr(line.size() / 2));
    }
    write(line);
}

void WorkerPool::sayBound(std::uint64_t after) {
    const Duration now = steadyNow();
    write(
        Json{{"type", "bound"}, {"state", cold_ ? "cold" : "warm"}, {"took", (now - upSince_) / 1ms}}.dump() +
        "\n");
    boundOnce_ = true;
    for (const auto& [number, line] : notices_)
        if (number > after) write(line);
}

void WorkerPool::hear(const std::string& line) {
    const Json all = Json::parse(line, nullptr, false);
    if (!all.is_object()) return link_->connection.reset();
    const std::string type = all.value("type", ""), job = all.value("job", "");
    const Duration now = steadyNow();
    reportEndedSegments(now);  // what had ended before this message came, a suspension does not undo
    const auto known = names_.find(job);
    if (type == "bind") {
        const auto after = all.value("n", std::uint64_t{0});
        if (now < upAt_)
            waitsBound_ = after;
        else
            sayBound(after);
    } else if (type == "spawn") {
        if (known != names_.end()) return;
        const auto body = worker_pool::decodeBase64(all.value("data", ""));
        spawn(job, body.value_or(""));
    } else if (type == "suspend") {
        if (known == names_.end()) return;
        cores_.remove(known->second, now);
        finish(known->second, "halted", "");
    } else if (type == "supply") {
        if (known == names_.end()) return;
        Job& supplied = jobs_.at(known->second);
        if (!std::exchange(supplied.blocked, false)) return;
        checker_.callEnded(job, false);
        cores_.add(known->second, supplied.segment, now);
    } else if (type == "poll") {
        write(Json{{"type", "polled"},
                   {"ref", all.value("ref", "")},
                   {"gauges",
                    {cores_.busy(), static_cast<double>(cores_.running()),
                     checker_.memoryKb(instance_) / terms_.heapKb, 1.0}}}
                  .dump() +
              "\n");
    } else if (type == "verify") {
        write(Json{{"type", "verified"}, {"ref", all.value("ref", "")}, {"state", "ok"}}.dump() + "\n");
    } else if (type != "proceed") {
        return link_->connection.reset();
    }
    pump();
}

void WorkerPool::spawn(const std::string& name, const std::string& body) {
    char first[17] = "";
    long long work = 0, call = 0;
    int calls = 0, fails = 0;
    if (std::sscanf(body.c_str(), "cw1 %16s %lld %d %lld %d;", first, &work, &calls, &call, &fails) != 5)
        return write(Json{{"type", "unknown"}, {"state", "spawn"}, {"job", name}}.dump() + "\n");
    const Duration now = steadyNow();
    ++spawns_;
    checker_.spawned(instance_, name, first, now);
    const std::uint64_t id = nextJob_++;
    Job& job = jobs_[id];
    job.name = name;
    job.first = first;
    job.callsLeft = calls;
    job.callMicros = call;
    job.fails = fails != 0;
    job.since = now;
    job.segment = static_cast<double>(work) / 1e6 / (calls + 1);
    names_[name] = id;
    cores_.add(id, job.segment, now);
}

void WorkerPool::segmentEnded(std::uint64_t id) {
    Job& job = jobs_.at(id);
    if (job.callsLeft > 0) {
        --job.callsLeft;
        job.blocked = true;
        const std::string body = "call " + job.name + " " + std::to_string(job.callMicros);
        ++lastNotice_;
        return notice(Json{{"type", "blocked"},
                           {"n", lastNotice_},
                           {"job", job.name},
                           {"data", worker_pool::encodeBase64(body)}}
                          .dump() +
                      "\n");
    }
    if (job.fails) return finish(id, "failed", "");
    finish(id, "ok", "ok " + job.name);
}

void WorkerPool::reportEndedSegments(Duration now) {
    for (const std::uint64_t id : cores_.ended(now)) segmentEnded(id);
}

void WorkerPool::finish(std::uint64_t id, const char* state, const std::string& result) {
    const Job job = jobs_.at(id);
    jobs_.erase(id);
    names_.erase(job.name);
    checker_.finished(job.name);
    ++lastNotice_;
    notice(Json{{"type", "finished"},
                {"n", lastNotice_},
                {"job", job.name},
                {"state", state},
                {"took", static_cast<double>((steadyNow() - job.since).count()) / 1e6},
                {"data", worker_pool::encodeBase64(result)}}
               .dump() +
           "\n");
}

void WorkerPool::pump() {
    if (gone_) return;
    const Duration now = steadyNow();
    if (now < upAt_) return pace_.startAt(upAt_);
    if (waitsBound_) sayBound(*std::exchange(waitsBound_, std::nullopt));
    reportEndedSegments(now);
    if (!rest_.empty() && now >= lookAt_) write("");
    watch(now);
    Duration next = lookAt_;
    if (const auto end = cores_.nextEnd()) next = std::min(next, *end);
    pace_.startAt(next);
}

// The crowd that makes it fall over is a mean, so a sample every now and then
// tells.
void WorkerPool::watch(Duration now) {
    if (now < lookAt_) return;
    lookAt_ = now + kWatch;
    if (terms_.endsAtCalls) endWhatIsOver();
    crowd_.emplace_back(now, static_cast<double>(cores_.running()));
    crowdSum_ += crowd_.back().second;
    while (crowd_.front().first < now - terms_.fallOver)
        crowdSum_ -= crowd_.front().second, crowd_.pop_front();
    const bool whole = now - upSince_ > terms_.fallOver;
    const double mean = crowdSum_ / static_cast<double>(crowd_.size());
    if (whole && mean > terms_.cores.cores * terms_.fallMultiple && !std::exchange(fell_, true))
        checker_.fellOver(instance_, "a mean crowd of " + std::to_string(mean) + " on its cores");
}

// Those at a call whose request is over, as the pool of the platform ends them.
void WorkerPool::endWhatIsOver() {
    std::vector<std::uint64_t> over;
    for (const auto& [id, job] : jobs_)
        if (job.blocked && !checker_.waits(job.name)) over.push_back(id);
    for (const std::uint64_t id : over) finish(id, "halted", "");
}

std::size_t WorkerPool::atCalls() const {
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) { return entry.second.blocked; }));
}

void WorkerPool::slow(double factor) {
    cores_.setSlow(factor, steadyNow());
    pump();
}

void WorkerPool::breakLink() {
    if (link_) link_->connection.reset(), link_->closing = true;
}

void WorkerPool::crash() {
    gone_ = true;
    listener_.reset();
    breakLink();
    for (const auto& [id, job] : jobs_) checker_.finished(job.name);
    jobs_.clear(), names_.clear(), notices_.clear();
    lastNotice_ = 0;
    waitsBound_.reset();
    boundOnce_ = false;
    cores_.start(steadyNow());
}

void WorkerPool::retryAfter(bool cold) {
    gone_ = false;
    cold_ = cold;
    upAt_ = upSince_ = steadyNow() + terms_.startsAfter;
    cores_.start(upAt_);
    crowd_.clear();
    crowdSum_ = 0;
    fell_ = false;
    listen();
    pace_.startAt(upAt_);
}

}  // namespace cottonwing::loadtest
