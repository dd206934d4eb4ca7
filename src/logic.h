// The interface of cottonwing's decision module: the terms a backend starts under, the facts of one
// round, and the writer that takes the decisions. It knows of no wire, and decides nothing.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cottonwing {

using Nanos = std::chrono::nanoseconds;
using CommandId = std::uint64_t;

enum class Repeat { Repeatable, Keyed, OnceOnly };
enum class Halting { Never, Abort, Pause };
enum class FreeValue { None, Level, Window, Share };
enum class Below { Nothing, Shared, Tier };
enum class Outcome {
    Ok,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Cancelled,
    Moot,
    Spoilt,  // a reply came that can't be read: the call has run, and is in nobody's hands any more
    NoRoom   // kept back by a limit of our own: it never left, and says nothing of the other side
};

struct ProfileTerms {
    Repeat repeat = Repeat::Repeatable;
    Nanos promised{0};           // full earnings up to here, counted from the first try
    double promisedStretch = 0;  // grows the promised time by this multiple of the command's own work
    Nanos hardStop{0};           // what a client waits in all
    Nanos window{0};             // keyed: how long a repeat may still come
    double earnings = 1;
    double lateShare = 0;    // part of the earnings after the promised time
    double poorerShare = 0;  // part of the earnings when a call was left out; 0: may not be left out
    bool calls = false;
};

struct CustomerTerms {
    double quotaPerSecond = 0;  // over all backends
};

struct StartTerms {
    std::uint64_t seed = 0;
    std::vector<ProfileTerms> profiles;
    std::vector<CustomerTerms> customers;
    double overShareWorth = 1;
    bool earningsByWork = false;
    double goalWhole = 1, goalWorstProfile = 0;
    int peers = 1;
    int cores = 1;
    bool cold = false;
    double startCapacity = 1;  // a cold backend's least share of its speed
    Nanos rampTime{0};
    double memoryKb = 0, entryKb = 0, runFactor = 1;
    Halting halting = Halting::Never;
    FreeValue freeValue = FreeValue::None;
    Below below = Below::Nothing;
    double callShare = 0;  // shared dependency: our part of the calls in its hands
    Nanos callsOver{0};
    Nanos linger{0};
    Nanos drainGrace{0};
    double fallMultiple = 1;
    Nanos fallOver{0};
    bool comeBackAllowed = false;
    Nanos longestComeBack{0};
    Nanos longestIdle{0};
    int senders = 0;  // callers of this tier
};

struct Command {
    CommandId id = 0;
    int profile = 0;
    int customer = -1;
    std::optional<Nanos> due;   // when its caller stops waiting
    std::optional<Nanos> work;  // expected, on a standard core
    double heldKb = 0;
    double rank = 0;
    bool again = false;  // marked as a further try
    Nanos waited{0};     // since it reached the machine
    CommandId repeats = 0;
};

struct Result {
    CommandId id = 0;
    Outcome outcome = Outcome::Ok;
    Nanos took{0};
};

struct Gauges {
    std::optional<double> coreUse, onCores, memoryShare, connections;
};

// All that reached one backend since its last round.
struct Round {
    Nanos now{0};
    std::vector<Command> read;
    std::vector<Result> callsBack;
    std::vector<CommandId> parked;  // running commands that now wait at a call
    std::vector<Result> runsEnded;
    std::vector<CommandId> callersLeft;
    std::optional<Gauges> gauges;  // there when an alarm rang
    std::optional<Nanos> stopAt;   // notice to leave
};

class DecisionWriter {
public:
    virtual ~DecisionWriter() = default;
    virtual void start(CommandId id) = 0;
    virtual void bounce(CommandId id, Nanos comeBack, bool nowhereElse) = 0;
    virtual void scrap(CommandId id) = 0;
    virtual void halt(CommandId id) = 0;
    virtual void call(CommandId id, Nanos patience) = 0;
    virtual void leaveOut(CommandId id) = 0;
    virtual void keep(CommandId id, Nanos lifetime) = 0;
    virtual void forget(CommandId id) = 0;
    virtual void join(CommandId id) = 0;
    virtual void health(bool good) = 0;
    virtual void freeValue(double value) = 0;
    virtual void closeIdle(Nanos unusedFor) = 0;
    virtual void wakeAfter(Nanos wait) = 0;
    virtual void log(std::string_view line) = 0;
};

class Decider {
public:
    virtual ~Decider() = default;
    virtual void decide(const Round& round, DecisionWriter& out) = 0;
};

std::unique_ptr<Decider> makeDecider(const StartTerms& terms);

}  // namespace cottonwing
