// Idempotency keys: the pure table over random histories, and the program's repeats on loopback.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "helpers.h"
#include "state/idempotency_keys.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using state::IdempotencyKeys;
using telemetry::Count;
using testing::Json;
using testing::Sidecar;
using testing::Stage;
using Claim = IdempotencyKeys::Claim;
using Outcome = IdempotencyKeys::Outcome;
namespace frames = testing::frames;

constexpr state::KeyTimes kTimes{5s, 9s};

TEST(IdempotencyKeys, ARepeatWaitsForTheFirstTryAndSharesItsResult) {
    IdempotencyKeys keys(1 << 20);
    EXPECT_EQ(keys.claim("k", 1, 7, 10s, 10s, kTimes), Claim::First);
    EXPECT_EQ(keys.claim("k", 2, 7, 11s, 11s, kTimes), Claim::Repeat);
    EXPECT_EQ(keys.claim("k", 3, 8, 11s, 11s, kTimes), Claim::Conflict);
    EXPECT_EQ(keys.holder("k"), 1U);
    EXPECT_EQ(keys.join("k", 2).outcome, Outcome::Pending);
    EXPECT_EQ(keys.ended("k", 1, true, "result"), std::vector<RequestId>{2});
    EXPECT_EQ(keys.join("k", 4).outcome, Outcome::Ok);
    EXPECT_EQ(keys.join("k", 4).result, "result");
}

TEST(IdempotencyKeys, ItsWindowCountsFromTheReadingAndOutlivesARunThatIsLonger) {
    IdempotencyKeys keys(1 << 20);
    keys.claim("k", 1, 7, 10s, 10s, kTimes);
    // Read late, but it came within the window.
    EXPECT_EQ(keys.claim("k", 2, 7, 15s, 23s, kTimes), Claim::Repeat);
    // Long past it, while the first try is still at it.
    EXPECT_EQ(keys.claim("k", 3, 7, 99s, 99s, kTimes), Claim::Repeat);
    keys.ended("k", 1, true, "result");
    EXPECT_EQ(keys.claim("k", 4, 7, 15s, 99s, kTimes), Claim::Repeat);
    EXPECT_EQ(keys.claim("k", 5, 7, 99s, 99s, kTimes), Claim::First);
    EXPECT_EQ(keys.holder("k"), 5U);
}

TEST(IdempotencyKeys, WhatNeverRanLeavesTheKeyToOthers) {
    IdempotencyKeys keys(1 << 20);
    keys.claim("k", 1, 7, 10s, 10s, kTimes);
    keys.join("k", 2);
    keys.join("k", 3);
    keys.leave("k", 2);
    EXPECT_EQ(keys.release("k", 9), std::vector<RequestId>());  // not its key
    EXPECT_EQ(keys.release("k", 1), std::vector<RequestId>{3});
    EXPECT_EQ(keys.join("k", 4).outcome, Outcome::NeverRan);
    EXPECT_EQ(keys.claim("k", 4, 7, 10s, 10s, kTimes), Claim::First);
    keys.ended("k", 4, false, "");
    EXPECT_EQ(keys.release("k", 4), std::vector<RequestId>());  // it ran: nobody else may
    EXPECT_EQ(keys.claim("k", 5, 7, 11s, 11s, kTimes), Claim::Repeat);
    EXPECT_EQ(keys.join("k", 5).outcome, Outcome::Failed);
}

TEST(IdempotencyKeys, ResultsGiveWayToKeysAndKeysAreTurnedAwayWhenNoneIsLeft) {
    IdempotencyKeys keys(4000);
    keys.claim("a", 1, 7, 10s, 10s, kTimes);
    keys.ended("a", 1, true, std::string(2000, 'x'));
    RequestId next = 2;
    while (keys.claim("k" + std::to_string(next), next, 7, 10s, 10s, kTimes) == Claim::First) ++next;
    EXPECT_LE(keys.bytes(), 4000U);
    EXPECT_GT(next, 5U);
    // Its result had to go: it can't be told again, and may not run again.
    EXPECT_EQ(keys.claim("a", 99, 7, 11s, 11s, kTimes), Claim::Repeat);
    EXPECT_EQ(keys.join("a", 99).outcome, Outcome::Failed);
    EXPECT_EQ(keys.claim("z", 100, 7, 11s, 11s, kTimes), Claim::NoRoom);
    // Ended ones run out by time, those in hand do not.
    EXPECT_EQ(keys.claim("z", 100, 7, 60s, 60s, kTimes), Claim::First);
    EXPECT_EQ(keys.holder("a"), 0U);
    EXPECT_EQ(keys.holder("k2"), 2U);
}

// Over random histories: within its window no key is First twice unless the holder is known not to have run,
// each one that waits is told once, and the books of bytes close.
RC_GTEST_PROP(IdempotencyKeys, NoTwoTriesOfAKeyRun, ()) {
    const std::size_t most = *rc::gen::inRange<std::size_t>(0, 20000);
    IdempotencyKeys keys(most);
    std::map<std::string, std::pair<Duration, RequestId>> ran;  // by key: reading of the try that holds it
    std::map<std::string, RequestId> inHand;
    std::map<RequestId, std::string> waits;
    Duration now = 100s;
    for (RequestId id = 1; id <= 150; ++id) {
        now += 1ms * *rc::gen::inRange(0, 2000);
        const std::string key = std::to_string(*rc::gen::inRange(0, 6));
        const auto told = [&](const std::vector<RequestId>& ids) {
            for (const RequestId one : ids) RC_ASSERT(waits.erase(one) == 1U);
        };
        switch (*rc::gen::inRange(0, 5)) {
            case 0:
                if (const auto holder = inHand.find(key); holder != inHand.end()) {
                    told(keys.ended(key, holder->second, id % 2 == 0, std::string(id * 10, 'r')));
                    inHand.erase(holder);
                }
                break;
            case 1:
                if (const auto holder = inHand.find(key); holder != inHand.end()) {
                    told(keys.release(key, holder->second));
                    inHand.erase(holder);
                    ran.erase(key);
                }
                break;
            default: {
                const Duration arrived = now - 1ms * *rc::gen::inRange(0, 9000);
                const Claim claim = keys.claim(key, id, 7, arrived, now, kTimes);
                if (claim == Claim::First) {
                    RC_ASSERT(inHand.count(key) == 0U);
                    if (ran.count(key) > 0) RC_ASSERT(arrived > ran[key].first + kTimes.window);
                    ran[key] = {now, id};
                    inHand[key] = id;
                } else if (claim == Claim::Repeat && keys.join(key, id).outcome == Outcome::Pending) {
                    waits[id] = key;
                }
            }
        }
        RC_ASSERT(keys.bytes() <= most);
    }
    for (const auto& [key, id] : inHand)
        for (const RequestId one : keys.ended(key, id, true, "")) RC_ASSERT(waits.erase(one) == 1U);
    RC_ASSERT(waits.empty());
    keys.claim("last", 999, 7, now + 1h, now + 1h, kTimes);
    RC_ASSERT(keys.size() <= 1U);
}

Json keyedStart() {
    Json all = testing::plainStart();
    Json& settings = all["settings"];
    settings["classes"][0]["repeat"] = "guarded";
    settings["classes"][0]["window_us"] = 30000000;
    settings["classes"].push_back({{"name", "pay"},
                                   {"repeat", "single_shot"},
                                   {"aim_us", 2000000},
                                   {"deadline_us", 5000000},
                                   {"worth", 5}});
    settings["family_info"]["class_calls"] = {true, false, true};
    settings["family_info"]["degraded_worth"] = {0, 0, 0.5};
    return all;
}

struct Keyed : Stage {
    explicit Keyed(Json start = keyedStart()) : Stage(std::move(start)) {
        bound();
        sidecar = std::make_unique<Sidecar>(loop, port());
    }
    // A try under the key, with a trace of its own.
    std::int32_t ask(int number, const std::string& key, const std::string& body = "body") {
        testing::Reply fields = Sidecar::fields(number);
        if (!key.empty()) fields["nonce"] = key;
        sidecar->say(frames::serve(++sidecar->sequence, fields, body));
        return sidecar->sequence;
    }
    const frames::Read& answer(std::int32_t sequence) {
        wait([&] { return sidecar->answers.contains(sequence); });
        return sidecar->answers[sequence];
    }
    void running(int number) {
        wait([&] { return pool.running.contains(Sidecar::trace(number)); });
    }
    std::unique_ptr<Sidecar> sidecar;
};

TEST(Keyed, RepeatsShareOneRun) {
    Keyed on;
    const auto first = on.ask(1, "k1");
    on.running(1);
    const auto second = on.ask(2, "k1");
    on.wait([&] { return on.count(Count::DuplicateRequests) == 1; });
    on.pool.finish(Sidecar::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(first).body, "result");
    EXPECT_EQ(on.answer(second).kind, "answer");
    EXPECT_EQ(on.answer(second).body, "result");
    const auto third = on.ask(3, "k1");  // after the end
    EXPECT_EQ(on.answer(third).body, "result");
    EXPECT_EQ(on.pool.starts, 1);
    on.expectBooksClosed();
}

TEST(Keyed, OneTurnHoldsBothTries) {
    Keyed on;
    testing::Reply one = Sidecar::fields(1), two = Sidecar::fields(2);
    one["nonce"] = two["nonce"] = "k1";
    on.sidecar->say(frames::serve(1, one, "body") + frames::serve(2, two, "body"));
    on.running(1);
    on.pool.finish(Sidecar::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(1).body, "result");
    EXPECT_EQ(on.answer(2).body, "result");
    EXPECT_EQ(on.pool.starts, 1);
}

TEST(Keyed, ARepeatOfWhatFailedFails) {
    Keyed on;
    const auto first = on.ask(1, "k1");
    on.running(1);
    on.pool.finish(Sidecar::trace(1), "failed");
    EXPECT_EQ(on.answer(first).kind, "failed");
    EXPECT_EQ(on.answer(on.ask(2, "k1")).kind, "failed");  // denied would mean that it never ran
    EXPECT_EQ(on.pool.starts, 1);
}

TEST(Keyed, WhatNeverRanMayBeTriedAgain) {
    Keyed on;
    on.pool.refused.push_back(Sidecar::trace(1));
    EXPECT_EQ(on.answer(on.ask(1, "k1")).kind, "failed");
    const auto again = on.ask(2, "k1");
    on.running(2);
    on.pool.finish(Sidecar::trace(2), "ok", "result");
    EXPECT_EQ(on.answer(again).body, "result");
}

// A client that took another's key, but not its body, was answered with what that one was served.
TEST(Keyed, AKeyWithAnotherBodyIsNotServed) {
    Keyed on;
    const auto first = on.ask(1, "k1", "mine");
    on.running(1);
    EXPECT_EQ(on.answer(on.ask(2, "k1", "theirs")).kind, "failed");
    on.pool.finish(Sidecar::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(first).body, "result");
    EXPECT_EQ(on.answer(on.ask(3, "k1", "theirs")).kind, "failed");
    EXPECT_EQ(on.count(Count::KeyConflicts), 2U);
    EXPECT_EQ(on.pool.starts, 1);
    on.expectBooksClosed();
}

TEST(Keyed, AKeyIsNeededAndBounded) {
    Keyed on;
    EXPECT_EQ(on.answer(on.ask(1, "")).kind, "refusal");
    EXPECT_EQ(on.answer(on.ask(2, std::string(65, 'k'))).kind, "refusal");
    EXPECT_EQ(on.count(Count::RequestsRead), 0U);
}

TEST(Keyed, ACallerThatLeavesTakesItsRepeatOutOfTheLine) {
    Keyed on;
    const auto first = on.ask(1, "k1");
    on.running(1);
    const auto second = on.ask(2, "k1");
    on.wait([&] { return on.count(Count::DuplicateRequests) == 1; });
    on.sidecar->say(frames::forget(99, second));
    on.wait([&] { return on.count(Count::ClientCancellations) == 1; });
    on.pool.finish(Sidecar::trace(1), "ok", "result");
    EXPECT_EQ(on.answer(first).body, "result");
    EXPECT_FALSE(on.sidecar->answers.contains(second));
    on.expectBooksClosed();
}

// After the grace nothing may start, and a repeat of what ran may not be denied either.
TEST(Keyed, ARepeatAfterTheGraceIsAnsweredFromTheResult) {
    Json start = keyedStart();
    start["settings"]["obligations"]["drain_grace_us"] = 0;
    start["stop_ms"] = 4000;
    Keyed on(start);
    const auto kept = on.ask(5, "other");  // keeps the connection in use
    on.running(5);
    on.ask(1, "k1");
    on.running(1);
    on.pool.finish(Sidecar::trace(1), "ok", "result");
    on.program->leave();
    on.wait([&] { return on.sidecar->goaways > 0; });
    // Requests tell their arrival in whole milliseconds: one of this millisecond may predate the notice.
    const auto noticedIn = net::unixNow() / 1ms;
    on.wait([&] { return net::unixNow() / 1ms > noticedIn; });
    const auto repeat = on.ask(2, "k1"), fresh = on.ask(3, "k2");
    EXPECT_EQ(on.answer(repeat).body, "result");
    EXPECT_EQ(on.answer(fresh).kind, "busy");
    on.pool.finish(Sidecar::trace(5), "ok", "done");
    EXPECT_EQ(on.answer(kept).body, "done");
}

TEST(Keyed, ACallIsLeftOutWhereTheProfileAllowsIt) {
    Keyed on;
    on.records.answer = [](net::Connection&, const std::string&, const std::string&) {
        return testing::HttpStandIn::reply(500);
    };
    const auto sequence = on.sidecar->ask(1, "body", "pay");
    on.running(1);
    on.pool.block(Sidecar::trace(1), "call");
    on.wait([&] { return !on.pool.passed.empty(); });
    EXPECT_EQ(on.pool.passed.front(), Sidecar::trace(1));
    on.pool.finish(Sidecar::trace(1), "ok", "poorer");
    EXPECT_EQ(on.answer(sequence).body, "poorer");
}

// A start that went with the link: nothing tells whether it ran, so it is not said again while its caller
// waits. Once over it is: what runs commands then tells that nothing was started, and its place is free.
TEST(Keyed, AStartLostWithTheLinkIsAskedAfterWhenItIsOver) {
    Keyed on;
    testing::Reply fields = Sidecar::fields(1, "pay", 1500);
    on.sidecar->say(frames::serve(++on.sidecar->sequence, fields, "body"));
    on.running(1);
    on.pool.running.clear();  // lost
    on.pool.server.hangUp();
    on.wait([&] { return on.count(Count::WorkerPoolConnections) == 2; });
    EXPECT_EQ(on.answer(1).kind, "failed");
    EXPECT_EQ(on.pool.starts, 1);
    EXPECT_EQ(on.program->backend().trackedCount(), 1U);
    on.wait([&] { return on.pool.starts == 2; });
    on.pool.finish(Sidecar::trace(1), "void");
    on.wait([&] { return on.program->backend().trackedCount() == 0; });
    on.expectBooksClosed();
}

}  // namespace
}  // namespace cottonwing
