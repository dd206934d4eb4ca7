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

#include "logic.h"
#include "net/loop.h"
#include "report/counters.h"
#include "report/log.h"
#include "state/idempotency_keys.h"

namespace cottonwing::backend {

// An id as all wires give it: 16 hex digits.
std::optional<CommandId> readId(std::string_view text);

// Where a command came from and its answer goes to; each takes one answer a command.
class Door {
public:
    virtual ~Door() = default;
    virtual void handled(CommandId id, std::string_view result) = 0;
    virtual void bounced(CommandId id, Nanos comeBack, bool nowhereElse) = 0;
    virtual void scrapped(CommandId id) = 0;
    virtual void unknown(CommandId id) = 0;  // scrapped, as what runs commands knows of no such command
    virtual void closeIdle(Nanos unusedFor) = 0;
};

// How a body is to be understood by what runs it.
enum class Form {
    Plain,  // the command's own bytes
    Scgi    // a whole SCGI request, and the result a whole reply
};

// A command as a protocol brings it: name is its id as it was given; answers go to the door it came by, the
// first one where none is named.
struct Arrival {
    Command command;
    std::string name, body;
    std::string key;  // the idempotency key, where its profile is keyed: the same in all tries of a request
    Form form = Form::Plain;
    std::uint64_t subject = 0;  // what it is about, for those that route by it
    Door* from = nullptr;
};

// What a run is started with; due: when nobody waits for it any more, on the Unix clock.
struct Run {
    const std::string& name;
    int profile;
    std::string_view body;
    Form form;
    std::uint64_t subject;
    Nanos due;
};

// The link to what runs commands.
class Runs {
public:
    virtual ~Runs() = default;
    virtual void start(const Run& run) = 0;
    virtual void halt(const std::string& name) = 0;
    virtual void supply(const std::string& name, std::string_view reply) = 0;
    virtual void leaveOut(const std::string& name) = 0;  // go on without the call that the run waits for
    virtual void askGauges() = 0;
    // Does a little work; tells how it went, or nothing where no word came in time.
    virtual void verify(std::function<void(std::optional<bool>)> told) = 0;
};

// The link to the dependency.
class Calls {
public:
    virtual ~Calls() = default;
    virtual void begin(CommandId id, const std::string& name, Nanos patience, std::string_view body) = 0;
    virtual void giveUp(CommandId id) = 0;
};

class Backend {
public:
    // mostBytes: what the bodies of all commands in hand may take; keyBytes: idempotency keys and results.
    Backend(net::Loop& loop, const StartTerms& terms, std::size_t mostBytes, std::size_t keyBytes,
            report::Log& log, report::Counters& counters);

    void joinLinks(Door& door, Runs& runs, Calls& calls) { doors_ = {&door}, runs_ = &runs, calls_ = &calls; }
    void alsoDoor(Door& door) { doors_.push_back(&door); }
    void onHealth(std::function<void(bool)> told) { healthTold_ = std::move(told); }

    // From the door.
    // Also for one that ended in this turn: the module has yet to hear of it, and would take the two for one.
    bool has(CommandId id) const { return table_.contains(id) || ended_.contains(id); }
    void take(Arrival arrival);
    void callerLeft(CommandId id);

    // From the runs. up: the machine is there; it may be cold, and it started that long ago.
    void up(bool cold, Nanos ago);
    void parked(CommandId id, std::string callBody);
    void runEnded(CommandId id, Outcome outcome, Nanos took, std::string_view result);
    void runUnknown(CommandId id);
    void gauges(const Gauges& gauges);

    // From the calls.
    void callEnded(CommandId id, Outcome outcome, Nanos took, std::string_view reply);

    void leave(Nanos stopAt);
    void turn();

    // Good health, from the module's word alone.
    bool well() const { return well_; }
    // And whether work gets done: seen from a run that has ended well since the last such check or, without
    // one, from new work.
    void checkWork(std::function<void(bool)> told);
    std::optional<double> freeValue() const { return freeValue_; }
    std::size_t unanswered() const { return unanswered_; }
    std::size_t inHand() const { return table_.size(); }
    // What is with the machine, said again on a new link after one that was lost then.
    void startAgain(Nanos lostAt);

private:
    struct Owned {
        std::string name, body, key, callBody, supplied;
        Nanos startedAt{0}, overAt{0};  // overAt: when its answer was given or its caller left
        Nanos suppliedAt{0}, due{0};    // suppliedAt: when it was last told how to go on after a call
        Door* door = nullptr;
        std::uint64_t subject = 0;
        Form form = Form::Plain;
        int profile = 0;
        bool answered = false, left = false, running = false, calling = false;
        bool holdsKey = false, joined = false;  // the first try of its key; one that waits for that try
        bool leftOut = false;                   // told to go on without its call, rather than with a reply
        bool unsure = false;    // may not be repeated, and its start may be lost with a link of the pool
        std::size_t bytes = 0;  // counted for it
        bool waiting() const { return !answered && !left; }
    };
    using Table = std::unordered_map<CommandId, Owned>;
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
        CommandId id = 0;
        Nanos time{0};
        double value = 0;
        bool yes = false;
    };

    // Keeps what the module writes until it is done.
    class Gathered : public DecisionWriter {
    public:
        explicit Gathered(report::Log& log) : log_(log) {}
        void start(CommandId id) override { all.push_back({Decision::Kind::Start, id}); }
        void bounce(CommandId id, Nanos comeBack, bool nowhereElse) override {
            all.push_back({Decision::Kind::Bounce, id, comeBack, 0, nowhereElse});
        }
        void scrap(CommandId id) override { all.push_back({Decision::Kind::Scrap, id}); }
        void halt(CommandId id) override { all.push_back({Decision::Kind::Halt, id}); }
        void call(CommandId id, Nanos patience) override {
            all.push_back({Decision::Kind::Call, id, patience});
        }
        void leaveOut(CommandId id) override { all.push_back({Decision::Kind::LeaveOut, id}); }
        // Keys are ours, in our own memory: no entry of the module's costs what commands are booked for.
        void keep(CommandId, Nanos) override { notCarried("keep"); }
        void forget(CommandId) override { notCarried("forget"); }
        void join(CommandId id) override { all.push_back({Decision::Kind::Join, id}); }
        void health(bool good) override { all.push_back({Decision::Kind::Health, 0, Nanos(0), 0, good}); }
        void freeValue(double value) override {
            all.push_back({Decision::Kind::FreeValue, 0, Nanos(0), value});
        }
        void closeIdle(Nanos unusedFor) override { all.push_back({Decision::Kind::CloseIdle, 0, unusedFor}); }
        void wakeAfter(Nanos wait) override { all.push_back({Decision::Kind::Wake, 0, wait}); }
        void log(std::string_view line) override { log_.info("module", line); }

        std::vector<Decision> all;  // emptied by carrying them out

    private:
        void notCarried(const char* what) { log_.error("backend", what); }
        report::Log& log_;
    };

    void carryOut(const Decision& decision);
    void startRun(const Owned& owned);
    void answered(Table::iterator at, report::Count kind);
    void dropIfDone(Table::iterator at);
    void tellJoined(CommandId id, state::IdempotencyKeys::Known known);
    void tellJoined(const std::vector<CommandId>& ids, state::IdempotencyKeys::Known known);
    void askAfterUnsure(Nanos now);
    void ring();

    const StartTerms terms_;
    const std::size_t mostBytes_;
    report::Log& log_;
    report::Counters& counters_;
    net::Timer alarm_;
    std::vector<Door*> doors_;
    Runs* runs_ = nullptr;
    Calls* calls_ = nullptr;
    std::function<void(bool)> healthTold_;

    std::unique_ptr<Decider> decider_;  // there once the machine is
    Gathered gathered_;
    Round round_;  // what came in since the last turn
    bool fresh_ = false;
    Nanos last_{0}, alarmAt_{0};
    Gauges gauges_;
    Nanos gaugesAt_{0};
    bool well_ = false;
    bool workSeen_ = false;  // a run has ended well since work was last checked
    std::optional<double> freeValue_;
    Table table_;                          // emptied by answers, by ends of runs and by callers that leave
    std::unordered_set<CommandId> ended_;  // out of the table in this turn; emptied by the next round
    state::IdempotencyKeys keys_;
    std::size_t unsure_ = 0;  // rows that are
    std::size_t unanswered_ = 0;
    std::size_t bytes_ = 0;  // of the bodies in the table
};

}  // namespace cottonwing::backend
