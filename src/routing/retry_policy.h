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

enum class BackoffGrowth { Fixed, Exponential };
enum class Jitter {
    None,          // the whole wait, always
    Equal,         // half of it, and a random part of the other half
    Full,          // a random part of it
    Decorrelated,  // from the least wait to three times the one before
};

struct RetryPolicyConfig {
    int maxAttempts = 3;  // attempts in all, at least 1
    BackoffGrowth backoffGrowth = BackoffGrowth::Exponential;
    Jitter jitter = Jitter::Full;
    Duration baseDelay{std::chrono::milliseconds(25)};  // the wait before the second attempt
    Duration maxDelay{std::chrono::milliseconds(800)};  // no wait grows past this
    bool budgetEnabled = true;
    double maxTokens = 10;  // at the start, and at most
    double tokensPerSuccess = 0.1;
    double minTokenFraction = 0.5;  // part of the tokens that must be left for an attempt again
    bool honorsRetryAfter = true;   // waits at least as long as the other side asked
};

// One a group of clients and servers. With every attempt failing it allows half of its tokens, then none: so
// repeats stay under `perGood` of what goes well, plus a constant.
class RetryBudget {
public:
    explicit RetryBudget(const RetryPolicyConfig& config) : config_(config), tokens_(config.maxTokens) {}
    void recordSuccess();
    void recordFailure();
    bool allowsRetry() const {
        return !config_.budgetEnabled || tokens_ > config_.maxTokens * config_.minTokenFraction;
    }
    double tokens() const { return tokens_; }

private:
    RetryPolicyConfig config_;
    double tokens_;
};

// How an attempt ended, as far as repeating goes.
enum class ExecutionState {
    NotStarted,  // it is known that it never ran
    Unknown,     // it may have run
    Executed,    // it ran, and its effect is there
};

struct FailedAttempt {
    Idempotency idempotency = Idempotency::Idempotent;
    ExecutionState execution = ExecutionState::Unknown;
    int attempts = 1;                    // so far, this one included
    Duration previousDelay{0};           // before this attempt; 0 for the first
    std::optional<Duration> retryAfter;  // asked of us
    bool noRetryElsewhere = false;       // asked to try no other server
    Duration deadline{0};                // nobody waits for it past this
    Duration minAttemptTime{0};          // an attempt with less time than this is not worth beginning
};

enum class RetryDecisionReason {
    Retry,
    NotIdempotent,
    AttemptsExhausted,
    BudgetExhausted,
    DeadlineTooClose,
    RetryForbidden
};
const char* nameOf(RetryDecisionReason reason);

struct RetryDecision {
    RetryDecisionReason reason = RetryDecisionReason::Retry;
    Duration retryAt{0};  // when to begin, where why is Again
};

// The failure must have been booked with the budget before.
RetryDecision decideRetry(const RetryPolicyConfig& config, const RetryBudget& budget,
                          const FailedAttempt& attempt, Duration now, std::mt19937& random);

// The wait before attempt number `attempts` + 1.
Duration retryDelay(const RetryPolicyConfig& config, int attempts, Duration previousDelay,
                    std::mt19937& random);

}  // namespace cottonwing::routing
