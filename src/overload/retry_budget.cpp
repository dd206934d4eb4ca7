#include "overload/retry_budget.h"

#include <algorithm>

namespace cottonwing::overload {

namespace {

constexpr double kTokensPerSuccess = 0.1;
constexpr double kTokensPerFailure = 1;

}  // namespace

void RetryBudget::recordSuccess() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerSuccess); }

void RetryBudget::recordFailure() { tokens_ = std::max(0.0, tokens_ - kTokensPerFailure); }

bool RetryBudget::allowsRetry() const { return tokens_ > kMaxTokens / 2; }

}  // namespace cottonwing::overload
