// What is tried again, when, and whether its group may still try again. Pure: time and chance come in as
// arguments. Used by the clients of the laboratory today; made for whatever sends a request on.
//
// The mechanism is the design's: repeatable requests, or those known not to have begun; a fixed number of
// attempts; full jitter; one token budget a group, which good answers fill slowly and failures empty at once.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "overload/types.h"

namespace cottonwing::routing {

enum class Growth { Fixed, Exponential };
enum class Jitter {
    None,          // the whole wait, always
    Equal,         // half of it, and a random part of the other half
    Full,          // a random part of it
    Decorrelated,  // from the least wait to three times the one before
};

struct AttemptTerms {
    int most = 3;  // attempts in all, at least 1
    Growth growth = Growth::Exponential;
    Jitter jitter = Jitter::Full;
    Duration least{std::chrono::milliseconds(25)};     // the wait before the second attempt
    Duration longest{std::chrono::milliseconds(800)};  // no wait grows past this
    bool budgeted = true;
    double tokens = 10;  // at the start, and at most
    double perGood = 0.1;
    double above = 0.5;            // part of the tokens that must be left for an attempt again
    bool honorsRetryAfter = true;  // waits at least as long as the other side asked
};

// One a group of clients and servers. With every attempt failing it allows half of its tokens, then none: so
// repeats stay under `perGood` of what goes well, plus a constant.
class Budget {
public:
    explicit Budget(const AttemptTerms& terms) : terms_(terms), tokens_(terms.tokens) {}
    void good();
    void failed();
    bool allows() const { return !terms_.budgeted || tokens_ > terms_.tokens * terms_.above; }
    double tokens() const { return tokens_; }

private:
    AttemptTerms terms_;
    double tokens_;
};

// How an attempt ended, as far as repeating goes.
enum class Began {
    Never,    // it is known that it never ran
    Unknown,  // it may have run
    Ran,      // it ran, and its effect is there
};

struct Tried {
    Idempotency idempotency = Idempotency::Idempotent;
    Began began = Began::Unknown;
    int attempts = 1;                    // so far, this one included
    Duration waited{0};                  // before this attempt; 0 for the first
    std::optional<Duration> retryAfter;  // asked of us
    bool noRetryElsewhere = false;       // asked to try no other server
    Duration stopsAt{0};                 // nobody waits for it past this
    Duration useful{0};                  // an attempt with less time than this is not worth beginning
};

enum class Why { Again, Unrepeatable, Attempts, Budget, NoTime, AskedNotTo };
const char* nameOf(Why why);

struct Verdict {
    Why why = Why::Again;
    Duration at{0};  // when to begin, where why is Again
};

// The failure must have been booked with the budget before.
Verdict again(const AttemptTerms& terms, const Budget& budget, const Tried& tried, Duration now,
              std::mt19937& chance);

// The wait before attempt number `attempts` + 1.
Duration wait(const AttemptTerms& terms, int attempts, Duration before, std::mt19937& chance);

}  // namespace cottonwing::routing
