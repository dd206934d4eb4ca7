// For the module: a backend with its sidecars left out, which keeps what the module wrote and judges it by a
// model of the four rules that shares nothing with the module's own books. For the program: stand-ins on
// loopback for the pool, the records service, the registry and a sidecar, turned by the program's own loop.
#pragma once

#include <gtest/gtest.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "overload/overload_controller.h"
#include "server.h"

namespace cottonwing::testing {

using namespace std::chrono_literals;

inline ControllerConfig plainTerms() {
    ControllerConfig terms;
    terms.seed = 7;
    terms.requestClasses = {{Idempotency::Idempotent, 2s, 0, 5s, 5s, 1, 0, 0, true},
                            {Idempotency::WithKey, 2s, 0, 5s, 3s, 4, 0.2, 0, true},
                            {Idempotency::None, 2s, 0, 5s, 5s, 2, 0, 0.5, true}};
    terms.goalWorstClass = 0.2;
    terms.peerCount = 4;
    terms.cores = 2;
    terms.coldCapacityFraction = 0.2;
    terms.warmUpTime = 18s;
    terms.memoryLimitKb = 4000;
    terms.idempotencyKeyKb = 20;
    terms.runMemoryFactor = 4;
    terms.dependency = DependencyKind::Tier;
    terms.drainGrace = 1s;
    terms.overloadFactor = 4;
    terms.overloadWindow = 1500ms;
    terms.dependencyQuotaWindow = 5s;
    terms.abandonedCallTime = 200ms;
    terms.retryAfterAllowed = true;
    terms.maxRetryAfter = 1s;
    terms.maxConnectionIdle = 30s;
    return terms;
}

// One backend's machine as the module sees it; every decision is checked as it is written.
class Machine : public DecisionSink {
public:
    enum class At { Hold, Cores, Call, Below, Joined };
    struct Work {
        Request command;
        Duration reached{0}, due{0}, callEnds{0};
        At at = At::Hold;
        bool answered = false, left = false, ran = false, calledBefore = false, lastCallNeverRan = true;
    };

    explicit Machine(const ControllerConfig& terms)
        : terms(terms), controller(makeOverloadController(terms)) {}
    ~Machine() override {
        for (const std::string& what : broken) ADD_FAILURE() << what;
    }
    void rule(bool kept, const std::string& what) {
        if (!kept) broken.push_back(what);
    }

    ControllerConfig terms;
    std::unique_ptr<OverloadController> controller;
    Duration now = 1000s, noticeAt{-1}, stopAt{-1}, born = now;
    Duration patience{0}, wake{-1}, retryAfter{0};
    std::map<RequestId, Work> work;
    std::map<RequestId, std::pair<Duration, RequestId>> ranTags;  // tag (first try) -> arrival of the run
    std::map<RequestId, Duration> kept;
    std::vector<std::string> logs, broken;
    std::vector<double> crowd, below;
    std::vector<Duration> lingering;
    Duration idle{-1};
    std::optional<double> asking;  // what the gauge says, where it is not what runs
    int starts = 0, halts = 0, bounces = 0, scraps = 0, calls = 0, out = 0, leftOut = 0;
    bool good = false;

    Request command(RequestId id, int profile = 0, Duration left = 5s) {
        Request c;
        c.id = id;
        c.requestClass = profile;
        c.deadline = now + left;
        c.memoryKb = 20;
        return c;
    }

    void step(EventBatch round, Duration passed = 20ms) {
        now += passed;
        round.now = now;
        if (wake >= 0ns && now >= wake && !round.gauges) {
            round.gauges = Gauges{0.5, asking.value_or(on(At::Cores)), 0.1, 3.0};
            wake = -1ns;
        }
        if (round.shutdownAt && noticeAt < 0ns) noticeAt = now, stopAt = *round.shutdownAt;
        for (const Request& c : round.arrivals) {
            Work& w = work[c.id];
            w.command = c;
            w.reached = now - c.queuedBeforeRead;
            w.due =
                std::max(c.deadline.value_or(w.reached + terms.requestClasses[c.requestClass].timeout), now);
        }
        for (const Completion& r : round.dependencyResults) {
            Work& w = work.at(r.id);
            if (r.outcome == Outcome::TimedOut) lingering.push_back(now + terms.abandonedCallTime);
            w.at = r.outcome == Outcome::Ok ? At::Cores : At::Call;
            w.lastCallNeverRan = r.outcome == Outcome::ResourceExhausted ||
                                 r.outcome == Outcome::Unreachable || r.outcome == Outcome::LocalLimit;
            if (r.outcome == Outcome::Ok) w.calledBefore = false;
            --out;
        }
        for (const RequestId id : round.waitingForDependency)
            work.at(id).at = At::Call, work.at(id).calledBefore = false;
        for (const Completion& r : round.runResults) {
            if (work.at(r.id).at == At::Below) --out;
            work.erase(r.id);
        }
        for (const RequestId id : round.clientCancellations) {
            Work& w = work.at(id);
            w.left = true;
            if (w.at == At::Hold || w.at == At::Joined) work.erase(id);
        }
        controller->decide(round, *this);
        judge(round);
    }
    void step(Duration passed = 20ms) { step(EventBatch{}, passed); }

    int on(At place) const {
        return static_cast<int>(std::count_if(work.begin(), work.end(),
                                              [&](const auto& entry) { return entry.second.at == place; }));
    }
    Idempotency repeat(const Work& w) const {
        return terms.requestClasses[w.command.requestClass].idempotency;
    }
    RequestId tag(const Work& w) const {
        return w.command.duplicateOf != 0 ? w.command.duplicateOf : w.command.id;
    }
    double memoryKb() const {
        double sum = 0;
        for (const auto& [id, w] : work)
            sum += w.command.memoryKb * (w.at == At::Hold || w.at == At::Joined ? 1 : terms.runMemoryFactor);
        for (const auto& [id, until] : kept) sum += until > now ? terms.idempotencyKeyKb : 0;
        return sum;
    }

    // Rules 1 and 4, after every round.
    void judge(const EventBatch&) {
        for (const auto& [id, w] : work)
            if (!w.answered && !w.left) {
                rule(now <= w.due + 80ms, "lost");
                if (stopAt >= 0ns) rule(now < stopAt, "unanswered at the stop");
            }
        rule(memoryKb() <= terms.memoryLimitKb, "fell over: memory");
        crowd.push_back(on(At::Cores));
        const std::size_t over = static_cast<std::size_t>(terms.overloadWindow / 20ms);
        if (crowd.size() >= over) {
            double mean = 0;
            for (std::size_t i = crowd.size() - over; i < crowd.size(); ++i) mean += crowd[i] / over;
            const double warm =
                std::min(1.0, terms.coldCapacityFraction + (now - born) / (1.0 * terms.warmUpTime));
            rule(mean <= terms.cores * (1 + (terms.overloadFactor - 1) * (terms.startsCold ? warm : 1)),
                 "crowd");
        }
        std::erase_if(lingering, [&](Duration until) { return until <= now; });
        below.push_back(out + static_cast<double>(lingering.size()));
        const auto window = static_cast<std::size_t>(terms.dependencyQuotaWindow / 20ms);
        if (terms.dependency == DependencyKind::Shared && below.size() >= window)
            rule(std::accumulate(below.end() - static_cast<long>(window), below.end(), 0.0) <=
                     terms.dependencyQuota * static_cast<double>(window),
                 "load below");
    }

    void startRun(RequestId id) override {
        ++starts;
        Work& w = work.at(id);
        rule(w.at == At::Hold && !w.answered && !w.ran, "started twice");
        if (noticeAt >= 0ns) rule(w.reached <= noticeAt + terms.drainGrace, "started after the grace");
        if (repeat(w) == Idempotency::WithKey) {
            const auto ran = ranTags.find(tag(w));
            if (ran != ranTags.end())
                rule(w.reached >
                         ran->second.first + terms.requestClasses[w.command.requestClass].idempotencyWindow,
                     "twice");
            const auto entry = kept.find(tag(w));
            rule(entry != kept.end() &&
                     entry->second >=
                         w.reached + terms.requestClasses[w.command.requestClass].idempotencyWindow,
                 "no entry for the window");
            ranTags[tag(w)] = {w.reached, id};
        }
        w.ran = true;
        w.at = At::Cores;
    }
    void answer(RequestId id) {
        Work& w = work.at(id);
        rule(!(w.answered), "answered twice");
        w.answered = true;
    }
    void reject(RequestId id, const Pushback& pushback) override {
        ++bounces;
        retryAfter = pushback.retryAfter;
        rule(pushback.retryAfter <= terms.maxRetryAfter, "come back too late");
        rule(!(work.at(id).ran), "bounced after it ran");
        answer(id);
        work.erase(id);
    }
    void fail(RequestId id) override {
        ++scraps;
        answer(id);
        if (work.at(id).at == At::Hold || work.at(id).at == At::Joined) work.erase(id);
    }
    void cancelRun(RequestId id) override {
        ++halts;
        rule(work.at(id).answered || work.at(id).left, "halted");
    }
    void callDependency(RequestId id, Duration p) override {
        ++calls, ++out;
        patience = p;
        Work& w = work.at(id);
        rule(w.at == At::Call && !w.answered, "not at a call");
        if (repeat(w) != Idempotency::Idempotent)
            rule(!w.calledBefore || w.lastCallNeverRan, "call repeated");
        w.at = At::Below;
        w.callEnds = now + p;
        w.calledBefore = true;
    }
    void skipDependencyCall(RequestId id) override {
        ++leftOut;
        Work& w = work.at(id);
        rule(w.at == At::Call, "left out when at no call");
        rule(terms.requestClasses[w.command.requestClass].degradedValueFraction > 0,
             "left out against the terms");
        w.at = At::Cores;
    }
    void retainKey(RequestId id, Duration lifetime) override { kept[id] = now + lifetime; }
    void releaseKey(RequestId id) override { kept.erase(id); }
    void joinDuplicate(RequestId id) override {
        rule(work.at(id).command.duplicateOf != 0U, "joined to nothing");
        work.at(id).at = At::Joined;
    }
    void setHealth(bool value) override { good = value; }
    void advertiseLoadShare(double) override {
        rule(terms.loadSignal != LoadSignal::None, "free value against the terms");
    }
    void closeIdleConnections(Duration unusedFor) override { idle = unusedFor; }
    void scheduleTick(Duration wait) override { wake = now + wait; }
    void log(std::string_view line) override { logs.emplace_back(line); }
    bool logged(std::string_view word) const {
        return std::any_of(logs.begin(), logs.end(),
                           [&](const std::string& l) { return l.find(word) != l.npos; });
    }
};

// ---- the program on loopback ----------------------------------------------------------------------------

using Json = nlohmann::json;
using Reply = std::map<std::string, std::string>;

// Turns the loop until it is so; a limit that only a defect reaches.
template <typename Condition>
void until(net::Loop& loop, Condition&& condition, Duration limit = 20s) {
    bool late = false;
    net::Timer watch(loop, [&] { late = true; });
    watch.start(limit);
    // A turn that has run its timers may wait for more: the tick has it look again.
    net::Timer tick(loop, [] {});
    while (!condition() && !late) {
        tick.start(10ms);
        loop.turnOnce();
    }
    ASSERT_FALSE(late) << "waited for in vain";
}

// Accepts on loopback, and hands on what is heard on each connection.
class StandIn : private net::Owner {
public:
    using Heard = std::function<void(net::Connection&, std::string&)>;  // takes what it can use off the text
    StandIn(net::Loop& loop, Heard heard, int port = 0)
        : heard_(std::move(heard)),
          listener_(std::make_unique<net::Listener>(
              loop, net::Address{"127.0.0.1", port},
              [this, &loop](net::AcceptedSocket socket) {
                  ++accepted;
                  Line line;
                  line.connection = newConnection(loop, socket);
                  lines.push_back(std::move(line));
              },
              [] { return false; })) {}
    net::Address address() const { return {"127.0.0.1", listener_->port()}; }
    void stopListening() { listener_.reset(); }
    void hangUp() { lines.clear(); }
    void hangUp(net::Connection& on) {
        std::erase_if(lines, [&](const Line& line) { return line.connection.get() == &on; });
    }

    struct Line {
        std::unique_ptr<net::Connection> connection;
        std::string text;
    };
    std::list<Line> lines;
    int accepted = 0;

private:
    std::unique_ptr<net::Connection> newConnection(net::Loop& loop, net::AcceptedSocket socket) {
        return std::unique_ptr<net::Connection>(new net::Connection(loop, socket, *this, {1 << 20, 1 << 20}));
    }
    void arrived(net::Connection& from) override {
        const auto line = std::find_if(lines.begin(), lines.end(),
                                       [&](const Line& l) { return l.connection.get() == &from; });
        std::string scratch;
        line->text += from.input().peek(from.input().size(), scratch);
        from.input().drop(from.input().size());
        heard_(from, line->text);
    }
    void ended(net::Connection& of, net::ConnectionEnd) override { hangUp(of); }

    Heard heard_;
    std::unique_ptr<net::Listener> listener_;
};

// The worker pool: keeps what it is told, and what a test makes it say.
class Pool {
public:
    explicit Pool(net::Loop& loop)
        : server(loop, [this](net::Connection& on, std::string& t) { hear(on, t); }) {}

    void say(Json notice) {
        notice["n"] = ++last;
        said.push_back(notice);
        if (!server.lines.empty() && boundOn == server.accepted) send(notice);
    }
    void finish(const std::string& job, const std::string& state = "ok", const std::string& result = "") {
        running.erase(job);
        say({{"type", "finished"},
             {"job", job},
             {"state", state},
             {"took", 5},
             {"data", worker_pool::encode64(result)}});
    }
    void block(const std::string& job, const std::string& body) {
        say({{"type", "blocked"}, {"job", job}, {"data", worker_pool::encode64(body)}});
    }
    void send(const Json& line) { server.lines.back().connection->send(line.dump() + "\n"); }

    bool up = true, answersPolls = true;
    std::string verifies = "ok";
    std::map<std::string, std::string> running, supplied, kinds;  // by job: body, reply, profile
    std::vector<std::string> halted, refused, passed;
    std::vector<Json> binds, said;
    int starts = 0, polls = 0, checks = 0, boundOn = 0;
    std::uint64_t last = 0;
    StandIn server;

private:
    void hear(net::Connection&, std::string& text) {
        for (std::size_t end; (end = text.find('\n')) != text.npos; text.erase(0, end + 1)) {
            const Json all = Json::parse(text.substr(0, end));
            const std::string type = all["type"], job = all.value("job", "");
            const std::string data = worker_pool::decode64(all.value("data", "")).value();
            if (type == "bind") {
                binds.push_back(all);
                boundOn = server.accepted;
                if (!up) continue;
                send({{"type", "bound"}, {"state", "warm"}, {"took", 60000}});
                for (const Json& notice : said)
                    if (notice["n"] > all["n"]) send(notice);
            } else if (type == "spawn") {
                ++starts;
                kinds[job] = all["kind"];
                if (std::erase(refused, job) > 0)
                    send({{"type", "unknown"}, {"state", "spawn"}, {"job", job}});
                else
                    running.emplace(job, data);
            } else if (type == "suspend") {
                halted.push_back(job);
                if (running.contains(job)) finish(job, "halted");
            } else if (type == "supply") {
                supplied[job] = data;
            } else if (type == "pass") {
                passed.push_back(job);
            } else if (type == "poll") {
                ++polls;
                if (answersPolls)
                    send({{"type", "polled"}, {"ref", all["ref"]}, {"gauges", {0.4, 2.0, 0.3, 5}}});
            } else if (type == "verify") {
                ++checks;
                if (!verifies.empty()) send({{"type", "verified"}, {"ref", all["ref"]}, {"state", verifies}});
            } else {
                ADD_FAILURE() << "the pool was told " << type;
            }
        }
    }
};

// An HTTP/1.1 server; answers by a function, or holds the call back where that says nothing.
class HttpStandIn {
public:
    using Answer =
        std::function<std::string(net::Connection&, const std::string& head, const std::string& body)>;
    HttpStandIn(net::Loop& loop, Answer theAnswer, int port = 0)
        : answer(std::move(theAnswer)),
          server(
              loop,
              [this](net::Connection& on, std::string& text) {
                  const std::size_t end = text.find("\r\n\r\n");
                  if (end == text.npos) return;
                  const std::size_t length = std::stoul(text.substr(text.find("Content-Length: ") + 16));
                  if (text.size() < end + 4 + length) return;
                  const std::string head = text.substr(0, end + 2), body = text.substr(end + 4, length);
                  text.clear();
                  heads.push_back(head);
                  bodies.push_back(body);
                  const std::string reply = answer(on, head, body);
                  if (!reply.empty()) on.send(reply);
              },
              port) {}
    static std::string reply(int status, const std::string& body = "", const std::string& headers = "") {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
               (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
               body;
    }
    static std::string header(const std::string& head, const std::string& name) {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == head.npos) return "";
        const std::size_t from = at + name.size() + 4;
        return head.substr(from, head.find("\r\n", from) - from);
    }

    Answer answer;
    std::vector<std::string> heads, bodies;
    StandIn server;
};

// Frames as the published Thrift library writes and reads them.
namespace frames {

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TMemoryBuffer;
namespace protocol = apache::thrift::protocol;

template <typename Write>
std::string frame(const std::string& method, protocol::TMessageType kind, std::int32_t sequence,
                  Write&& write) {
    const auto memory = std::make_shared<TMemoryBuffer>();
    TBinaryProtocol out(memory);
    out.writeMessageBegin(method, kind, sequence);
    out.writeStructBegin("arguments");
    write(out);
    out.writeFieldStop();
    out.writeStructEnd();
    out.writeMessageEnd();
    const std::string content = memory->getBufferAsString();
    std::string head;
    for (int shift = 24; shift >= 0; shift -= 8)
        head.push_back(static_cast<char>(content.size() >> shift & 0xff));
    return head + content;
}

inline std::string serve(std::int32_t sequence, const Reply& fields, const std::string& body) {
    return frame("serve", protocol::T_CALL, sequence, [&](TBinaryProtocol& out) {
        out.writeFieldBegin("fields", protocol::T_MAP, 1);
        out.writeMapBegin(protocol::T_STRING, protocol::T_STRING, static_cast<std::uint32_t>(fields.size()));
        for (const auto& [name, value] : fields) out.writeString(name), out.writeString(value);
        out.writeFieldBegin("body", protocol::T_STRING, 2);
        out.writeBinary(body);
    });
}
inline std::string forget(std::int32_t sequence, std::int32_t which) {
    return frame("forget", protocol::T_ONEWAY, sequence, [&](TBinaryProtocol& out) {
        out.writeFieldBegin("seqid", protocol::T_I32, 1);
        out.writeI32(which);
    });
}
inline std::string isWell(std::int32_t sequence, bool thorough) {
    return frame("isWell", protocol::T_CALL, sequence, [&](TBinaryProtocol& out) {
        out.writeFieldBegin("thorough", protocol::T_BOOL, 1);
        out.writeBool(thorough);
    });
}

struct Read {
    std::string method, kind, body;  // kind: answer, busy, failed, refusal, oneway
    std::int32_t sequence = 0;
    Reply fields;
    bool good = false;
};

inline void readFields(TBinaryProtocol& in, Read& read) {
    std::string name;
    protocol::TType type, key, value;
    std::int16_t id;
    for (in.readFieldBegin(name, type, id); type != protocol::T_STOP; in.readFieldBegin(name, type, id)) {
        if (type == protocol::T_STRING) {
            in.readBinary(read.body);
        } else if (type == protocol::T_BOOL) {
            in.readBool(read.good);
        } else if (type == protocol::T_MAP) {
            std::uint32_t size;
            in.readMapBegin(key, value, size);
            for (std::uint32_t i = 0; i < size; ++i) {
                std::string first, second;
                in.readString(first), in.readString(second);
                read.fields[first] = second;
            }
        } else {
            in.skip(type);
        }
    }
}

inline Read read(const std::string& content) {
    const auto memory = std::make_shared<TMemoryBuffer>();
    memory->write(reinterpret_cast<const std::uint8_t*>(content.data()),
                  static_cast<std::uint32_t>(content.size()));
    TBinaryProtocol in(memory, 0, 0, true, true);
    Read read;
    protocol::TMessageType kind;
    in.readMessageBegin(read.method, kind, read.sequence);
    if (kind == protocol::T_REPLY) {
        std::string name;
        protocol::TType type;
        std::int16_t id;
        in.readFieldBegin(name, type, id);
        read.kind = id == 0 ? "answer" : id == 1 ? "busy" : "failed";
    } else {
        read.kind = kind == protocol::T_ONEWAY ? "oneway" : "refusal";
    }
    readFields(in, read);
    return read;
}

}  // namespace frames

// A sidecar's connection.
class Sidecar : private net::Owner {
public:
    Sidecar(net::Loop& loop, int port)
        : connection(new net::Connection(loop, {"127.0.0.1", port}, *this, {1 << 20, 1 << 20})) {}

    static std::string trace(int number) {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", number);
        return text;
    }
    static Reply fields(int number, const std::string& route = "read", int patience = 4000) {
        return {{"route", route}, {"trace", trace(number)}, {"born", std::to_string(net::unixNow() / 1ms)},
                {"client", "4"},  {"customer", "acme"},     {"patience", std::to_string(patience)},
                {"size", "12.5"}, {"weight", "20.00"},      {"order", "0.5"}};
    }
    // Asks under a new sequence number, which it returns.
    std::int32_t ask(int number, const std::string& body = "body", const std::string& route = "read",
                     int patience = 4000) {
        say(frames::serve(++sequence, fields(number, route, patience), body));
        return sequence;
    }
    void say(const std::string& bytes) { connection->send(bytes); }
    void hangUp() { connection.reset(); }

    std::unique_ptr<net::Connection> connection;
    std::int32_t sequence = 0;
    std::vector<frames::Read> heard;
    std::map<std::int32_t, frames::Read> answers;  // by sequence number
    int twice = 0, goaways = 0;
    bool gone = false;

private:
    void arrived(net::Connection& from) override {
        std::size_t length = 0;
        std::string scratch;
        while (thrift::lookForFrame(from.input(), length) == thrift::FrameState::Whole) {
            heard.push_back(frames::read(std::string(from.input().peek(4 + length, scratch).substr(4))));
            from.input().drop(4 + length);
            if (heard.back().method == "goaway")
                ++goaways;
            else if (!answers.emplace(heard.back().sequence, heard.back()).second)
                ++twice;
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override {
        gone = true;
        connection.reset();
    }
};

inline Json plainSettings() {
    return Json::parse(R"({
        "classes": [{"name": "read", "repeat": "free", "aim_us": 3400000, "deadline_us": 8000000, "worth": 1},
                    {"name": "look", "repeat": "free", "aim_us": 2300000, "deadline_us": 5000000, "worth": 5}],
        "tenants": [{"name": "acme", "quota_per_s": 1000.0}],
        "family_info": {"below": "shared", "calls_over_us": 5000000, "class_calls": [true, false], "cores": 6,
            "degraded_worth": [0, 0], "dep_share": 40, "halt": "suspend", "heap_kb": 30000, "idle_us": 30000000,
            "linger_us": 200000, "own_stats": ["core_use", "on_cores", "heap_share", "links"],
            "passes_deadline": true, "readiness": true, "run_factor": 4, "senders": 3, "signal": "share_of"},
        "obligations": {"drain_grace_us": 200000, "fall_multiple": 8, "overload_for_us": 1500000},
        "permissions": {"max_retry_after_us": 1000000, "retry_after": true}, "peers_total": 3})");
}

inline Json plainStart() {
    return {{"name", "n3"},
            {"listen", "127.0.0.1:0"},
            {"pool", "127.0.0.1:1"},
            {"registry", "127.0.0.1:1"},
            {"records", "127.0.0.1:1"},
            {"seed", "8c1f30d27a5be964"},
            {"stop_ms", 1500},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
            {"settings", plainSettings()}};
}

// Calls use with an environment that names a file of the test's own, which holds all.
template <typename Use>
auto withFile(const Json& all, Use&& use,
              Reply variables = {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}}) {
    const std::string path = ::testing::TempDir() + "cottonwing-start-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << all.dump();
    variables.emplace("GW_CONFIG", path);
    return use([&](const char* key) -> const char* {
        const auto found = variables.find(key);
        return found == variables.end() ? nullptr : found->second.c_str();
    });
}
inline config::ProcessConfig startOf(const Json& all,
                                     Reply variables = {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}}) {
    return withFile(all, config::readProcessConfig, std::move(variables));
}

// One backend and all that it talks to, on one loop.
class Stage {
public:
    explicit Stage(Json start = plainStart())
        : pool(loop),
          records(loop, [](net::Connection&, const std::string&,
                           const std::string& body) { return HttpStandIn::reply(200, "re:" + body); }),
          registry(loop, [](net::Connection&, const std::string&,
                            const std::string&) { return HttpStandIn::reply(204); }),
          log(lines, telemetry::Level::Debug),
          server([&]() -> config::ProcessConfig {
              config::ProcessConfig told = startOf(start);
              told.workerPool = pool.server.address();
              told.dependency = records.server.address();
              told.registry = registry.server.address();
              return told;
          }()) {
        loop.onTrouble([](const std::string& what) { ADD_FAILURE() << what; });
        program = std::make_unique<Server>(loop, server, log, counters);
    }
    void bound() {
        until(loop, [&] { return program->backend().healthy(); });
    }
    template <typename Condition>
    void wait(Condition&& condition) {
        until(loop, condition);
    }
    // The file is replaced and the program told so.
    void readAgain(const Json& all) {
        withFile(all, [&](const auto& told) { program->readAgain(told); });
    }
    int port() const { return program->sidecars().port(); }
    std::uint64_t count(telemetry::Count kind) const { return counters.of(kind); }
    std::uint64_t count(net::ConnectionEnd end) const { return counters.of(end); }
    // Each command read has one kind of answer, or its caller left.
    void expectBooksClosed() const {
        using telemetry::Count;
        EXPECT_EQ(count(Count::RequestsRead), count(Count::Completed) + count(Count::Rejected) +
                                                  count(Count::Failed) + count(Count::ClientCancellations));
        EXPECT_EQ(count(Count::CallsStarted),
                  count(Count::CallsOk) + count(Count::CallsError) + count(Count::CallsResourceExhausted) +
                      count(Count::CallsTimedOut) + count(Count::CallsUnreachable) +
                      count(Count::CallsConnectionLost) + count(Count::CallsSuperseded) +
                      count(Count::CallsAbandoned) + count(Count::CallsLocalLimit) +
                      count(Count::CallsMalformedResponse));
        EXPECT_EQ(program->backend().trackedCount(), 0U);
        EXPECT_EQ(program->records().callsInFlight(), 0U);
    }

    net::Loop loop;
    Pool pool;
    HttpStandIn records, registry;
    std::ostringstream lines;
    telemetry::Log log;
    telemetry::Counters counters;
    config::ProcessConfig server;
    std::unique_ptr<Server> program;
};

}  // namespace cottonwing::testing
