// The owner of a command from its reading to its answer. Gathers what came in during one turn of the loop,
// has the module decide once, and carries out what it wrote. Knows no protocol: commands come in and answers
// go out by a Door, runs and calls by the links below.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/loop.h"
#include "overload/overload_controller.h"
#include "state/idempotency_keys.h"
#include "telemetry/counters.h"
#include "telemetry/log.h"

namespace cottonwing::request {

// An id as all wires give it: 16 hex digits.
std::optional<RequestId> parseRequestId(std::string_view text);

// Where a command came from and its answer goes to; each takes one answer a command.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    virtual void completed(RequestId id, std::string_view result) = 0;
    virtual void rejected(RequestId id, const Pushback& pushback) = 0;
    virtual void failed(RequestId id) = 0;
    virtual void unknownToExecutor(
        RequestId id) = 0;  // scrapped, as what runs commands knows of no such command
    virtual void closeIdleConnections(Duration unusedFor) = 0;
};

// How a body is to be understood by what runs it.
enum class PayloadFormat {
    Plain,  // the command's own bytes
    Scgi    // a whole SCGI request, and the result a whole reply
};

// A command as a protocol brings it: name is its id as it was given; answers go to the door it came by, the
// first one where none is named.
struct IncomingRequest {
    Request request;
    std::string externalId, body;
    std::string idempotencyKey;  // the idempotency key, where its profile is keyed: the same in all tries of
                                 // a request
    PayloadFormat format = PayloadFormat::Plain;
    std::uint64_t routingKey = 0;  // what it is about, for those that route by it
    ResponseSink* sink = nullptr;
};

// What a run is started with; due: when nobody waits for it any more, on the Unix clock.
struct RunSpec {
    const std::string& externalId;
    int requestClass;
    std::string_view body;
    PayloadFormat format;
    std::uint64_t routingKey;
    Duration deadline;
};

// The link to what runs commands.
class Executor {
public:
    virtual ~Executor() = default;
    virtual void start(const RunSpec& run) = 0;
    virtual void cancel(const std::string& name) = 0;
    virtual void supplyReply(const std::string& name, std::string_view reply) = 0;
    virtual void skipDependencyCall(
        const std::string& name) = 0;  // go on without the call that the run waits for
    virtual void requestGauges() = 0;
    // Does a little work; tells how it went, or nothing where no word came in time.
    virtual void verifyWork(std::function<void(std::optional<bool>)> told) = 0;
};

// The link to the dependency.
class DependencyClient {
public:
    virtual ~DependencyClient() = default;
    virtual void startCall(RequestId id, const std::string& name, Duration patience,
                           std::string_view body) = 0;
    virtual void abandonCall(RequestId id) = 0;
};

class RequestManager {
public:
    // mostBytes: what the bodies of all commands in hand may take; keyBytes: idempotency keys and results.
    RequestManager(net::Loop& loop, const ControllerConfig& terms, std::size_t mostBytes,
                   std::size_t keyBytes, telemetry::Log& log, telemetry::Counters& counters);

    void connect(ResponseSink& door, Executor& runs, DependencyClient& calls) {
        doors_ = {&door}, runs_ = &runs, calls_ = &calls;
    }
    void addResponseSink(ResponseSink& door) { doors_.push_back(&door); }
    void onHealthChange(std::function<void(bool)> told) { healthTold_ = std::move(told); }

    // From the door.
    // Also for one that ended in this turn: the module has yet to hear of it, and would take the two for one.
    bool contains(RequestId id) const { return table_.contains(id) || ended_.contains(id); }
    void accept(IncomingRequest arrival);
    void clientCancelled(RequestId id);

    // From the runs. up: the machine is there; it may be cold, and it started that long ago.
    void executorReady(bool cold, Duration ago);
    void runWaitsForDependency(RequestId id, std::string callBody);
    void runCompleted(RequestId id, Outcome outcome, Duration took, std::string_view result);
    void runUnknownToExecutor(RequestId id);
    void updateGauges(const Gauges& gauges);

    // From the calls.
    void dependencyCallCompleted(RequestId id, Outcome outcome, Duration took, std::string_view reply);

    void beginShutdown(Duration stopAt);
    void processEvents();

    // Good health, from the module's word alone.
    bool healthy() const { return well_; }
    // And whether work gets done: seen from a run that has ended well since the last such check or, without
    // one, from new work.
    void checkWorkGetsDone(std::function<void(bool)> told);
    std::optional<double> advertisedLoadShare() const { return freeValue_; }
    std::size_t unansweredCount() const { return unanswered_; }
    std::size_t trackedCount() const { return table_.size(); }
    // What is with the machine, said again on a new link after one that was lost then.
    void resumeRuns(Duration lostAt);

private:
    struct Owned {
        std::string name, body, key, callBody, supplied;
        Duration startedAt{0}, overAt{0};  // overAt: when its answer was given or its caller left
        Duration suppliedAt{0}, due{0};    // suppliedAt: when it was last told how to go on after a call
        ResponseSink* door = nullptr;
        std::uint64_t subject = 0;
        PayloadFormat format = PayloadFormat::Plain;
        int profile = 0;
        bool answered = false, left = false, running = false, calling = false;
        bool holdsKey = false, joined = false;  // the first try of its key; one that waits for that try
        bool leftOut = false;                   // told to go on without its call, rather than with a reply
        bool unsure = false;    // may not be repeated, and its start may be lost with a link of the pool
        std::size_t bytes = 0;  // counted for it
        bool waiting() const { return !answered && !left; }
    };
    using Table = std::unordered_map<RequestId, Owned>;
    static constexpr std::size_t kEachTakes = 1024;  // of memory, beside its bodies

    struct Decision {
        enum class Kind {
            Start,
            Bounce,
            Scrap,
            Halt,
            Call,
            LeaveOut,
            Join,
            Health,
            FreeValue,
            CloseIdle,
            Wake
        } kind;
        RequestId id = 0;
        Duration time{0};
        double value = 0;
        bool yes = false;
    };

    // Keeps what the module writes until it is done.
    class Gathered : public DecisionSink {
    public:
        explicit Gathered(telemetry::Log& log) : log_(log) {}
        void startRun(RequestId id) override { all.push_back({Decision::Kind::Start, id}); }
        void reject(RequestId id, const Pushback& pushback) override {
            all.push_back({Decision::Kind::Bounce, id, pushback.retryAfter, 0, pushback.retryElsewhere});
        }
        void fail(RequestId id) override { all.push_back({Decision::Kind::Scrap, id}); }
        void cancelRun(RequestId id) override { all.push_back({Decision::Kind::Halt, id}); }
        void callDependency(RequestId id, Duration patience) override {
            all.push_back({Decision::Kind::Call, id, patience});
        }
        void skipDependencyCall(RequestId id) override { all.push_back({Decision::Kind::LeaveOut, id}); }
        // Keys are ours, in our own memory: no entry of the module's costs what commands are booked for.
        void retainKey(RequestId, Duration) override { notCarried("keep"); }
        void releaseKey(RequestId) override { notCarried("forget"); }
        void joinDuplicate(RequestId id) override { all.push_back({Decision::Kind::Join, id}); }
        void setHealth(bool good) override {
            all.push_back({Decision::Kind::Health, 0, Duration(0), 0, good});
        }
        void advertiseLoadShare(double value) override {
            all.push_back({Decision::Kind::FreeValue, 0, Duration(0), value});
        }
        void closeIdleConnections(Duration unusedFor) override {
            all.push_back({Decision::Kind::CloseIdle, 0, unusedFor});
        }
        void scheduleTick(Duration wait) override { all.push_back({Decision::Kind::Wake, 0, wait}); }
        void log(std::string_view line) override { log_.info("module", line); }

        std::vector<Decision> all;  // emptied by carrying them out

    private:
        void notCarried(const char* what) { log_.error("backend", what); }
        telemetry::Log& log_;
    };

    void carryOut(const Decision& decision);
    void startRun(const Owned& owned);
    void answered(Table::iterator at, telemetry::Count kind);
    void dropIfDone(Table::iterator at);
    void tellJoined(RequestId id, state::IdempotencyKeys::Known known);
    void tellJoined(const std::vector<RequestId>& ids, state::IdempotencyKeys::Known known);
    void askAfterUnsure(Duration now);
    void ring();

    const ControllerConfig terms_;
    const std::size_t mostBytes_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    net::Timer alarm_;
    std::vector<ResponseSink*> doors_;
    Executor* runs_ = nullptr;
    DependencyClient* calls_ = nullptr;
    std::function<void(bool)> healthTold_;

    std::unique_ptr<OverloadController> controller_;  // there once the machine is
    Gathered gathered_;
    EventBatch round_;  // what came in since the last turn
    bool fresh_ = false;
    Duration last_{0}, alarmAt_{0};
    Gauges gauges_;
    Duration gaugesAt_{0};
    bool well_ = false;
    bool workSeen_ = false;  // a run has ended well since work was last checked
    std::optional<double> freeValue_;
    Table table_;                          // emptied by answers, by ends of runs and by callers that leave
    std::unordered_set<RequestId> ended_;  // out of the table in this turn; emptied by the next round
    state::IdempotencyKeys keys_;
    std::size_t unsure_ = 0;  // rows that are
    std::size_t unanswered_ = 0;
    std::size_t bytes_ = 0;  // of the bodies in the table
};

}  // namespace cottonwing::request
