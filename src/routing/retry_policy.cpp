#include "routing/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::routing {

namespace {

double drawUniform(std::mt19937& random, double from, double to) {
    return std::uniform_real_distribution<double>(from, std::max(from, to))(random);
}

Duration scaled(Duration delay, double factor) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor));
}

}  // namespace

void RetryBudget::recordSuccess() {
    tokens_ = std::min(config_.maxTokens, tokens_ + config_.tokensPerSuccess);
}
void RetryBudget::recordFailure() { tokens_ = std::max(0.0, tokens_ - 1); }

const char* nameOf(RetryDecisionReason reason) {
    static constexpr const char* kNames[] = {"again",  "unrepeatable", "attempts",
                                             "budget", "no-time",      "asked-not-to"};
    return kNames[static_cast<int>(reason)];
}

Duration retryDelay(const RetryPolicyConfig& config, int attempts, Duration previousDelay,
                    std::mt19937& random) {
    Duration delay = config.baseDelay;
    // Doubled step by step: a shift by a large count would overflow.
    if (config.backoffGrowth == BackoffGrowth::Exponential)
        for (int step = 1; step < attempts && delay < config.maxDelay; ++step) delay *= 2;
    delay = std::min(delay, config.maxDelay);
    switch (config.jitter) {
        case Jitter::None:
            return delay;
        case Jitter::Equal:
            return scaled(delay, drawUniform(random, 0.5, 1));
        case Jitter::Full:
            return scaled(delay, drawUniform(random, 0, 1));
        case Jitter::Decorrelated:
            break;
    }
    const Duration upperBound = std::min(std::max(previousDelay, config.baseDelay) * 3, config.maxDelay);
    return std::min(config.baseDelay, config.maxDelay) +
           scaled(std::max(upperBound - config.baseDelay, Duration(0)), drawUniform(random, 0, 1));
}

RetryDecision decideRetry(const RetryPolicyConfig& config, const RetryBudget& budget,
                          const FailedAttempt& attempt, Duration now, std::mt19937& random) {
    const bool allowed =
        attempt.execution == ExecutionState::NotStarted ||
        (attempt.execution == ExecutionState::Unknown && attempt.idempotency == Idempotency::Idempotent);
    if (!allowed) return {RetryDecisionReason::NotIdempotent, Duration(0)};
    if (attempt.attempts >= config.maxAttempts) return {RetryDecisionReason::AttemptsExhausted, Duration(0)};
    if (attempt.noRetryElsewhere) return {RetryDecisionReason::RetryForbidden, Duration(0)};
    if (!budget.allowsRetry()) return {RetryDecisionReason::BudgetExhausted, Duration(0)};
    Duration delay = retryDelay(config, attempt.attempts, attempt.previousDelay, random);
    // The server's retry-after is the minimum and the jittered delay is added to it: clients that received
    // the same value must not return at the same moment.
    if (config.honorsRetryAfter && attempt.retryAfter) delay += *attempt.retryAfter;
    if (now + delay + attempt.minAttemptTime >= attempt.deadline)
        return {RetryDecisionReason::DeadlineTooClose, Duration(0)};
    return {RetryDecisionReason::Retry, now + delay};
}

}  // namespace cottonwing::routing
