// The decisions on attempts, on who is used and on which one: properties over random histories.
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

// ---- attempts -------------------------------------------------------------------------------------------

TEST(Attempts, OnceOnlyIsRepeatedOnlyWhenKnownNotToHaveBegun) {
    std::mt19937 chance(1);
    AttemptTerms terms;
    Budget budget(terms);
    Tried tried;
    tried.stopsAt = 10s;
    for (const Idempotency repeat : {Idempotency::None, Idempotency::WithKey, Idempotency::Idempotent}) {
        tried.idempotency = repeat;
        tried.began = Began::Never;
        EXPECT_EQ(again(terms, budget, tried, 0s, chance).why, Why::Again);
        tried.began = Began::Ran;
        EXPECT_EQ(again(terms, budget, tried, 0s, chance).why, Why::Unrepeatable);
        tried.began = Began::Unknown;
        EXPECT_EQ(again(terms, budget, tried, 0s, chance).why,
                  repeat == Idempotency::Idempotent ? Why::Again : Why::Unrepeatable);
    }
}

TEST(Attempts, EachBoundEndsThemByItsName) {
    std::mt19937 chance(1);
    AttemptTerms terms;
    Budget budget(terms);
    Tried tried;
    tried.stopsAt = 10s;
    tried.attempts = 3;
    EXPECT_EQ(again(terms, budget, tried, 0s, chance).why, Why::Attempts);
    tried.attempts = 2;
    tried.noRetryElsewhere = true;
    EXPECT_EQ(again(terms, budget, tried, 0s, chance).why, Why::AskedNotTo);
    tried.noRetryElsewhere = false;
    tried.retryAfter = 11s;
    EXPECT_EQ(again(terms, budget, tried, 0s, chance).why, Why::NoTime);
    tried.retryAfter = 2s;
    const Verdict verdict = again(terms, budget, tried, 0s, chance);
    EXPECT_EQ(verdict.why, Why::Again);
    EXPECT_GE(verdict.at, 2s);
    for (int n = 0; n < 5; ++n) budget.failed();
    EXPECT_EQ(again(terms, budget, tried, 0s, chance).why, Why::Budget);
    for (int n = 0; n < 3; ++n) budget.good();
    EXPECT_EQ(again(terms, budget, tried, 0s, chance).why, Why::Again);
}

RC_GTEST_PROP(Attempts, WaitsKeepTheirBounds, ()) {
    std::mt19937 chance(static_cast<unsigned>(upTo(1000000)));
    AttemptTerms terms;
    terms.growth = static_cast<Growth>(upTo(1));
    terms.jitter = static_cast<Jitter>(upTo(3));
    terms.least = 1ms * (1 + upTo(100));
    terms.longest = terms.least + 1ms * upTo(5000);
    Duration before{0};
    for (int attempts = 1; attempts < 100; ++attempts) {
        before = wait(terms, attempts, before, chance);
        RC_ASSERT(before >= 0ns);
        RC_ASSERT(before <= terms.longest);
        if (terms.jitter == Jitter::None || terms.jitter == Jitter::Decorrelated)
            RC_ASSERT(before >= terms.least);
    }
}

// No storm: whatever part of the attempts fails, repeats stay under half of the tokens, plus one for each
// ten that went well: under a fifth of first tries with all servers failing, at any size of the group.
RC_GTEST_PROP(Attempts, RepeatsAreBoundedByWhatGoesWell, ()) {
    std::mt19937 chance(static_cast<unsigned>(upTo(1000000)));
    AttemptTerms terms;
    Budget budget(terms);
    const int failing = upTo(100), requests = 50 + upTo(500);
    int repeats = 0, good = 0;
    for (int n = 0; n < requests; ++n) {
        for (int attempts = 1;; ++attempts) {
            if (upTo(99) >= failing) {
                budget.good();
                ++good;
                break;
            }
            budget.failed();
            Tried tried;
            tried.attempts = attempts;
            tried.stopsAt = 100s;
            if (again(terms, budget, tried, 0s, chance).why != Why::Again) break;
            ++repeats;
        }
    }
    RC_ASSERT(repeats <= 5 + good / 10 + 1);
}

// ---- members --------------------------------------------------------------------------------------------

TEST(MembersOut, FiveInARowGoOutAndThreeProbesBringBack) {
    std::mt19937 chance(1);
    Members members{MemberTerms{}};
    for (int n = 0; n < 4; ++n) members.add();
    for (int n = 0; n < 4; ++n) members.failed(2, 1s, chance);
    EXPECT_TRUE(members.usable(2, 1s));
    members.failed(2, 1s, chance);
    EXPECT_FALSE(members.usable(2, 1s));
    EXPECT_EQ(members.state(2, 1s), Members::State::Out);
    members.good(2, 1500ms);  // was sent before it went out: no sign of a return
    EXPECT_EQ(members.state(2, 3s), Members::State::Probing);
    for (int probe = 0; probe < 3; ++probe) {
        ASSERT_TRUE(members.usable(2, 3s));
        members.began(2, 3s);
        EXPECT_FALSE(members.usable(2, 3s)) << "a second probe beside the first";
        members.good(2, 3s);
    }
    EXPECT_EQ(members.state(2, 3s), Members::State::In);
}

TEST(MembersOut, AGroupThatIsMostlyOutIsUsedWhole) {
    std::mt19937 chance(1);
    Members members{MemberTerms{}};
    for (int n = 0; n < 4; ++n) members.add();
    for (Members::Index at = 0; at < 3; ++at)
        for (int n = 0; n < 5; ++n) members.failed(at, 1s, chance);
    EXPECT_TRUE(members.panics());
    for (Members::Index at = 0; at < 4; ++at) EXPECT_TRUE(members.usable(at, 1s));
}

TEST(MembersOut, ChecksAloneTakeOutAndBringBack) {
    std::mt19937 chance(1);
    Members members{MemberTerms{}};
    for (int n = 0; n < 4; ++n) members.add();
    members.checked(1, false, 1s, chance);
    EXPECT_TRUE(members.usable(1, 1s));
    members.checked(1, false, 2s, chance);
    EXPECT_FALSE(members.usable(1, 2s));
    for (int n = 0; n < 6; ++n) members.checked(1, true, 5s + n * 1s, chance);
    EXPECT_EQ(members.state(1, 11s), Members::State::In);
}

// No flapping: a member that is well and bad in turn changes its state ever more seldom, whatever the order
// of what is seen; what is kept for it adds up; usable never leaves a group without anybody.
RC_GTEST_PROP(MembersOut, ChangesAMinuteAreBounded, ()) {
    std::mt19937 chance(static_cast<unsigned>(upTo(1000000)));
    MemberTerms terms;
    Members members(terms);
    const int count = 1 + upTo(8);
    for (int n = 0; n < count; ++n) members.add();
    const int bad = 1 + upTo(98);
    Duration now{0};
    for (int n = 0; n < 3000; ++n) {
        now += 20ms;
        const auto at = static_cast<Members::Index>(upTo(count - 1));
        if (upTo(200) == 0 && members.present(at) && members.size() > 1) {
            members.remove(at);
            RC_ASSERT(members.add() == at);
        }
        if (members.usable(at, now)) {
            members.began(at, now);
            if (upTo(99) < bad)
                members.failed(at, now, chance);
            else
                members.good(at, now);
        }
        if (upTo(20) == 0) members.checked(at, upTo(99) >= bad, now, chance);
        std::size_t out = 0, usable = 0;
        for (Members::Index each = 0; each < static_cast<Members::Index>(count); ++each) {
            out += members.state(each, now) != Members::State::In;
            usable += members.usable(each, now);
        }
        RC_ASSERT(out == members.out());
        if (members.panics()) RC_ASSERT(usable == static_cast<std::size_t>(count));
    }
    // A minute: out for 1, 2, 4, 8, 16 s and 30 s, two changes each; added ones begin anew.
    RC_ASSERT(members.changes() <= static_cast<std::uint64_t>(2 * 7 * count + 2 * 3000 / 200 * 4));
}

// ---- choice ---------------------------------------------------------------------------------------------

const auto kAll = [](Choice::Index) { return true; };

TEST(WhichOne, RoundRobinTakesEachInTurn) {
    std::mt19937 chance(1);
    Choice choice(Way::RoundRobin);
    for (Choice::Index at = 0; at < 3; ++at) choice.add(at);
    std::map<Choice::Index, int> taken;
    for (int n = 0; n < 30; ++n) ++taken[*choice.choose(0, std::nullopt, kAll, chance)];
    for (const auto& [at, count] : taken) EXPECT_EQ(count, 10) << at;
}

TEST(WhichOne, OneSubjectStaysWithOneServerWhileItBearsIt) {
    std::mt19937 chance(1);
    Choice choice(Way::BySubject);
    for (Choice::Index at = 0; at < 10; ++at) choice.add(at);
    const auto home = *choice.choose(77, std::nullopt, kAll, chance);
    EXPECT_EQ(*choice.choose(77, std::nullopt, kAll, chance), home);
    // With all load on one subject no server carries more than a quarter above the mean, but for rounding up.
    for (int n = 0; n < 100; ++n) choice.began(*choice.choose(77, std::nullopt, kAll, chance));
    for (Choice::Index at = 0; at < 10; ++at) EXPECT_LE(choice.inFlight(at), 13);
    // One that leaves moves only its own subjects.
    Choice calm(Way::BySubject);
    for (Choice::Index at = 0; at < 10; ++at) calm.add(at);
    std::map<std::uint64_t, Choice::Index> before;
    for (std::uint64_t subject = 0; subject < 1000; ++subject)
        before[subject] = *calm.choose(subject, std::nullopt, kAll, chance);
    calm.remove(4);
    for (const auto& [subject, at] : before)
        if (at != 4) {
            EXPECT_EQ(*calm.choose(subject, std::nullopt, kAll, chance), at);
        }
}

TEST(WhichOne, TwoChoicesLeaveASlowServerMostlyAlone) {
    std::mt19937 chance(1);
    Choice choice(Way::TwoChoices);
    for (Choice::Index at = 0; at < 10; ++at) choice.add(at);
    int slow = 0;
    for (int n = 0; n < 2000; ++n) {
        const auto at = *choice.choose(0, std::nullopt, kAll, chance);
        slow += at == 3;
        choice.began(at);
        choice.ended(at, at == 3 ? 500ms : 50ms, n * 5ms);
    }
    EXPECT_LT(slow, 2000 / 10 / 4);
    EXPECT_GT(slow, 0) << "it has to be seen when it is well again";
}

// One that fails at once looks idle and quick: failures tell nothing of how quick a server is.
TEST(WhichOne, FailuresAreNotTakenForQuickAnswers) {
    std::mt19937 chance(1);
    Choice choice(Way::Fastest);
    choice.add(0);
    choice.add(1);
    for (int n = 0; n < 50; ++n) {
        choice.began(0), choice.ended(0, 50ms, n * 10ms);
        choice.began(1), choice.ended(1, 40ms, n * 10ms);
    }
    for (int n = 0; n < 50; ++n) choice.began(0), choice.ended(0, std::nullopt, 1s);
    EXPECT_EQ(*choice.choose(0, std::nullopt, kAll, chance), 1U);
}

// Whatever way, whatever leaves and comes: what is chosen is there and may be used, the one to avoid is taken
// only where no other is left, nothing only where nobody may be used, and the invariant checker of what flies
// add up.
RC_GTEST_PROP(WhichOne, ChoosesWhatMayBeUsed, ()) {
    std::mt19937 chance(static_cast<unsigned>(upTo(1000000)));
    Choice choice(static_cast<Way>(upTo(4)));
    std::map<Choice::Index, int> there;
    for (int n = 0; n < 400; ++n) {
        const auto at = static_cast<Choice::Index>(upTo(11));
        const int what = upTo(9);
        if (what == 0) {
            if (!there.contains(at)) choice.add(at, 0.25 * (1 + upTo(8))), there[at] = 0;
        } else if (what == 1 && there.contains(at)) {
            choice.remove(at);
            there.erase(at);
        } else if (what == 2 && there.contains(at)) {
            choice.setWeight(at, 0.25 * (1 + upTo(8)));
        } else if (what < 5 && there.contains(at) && there[at] > 0) {
            choice.ended(at, upTo(1) ? std::optional<Duration>(1ms * upTo(500)) : std::nullopt, n * 10ms);
            --there[at];
        } else {
            const unsigned mask = static_cast<unsigned>(upTo(4095));
            const auto usable = [&](Choice::Index each) {
                return there.contains(each) && (mask >> each & 1U) != 0;
            };
            const std::optional<Choice::Index> avoid = upTo(1) ? std::optional(at) : std::nullopt;
            const auto chosen = choice.choose(static_cast<std::uint64_t>(upTo(50)), avoid, usable, chance);
            int others = 0;
            for (const auto& [each, flying] : there) others += usable(each) && avoid != each;
            if (chosen) {
                RC_ASSERT(usable(*chosen));
                RC_ASSERT(avoid != *chosen || others == 0);
                choice.began(*chosen);
                ++there[*chosen];
            } else {
                RC_ASSERT(others == 0);
            }
        }
        for (const auto& [each, flying] : there) RC_ASSERT(choice.inFlight(each) == flying);
        RC_ASSERT(choice.size() == there.size());
    }
}

}  // namespace
}  // namespace cottonwing::routing
