/// @file
/// Decides whether a failed attempt is retried, when, and whether the retry budget of its group allows it.
/// Pure: time and random numbers come in as arguments. Used by the gateway's upstream groups and by the
/// clients of the load test.
///
/// A request is retried if it is idempotent or its attempt is known not to have begun. The number of attempts
/// is fixed, the delays have full jitter by default, and each group has one token budget, which successes
/// fill slowly and failures empty quickly.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "overload/types.h"

namespace cottonwing::routing {

enum class BackoffGrowth { Fixed, Exponential };
enum class Jitter {
    None,          ///< Always the full delay.
    Equal,         ///< Half of the delay plus a random part of the other half.
    Full,          ///< A random part of the delay.
    Decorrelated,  ///< From the base delay to three times the previous delay.
};

struct RetryPolicyConfig {
    int maxAttempts = 3;  ///< Per request, the first included; at least 1.
    BackoffGrowth backoffGrowth = BackoffGrowth::Exponential;
    Jitter jitter = Jitter::Full;
    Duration baseDelay{std::chrono::milliseconds(25)};  ///< Before the second attempt.
    Duration maxDelay{std::chrono::milliseconds(800)};
    bool budgetEnabled = true;
    double maxTokens = 10;  ///< Also the number at the start.
    double tokensPerSuccess = 0.1;
    double minTokenFraction = 0.5;  ///< A retry needs more than this fraction of maxTokens.
    bool honorsRetryAfter = true;   ///< Waits at least as long as the server asked for.
};

/// The retry budget of one group of clients and servers. If every attempt fails, it allows retries for half
/// of its tokens and then none: retries stay under `tokensPerSuccess` per success, plus a constant.
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

/// What is known about the execution of a failed attempt.
enum class ExecutionState {
    NotStarted,  ///< It certainly never ran.
    Unknown,     ///< It may have run.
    Executed,    ///< It ran and had its effect.
};

struct FailedAttempt {
    Idempotency idempotency = Idempotency::Idempotent;
    ExecutionState execution = ExecutionState::Unknown;
    int attempts = 1;                    ///< Of the request so far, this one included.
    Duration previousDelay{0};           ///< Before this attempt; 0 for the first.
    std::optional<Duration> retryAfter;  ///< As the server asked for.
    bool noRetryElsewhere = false;       ///< The server asked not to retry on another server.
    Duration deadline{0};                ///< When the client stops waiting.
    Duration minAttemptTime{0};          ///< An attempt with less time than this is not worth starting.
};

enum class RetryDecisionReason {
    Retry,
    NotIdempotent,
    AttemptsExhausted,
    BudgetExhausted,
    DeadlineTooClose,
    RetryForbidden
};

/// @return the name under which the reason appears in logs and results.
const char* nameOf(RetryDecisionReason reason);

struct RetryDecision {
    RetryDecisionReason reason = RetryDecisionReason::Retry;
    Duration retryAt{0};  ///< When to start the next attempt, if the reason is Retry.
};

/// The failure must have been recorded in the budget before.
RetryDecision decideRetry(const RetryPolicyConfig& config, const RetryBudget& budget,
                          const FailedAttempt& attempt, Duration now, std::mt19937& random);

/// @param attempts made so far.
/// @param previousDelay before the last attempt; used by Jitter::Decorrelated only.
/// @return the delay before the next attempt.
Duration retryDelay(const RetryPolicyConfig& config, int attempts, Duration previousDelay,
                    std::mt19937& random);

}  // namespace cottonwing::routing
