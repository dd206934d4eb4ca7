#include "overload/retry_budget.h"

#include <gtest/gtest.h>

namespace cottonwing::overload {
namespace {

TEST(RetryBudget, AllowsRetriesAboveHalfOfItsTokens) {
    RetryBudget budget;
    for (int failure = 0; failure < 4; ++failure) budget.recordFailure();
    EXPECT_TRUE(budget.allowsRetry());
    budget.recordFailure();
    EXPECT_DOUBLE_EQ(budget.tokens(), 5);
    EXPECT_FALSE(budget.allowsRetry());
}

TEST(RetryBudget, ASuccessEarnsATenthOfAToken) {
    RetryBudget budget;
    budget.recordFailure();
    budget.recordSuccess();
    EXPECT_DOUBLE_EQ(budget.tokens(), 9.1);
}

TEST(RetryBudget, StaysBetweenNoneAndTenTokens) {
    RetryBudget budget;
    budget.recordSuccess();
    EXPECT_DOUBLE_EQ(budget.tokens(), 10);
    for (int failure = 0; failure < 20; ++failure) budget.recordFailure();
    EXPECT_DOUBLE_EQ(budget.tokens(), 0);
}

}  // namespace
}  // namespace cottonwing::overload
