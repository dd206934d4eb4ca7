// Retry decisions, outlier detection and load balancing: examples, and properties over random histories.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "routing/load_balancer.h"
#include "routing/outlier_detection.h"
#include "routing/retry_policy.h"

namespace cottonwing::routing {
namespace {

using namespace std::chrono_literals;

int upTo(int most) { return *rc::gen::resize(1000, rc::gen::inRange(0, most + 1)); }

// ---- retries --------------------------------------------------------------------------------------------

TEST(RetryDecision, NonIdempotentIsRetriedOnlyIfKnownNotToHaveStarted) {
    std::mt19937 random(1);
    RetryPolicyConfig config;
    RetryBudget budget(config);
    FailedAttempt attempt;
    attempt.deadline = 10s;
    for (const Idempotency idempotency : {Idempotency::None, Idempotency::WithKey, Idempotency::Idempotent}) {
        attempt.idempotency = idempotency;
        attempt.execution = ExecutionState::NotStarted;
        EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason, RetryDecisionReason::Retry);
        attempt.execution = ExecutionState::Executed;
        EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason,
                  RetryDecisionReason::NotIdempotent);
        attempt.execution = ExecutionState::Unknown;
        EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason,
                  idempotency == Idempotency::Idempotent ? RetryDecisionReason::Retry
                                                         : RetryDecisionReason::NotIdempotent);
    }
}

TEST(RetryDecision, EachLimitGivesItsOwnReason) {
    std::mt19937 random(1);
    RetryPolicyConfig config;
    RetryBudget budget(config);
    FailedAttempt attempt;
    attempt.deadline = 10s;
    attempt.attempts = 3;
    EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason,
              RetryDecisionReason::AttemptsExhausted);
    attempt.attempts = 2;
    attempt.noRetryElsewhere = true;
    EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason, RetryDecisionReason::RetryForbidden);
    attempt.noRetryElsewhere = false;
    attempt.retryAfter = 11s;
    EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason, RetryDecisionReason::DeadlineTooClose);
    attempt.retryAfter = 2s;
    const RetryDecision decision = decideRetry(config, budget, attempt, 0s, random);
    EXPECT_EQ(decision.reason, RetryDecisionReason::Retry);
    EXPECT_GE(decision.retryAt, 2s);
    for (int n = 0; n < 5; ++n) budget.recordFailure();
    EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason, RetryDecisionReason::BudgetExhausted);
    for (int n = 0; n < 3; ++n) budget.recordSuccess();
    EXPECT_EQ(decideRetry(config, budget, attempt, 0s, random).reason, RetryDecisionReason::Retry);
}

RC_GTEST_PROP(RetryDecision, DelaysStayWithinTheirBounds, ()) {
    std::mt19937 random(static_cast<unsigned>(upTo(1000000)));
    RetryPolicyConfig config;
    config.backoffGrowth = static_cast<BackoffGrowth>(upTo(1));
    config.jitter = static_cast<Jitter>(upTo(3));
    config.baseDelay = 1ms * (1 + upTo(100));
    config.maxDelay = config.baseDelay + 1ms * upTo(5000);
    Duration previous{0};
    for (int attempts = 1; attempts < 100; ++attempts) {
        previous = retryDelay(config, attempts, previous, random);
        RC_ASSERT(previous >= 0ns);
        RC_ASSERT(previous <= config.maxDelay);
        if (config.jitter == Jitter::None || config.jitter == Jitter::Decorrelated)
            RC_ASSERT(previous >= config.baseDelay);
    }
}

// Guards against retry storms: whatever fraction of the attempts fails, retries stay under half of the tokens
// plus one per ten successes. With all servers failing that is under a fifth of the first attempts, at any
// size of the group.
RC_GTEST_PROP(RetryDecision, RetriesAreBoundedBySuccesses, ()) {
    std::mt19937 random(static_cast<unsigned>(upTo(1000000)));
    RetryPolicyConfig config;
    RetryBudget budget(config);
    const int failurePercent = upTo(100), requests = 50 + upTo(500);
    int retries = 0, good = 0;
    for (int n = 0; n < requests; ++n) {
        for (int attempts = 1;; ++attempts) {
            if (upTo(99) >= failurePercent) {
                budget.recordSuccess();
                ++good;
                break;
            }
            budget.recordFailure();
            FailedAttempt attempt;
            attempt.attempts = attempts;
            attempt.deadline = 100s;
            if (decideRetry(config, budget, attempt, 0s, random).reason != RetryDecisionReason::Retry) break;
            ++retries;
        }
    }
    RC_ASSERT(retries <= 5 + good / 10 + 1);
}

// ---- outlier detection ----------------------------------------------------------------------------------

TEST(OutlierDetection, FiveConsecutiveFailuresEjectAndThreeProbesRestore) {
    std::mt19937 random(1);
    OutlierDetector detector{OutlierDetectionConfig{}};
    for (int n = 0; n < 4; ++n) detector.add();
    for (int n = 0; n < 4; ++n) detector.recordFailure(2, 1s, random);
    EXPECT_TRUE(detector.isUsable(2, 1s));
    detector.recordFailure(2, 1s, random);
    EXPECT_FALSE(detector.isUsable(2, 1s));
    EXPECT_EQ(detector.state(2, 1s), OutlierDetector::State::Ejected);
    detector.recordSuccess(2, 1500ms);  // sent before the ejection: does not show a recovery
    EXPECT_EQ(detector.state(2, 3s), OutlierDetector::State::Probing);
    for (int probe = 0; probe < 3; ++probe) {
        ASSERT_TRUE(detector.isUsable(2, 3s));
        detector.requestStarted(2, 3s);
        EXPECT_FALSE(detector.isUsable(2, 3s)) << "a second probe while the first is in flight";
        detector.recordSuccess(2, 3s);
    }
    EXPECT_EQ(detector.state(2, 3s), OutlierDetector::State::Active);
}

TEST(OutlierDetection, AGroupThatIsMostlyEjectedIsUsedCompletely) {
    std::mt19937 random(1);
    OutlierDetector detector{OutlierDetectionConfig{}};
    for (int n = 0; n < 4; ++n) detector.add();
    for (OutlierDetector::Index index = 0; index < 3; ++index)
        for (int n = 0; n < 5; ++n) detector.recordFailure(index, 1s, random);
    EXPECT_TRUE(detector.inPanicMode());
    for (OutlierDetector::Index index = 0; index < 4; ++index) EXPECT_TRUE(detector.isUsable(index, 1s));
}

TEST(OutlierDetection, HealthChecksAloneEjectAndRestore) {
    std::mt19937 random(1);
    OutlierDetector detector{OutlierDetectionConfig{}};
    for (int n = 0; n < 4; ++n) detector.add();
    detector.recordHealthCheck(1, false, 1s, random);
    EXPECT_TRUE(detector.isUsable(1, 1s));
    detector.recordHealthCheck(1, false, 2s, random);
    EXPECT_FALSE(detector.isUsable(1, 2s));
    for (int n = 0; n < 6; ++n) detector.recordHealthCheck(1, true, 5s + n * 1s, random);
    EXPECT_EQ(detector.state(1, 11s), OutlierDetector::State::Active);
}

// Guards against flapping: an endpoint that is healthy and failing in turn changes its state ever more
// rarely, whatever the order of results. The count of ejected endpoints matches their states, and in panic
// mode every endpoint is usable.
RC_GTEST_PROP(OutlierDetection, TransitionsPerMinuteAreBounded, ()) {
    std::mt19937 random(static_cast<unsigned>(upTo(1000000)));
    OutlierDetectionConfig config;
    OutlierDetector detector(config);
    const int count = 1 + upTo(8);
    for (int n = 0; n < count; ++n) detector.add();
    const int failurePercent = 1 + upTo(98);
    Duration now{0};
    for (int n = 0; n < 3000; ++n) {
        now += 20ms;
        const auto index = static_cast<OutlierDetector::Index>(upTo(count - 1));
        if (upTo(200) == 0 && detector.contains(index) && detector.size() > 1) {
            detector.remove(index);
            RC_ASSERT(detector.add() == index);
        }
        if (detector.isUsable(index, now)) {
            detector.requestStarted(index, now);
            if (upTo(99) < failurePercent)
                detector.recordFailure(index, now, random);
            else
                detector.recordSuccess(index, now);
        }
        if (upTo(20) == 0) detector.recordHealthCheck(index, upTo(99) >= failurePercent, now, random);
        std::size_t ejected = 0, usable = 0;
        for (OutlierDetector::Index other = 0; other < static_cast<OutlierDetector::Index>(count); ++other) {
            ejected += detector.state(other, now) != OutlierDetector::State::Active;
            usable += detector.isUsable(other, now);
        }
        RC_ASSERT(ejected == detector.ejectedCount());
        if (detector.inPanicMode()) RC_ASSERT(usable == static_cast<std::size_t>(count));
    }
    // One minute holds ejections of 1, 2, 4, 8, 16 and 30 s, two transitions each; an endpoint added anew
    // begins again at 1 s.
    RC_ASSERT(detector.transitionCount() <= static_cast<std::uint64_t>(2 * 7 * count + 2 * 3000 / 200 * 4));
}

// ---- load balancing -------------------------------------------------------------------------------------

const auto kAll = [](LoadBalancer::Index) { return true; };

TEST(LoadBalancing, RoundRobinChoosesEachInTurn) {
    std::mt19937 random(1);
    LoadBalancer balancer(LoadBalancingPolicy::RoundRobin);
    for (LoadBalancer::Index index = 0; index < 3; ++index) balancer.add(index);
    std::map<LoadBalancer::Index, int> timesChosen;
    for (int n = 0; n < 30; ++n) ++timesChosen[*balancer.choose(0, std::nullopt, kAll, random)];
    for (const auto& [index, count] : timesChosen) EXPECT_EQ(count, 10) << index;
}

TEST(LoadBalancing, ConsistentHashKeepsAKeyOnItsEndpointUpToTheLoadBound) {
    std::mt19937 random(1);
    LoadBalancer balancer(LoadBalancingPolicy::ConsistentHash);
    for (LoadBalancer::Index index = 0; index < 10; ++index) balancer.add(index);
    const auto assigned = *balancer.choose(77, std::nullopt, kAll, random);
    EXPECT_EQ(*balancer.choose(77, std::nullopt, kAll, random), assigned);
    // With all load on one key no endpoint has more than a quarter above the mean, apart from rounding up.
    for (int n = 0; n < 100; ++n) balancer.requestStarted(*balancer.choose(77, std::nullopt, kAll, random));
    for (LoadBalancer::Index index = 0; index < 10; ++index) EXPECT_LE(balancer.inFlight(index), 13);
    // The removal of an endpoint moves only its own keys.
    LoadBalancer idleBalancer(LoadBalancingPolicy::ConsistentHash);
    for (LoadBalancer::Index index = 0; index < 10; ++index) idleBalancer.add(index);
    std::map<std::uint64_t, LoadBalancer::Index> previous;
    for (std::uint64_t routingKey = 0; routingKey < 1000; ++routingKey)
        previous[routingKey] = *idleBalancer.choose(routingKey, std::nullopt, kAll, random);
    idleBalancer.remove(4);
    for (const auto& [routingKey, index] : previous)
        if (index != 4) {
            EXPECT_EQ(*idleBalancer.choose(routingKey, std::nullopt, kAll, random), index);
        }
}

TEST(LoadBalancing, PowerOfTwoChoicesMostlyAvoidsASlowEndpoint) {
    std::mt19937 random(1);
    LoadBalancer balancer(LoadBalancingPolicy::PowerOfTwoChoices);
    for (LoadBalancer::Index index = 0; index < 10; ++index) balancer.add(index);
    int slow = 0;
    for (int n = 0; n < 2000; ++n) {
        const auto index = *balancer.choose(0, std::nullopt, kAll, random);
        slow += index == 3;
        balancer.requestStarted(index);
        balancer.requestEnded(index, index == 3 ? 500ms : 50ms, n * 5ms);
    }
    EXPECT_LT(slow, 2000 / 10 / 4);
    EXPECT_GT(slow, 0) << "it must get some requests, or its recovery goes unnoticed";
}

// Guards against a server that attracts load by failing at once: it has nothing in flight, and its failures
// would look like low latency if they were counted.
TEST(LoadBalancing, FailuresAreNotCountedAsLowLatency) {
    std::mt19937 random(1);
    LoadBalancer balancer(LoadBalancingPolicy::LowestLatency);
    balancer.add(0);
    balancer.add(1);
    for (int n = 0; n < 50; ++n) {
        balancer.requestStarted(0), balancer.requestEnded(0, 50ms, n * 10ms);
        balancer.requestStarted(1), balancer.requestEnded(1, 40ms, n * 10ms);
    }
    for (int n = 0; n < 50; ++n) balancer.requestStarted(0), balancer.requestEnded(0, std::nullopt, 1s);
    EXPECT_EQ(*balancer.choose(0, std::nullopt, kAll, random), 1U);
}

// For every policy and any sequence of additions and removals: the chosen endpoint is present and usable, the
// one to avoid is chosen only if no other is usable, none only if no endpoint is usable, and the numbers of
// requests in flight match.
RC_GTEST_PROP(LoadBalancing, ChoosesOnlyUsableEndpoints, ()) {
    std::mt19937 random(static_cast<unsigned>(upTo(1000000)));
    LoadBalancer balancer(static_cast<LoadBalancingPolicy>(upTo(4)));
    std::map<LoadBalancer::Index, int> inFlightByIndex;
    for (int n = 0; n < 400; ++n) {
        const auto index = static_cast<LoadBalancer::Index>(upTo(11));
        const int action = upTo(9);
        if (action == 0) {
            if (!inFlightByIndex.contains(index))
                balancer.add(index, 0.25 * (1 + upTo(8))), inFlightByIndex[index] = 0;
        } else if (action == 1 && inFlightByIndex.contains(index)) {
            balancer.remove(index);
            inFlightByIndex.erase(index);
        } else if (action == 2 && inFlightByIndex.contains(index)) {
            balancer.setWeight(index, 0.25 * (1 + upTo(8)));
        } else if (action < 5 && inFlightByIndex.contains(index) && inFlightByIndex[index] > 0) {
            balancer.requestEnded(index, upTo(1) ? std::optional<Duration>(1ms * upTo(500)) : std::nullopt,
                                  n * 10ms);
            --inFlightByIndex[index];
        } else {
            const unsigned mask = static_cast<unsigned>(upTo(4095));
            const auto isUsable = [&](LoadBalancer::Index other) {
                return inFlightByIndex.contains(other) && (mask >> other & 1U) != 0;
            };
            const std::optional<LoadBalancer::Index> avoid = upTo(1) ? std::optional(index) : std::nullopt;
            const auto chosen =
                balancer.choose(static_cast<std::uint64_t>(upTo(50)), avoid, isUsable, random);
            int others = 0;
            for (const auto& [other, inFlight] : inFlightByIndex) others += isUsable(other) && avoid != other;
            if (chosen) {
                RC_ASSERT(isUsable(*chosen));
                RC_ASSERT(avoid != *chosen || others == 0);
                balancer.requestStarted(*chosen);
                ++inFlightByIndex[*chosen];
            } else {
                RC_ASSERT(others == 0);
            }
        }
        for (const auto& [other, inFlight] : inFlightByIndex) RC_ASSERT(balancer.inFlight(other) == inFlight);
        RC_ASSERT(balancer.size() == inFlightByIndex.size());
    }
}

}  // namespace
}  // namespace cottonwing::routing
