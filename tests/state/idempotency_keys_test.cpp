/// @file
/// The table of idempotency keys: fixed sequences of calls, and a property over random ones.
#include "state/idempotency_keys.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using state::IdempotencyKeys;
using state::KeyClaim;
using state::KeyOutcome;

constexpr state::KeyRetention kRetention{5s, 9s};

TEST(IdempotencyKeys, ADuplicateWaitsForTheHolderAndSharesItsResult) {
    IdempotencyKeys keys(1 << 20);
    EXPECT_EQ(keys.claim("k", {1, 7, 10s, 10s}, kRetention), KeyClaim::Granted);
    EXPECT_EQ(keys.claim("k", {2, 7, 11s, 11s}, kRetention), KeyClaim::Duplicate);
    EXPECT_EQ(keys.claim("k", {3, 8, 11s, 11s}, kRetention), KeyClaim::Conflict);
    EXPECT_EQ(keys.holder("k"), 1U);
    EXPECT_EQ(keys.join("k", 2).outcome, KeyOutcome::Pending);
    EXPECT_EQ(keys.completed("k", 1, "result"), std::vector<RequestId>{2});
    EXPECT_EQ(keys.join("k", 4).outcome, KeyOutcome::Completed);
    EXPECT_EQ(keys.join("k", 4).result, "result");
}

TEST(IdempotencyKeys, TheWindowStartsAtTheReadAndIsExtendedWhileTheRunIsPending) {
    IdempotencyKeys keys(1 << 20);
    keys.claim("k", {1, 7, 10s, 10s}, kRetention);
    // Read late, but it arrived within the window.
    EXPECT_EQ(keys.claim("k", {2, 7, 15s, 23s}, kRetention), KeyClaim::Duplicate);
    // Long past the window, while the run of the holder is in progress.
    EXPECT_EQ(keys.claim("k", {3, 7, 99s, 99s}, kRetention), KeyClaim::Duplicate);
    keys.completed("k", 1, "result");
    EXPECT_EQ(keys.claim("k", {4, 7, 15s, 99s}, kRetention), KeyClaim::Duplicate);
    EXPECT_EQ(keys.claim("k", {5, 7, 99s, 99s}, kRetention), KeyClaim::Granted);
    EXPECT_EQ(keys.holder("k"), 5U);
}

TEST(IdempotencyKeys, AHolderThatNeverRanReleasesTheKey) {
    IdempotencyKeys keys(1 << 20);
    keys.claim("k", {1, 7, 10s, 10s}, kRetention);
    keys.join("k", 2);
    keys.join("k", 3);
    keys.stopWaiting("k", 2);
    EXPECT_EQ(keys.release("k", 9), std::vector<RequestId>());  // does not hold the key
    EXPECT_EQ(keys.release("k", 1), std::vector<RequestId>{3});
    EXPECT_EQ(keys.join("k", 4).outcome, KeyOutcome::NeverRan);
    EXPECT_EQ(keys.claim("k", {4, 7, 10s, 10s}, kRetention), KeyClaim::Granted);
    keys.failed("k", 4);
    EXPECT_EQ(keys.release("k", 4), std::vector<RequestId>());  // it ran: no other attempt may
    EXPECT_EQ(keys.claim("k", {5, 7, 11s, 11s}, kRetention), KeyClaim::Duplicate);
    EXPECT_EQ(keys.join("k", 5).outcome, KeyOutcome::Failed);
}

TEST(IdempotencyKeys, ResultsAreEvictedToMakeRoomForKeysAndThenKeysAreRejected) {
    IdempotencyKeys keys(4000);
    keys.claim("a", {1, 7, 10s, 10s}, kRetention);
    keys.completed("a", 1, std::string(2000, 'x'));
    RequestId next = 2;
    while (keys.claim("k" + std::to_string(next), {next, 7, 10s, 10s}, kRetention) == KeyClaim::Granted)
        ++next;
    EXPECT_LE(keys.bytes(), 4000U);
    EXPECT_GT(next, 5U);
    // Its result was evicted: it cannot be returned again, and the request must not run again.
    EXPECT_EQ(keys.claim("a", {99, 7, 11s, 11s}, kRetention), KeyClaim::Duplicate);
    EXPECT_EQ(keys.join("a", 99).outcome, KeyOutcome::Failed);
    EXPECT_EQ(keys.claim("z", {100, 7, 11s, 11s}, kRetention), KeyClaim::NoCapacity);
    // Keys whose run has ended expire, those whose run is pending do not.
    EXPECT_EQ(keys.claim("z", {100, 7, 60s, 60s}, kRetention), KeyClaim::Granted);
    EXPECT_EQ(keys.holder("a"), std::nullopt);
    EXPECT_EQ(keys.holder("k2"), 2U);
}

// For random sequences of calls: within its window no key is granted twice unless the holder is known not to
// have run, each waiting duplicate is returned exactly once, and the accounted memory stays within its limit.
RC_GTEST_PROP(IdempotencyKeys, AtMostOneAttemptWithAKeyRuns, ()) {
    const std::size_t maxBytes = *rc::gen::inRange<std::size_t>(0, 20000);
    IdempotencyKeys keys(maxBytes);
    std::map<std::string, std::pair<Duration, RequestId>>
        ran;  // by key: when its holder was read, and the holder
    std::map<std::string, RequestId> pending;
    std::map<RequestId, std::string> waiting;
    Duration now = 100s;
    for (RequestId id = 1; id <= 150; ++id) {
        now += 1ms * *rc::gen::inRange(0, 2000);
        const std::string key = std::to_string(*rc::gen::inRange(0, 6));
        const auto endWaits = [&](const std::vector<RequestId>& ids) {
            for (const RequestId duplicate : ids) RC_ASSERT(waiting.erase(duplicate) == 1U);
        };
        switch (*rc::gen::inRange(0, 5)) {
            case 0:
                if (const auto holder = pending.find(key); holder != pending.end()) {
                    endWaits(id % 2 == 0 ? keys.completed(key, holder->second, std::string(id * 10, 'r'))
                                         : keys.failed(key, holder->second));
                    pending.erase(holder);
                }
                break;
            case 1:
                if (const auto holder = pending.find(key); holder != pending.end()) {
                    endWaits(keys.release(key, holder->second));
                    pending.erase(holder);
                    ran.erase(key);
                }
                break;
            default: {
                const Duration arrived = now - 1ms * *rc::gen::inRange(0, 9000);
                const KeyClaim claim = keys.claim(key, {id, 7, arrived, now}, kRetention);
                if (claim == KeyClaim::Granted) {
                    RC_ASSERT(pending.count(key) == 0U);
                    if (ran.count(key) > 0) RC_ASSERT(arrived > ran[key].first + kRetention.window);
                    ran[key] = {now, id};
                    pending[key] = id;
                } else if (claim == KeyClaim::Duplicate &&
                           keys.join(key, id).outcome == KeyOutcome::Pending) {
                    waiting[id] = key;
                }
            }
        }
        RC_ASSERT(keys.bytes() <= maxBytes);
    }
    for (const auto& [key, id] : pending)
        for (const RequestId duplicate : keys.completed(key, id, ""))
            RC_ASSERT(waiting.erase(duplicate) == 1U);
    RC_ASSERT(waiting.empty());
    keys.claim("last", {999, 7, now + 1h, now + 1h}, kRetention);
    RC_ASSERT(keys.size() <= 1U);
}

}  // namespace
}  // namespace cottonwing
