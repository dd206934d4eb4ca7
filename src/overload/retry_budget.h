/// @file
/// Retry budget: a token bucket that limits retries to a fraction of the successful calls.
#pragma once

namespace cottonwing::overload {

/// Starts with 10 tokens, its maximum. A failure takes one, a success adds a tenth; retries are allowed above
/// half of the maximum, so that retries add no load to a dependency that fails as a whole.
class RetryBudget {
public:
    void recordSuccess();
    void recordFailure();

    /// @return whether a retry is within the budget. A retry takes no token by itself; its failure does.
    bool allowsRetry() const;

    double tokens() const { return tokens_; }

private:
    static constexpr double kMaxTokens = 10;

    double tokens_ = kMaxTokens;
};

}  // namespace cottonwing::overload
