/// @file
/// ByteRing compared with a plain string, and its use of memory.
#include "net/byte_ring.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace cottonwing::net {
namespace {

RC_GTEST_PROP(ByteRing, BehavesLikeAString, (const std::vector<std::string>& pieces, std::uint8_t drops)) {
    ByteRing ring(64);
    std::string model;
    std::string scratch;
    for (const std::string& piece : pieces) {
        const bool fits = model.size() + piece.size() <= 64;
        RC_ASSERT(ring.write(piece) == fits);
        if (fits) model += piece;
        RC_ASSERT(ring.peek(model.size(), scratch) == model);
        RC_ASSERT(ring.find('a', 0) == std::min(model.find('a'), model.size()));
        const std::size_t dropped = std::min<std::size_t>(model.size(), drops % 23);
        ring.drop(dropped);
        model.erase(0, dropped);
        RC_ASSERT(ring.size() == model.size() && ring.size() + ring.freeBytes() == 64);
        RC_ASSERT(ring.capacity() <= 64);
    }
}

TEST(ByteRing, GrowsAsNeededAndReleasesLargeStorageWhenEmpty) {
    ByteRing ring(1 << 20);
    EXPECT_EQ(ring.capacity(), 0U);
    ASSERT_TRUE(ring.write("x"));
    EXPECT_LE(ring.capacity(), 2048U);
    const auto pinned = ring.pin();  // as for a pending write
    ASSERT_TRUE(ring.write(std::string(100000, 'y')));
    EXPECT_EQ(pinned[0], 'x');
    ring.drop(ring.size());
    EXPECT_EQ(ring.capacity(), 0U);
}

TEST(ByteRing, RingsThatShareABudgetStayWithinIt) {
    const auto budget = std::make_shared<MemoryBudget>(MemoryBudget{8192, 0});
    {
        ByteRing first(1 << 20, budget);
        ByteRing second(1 << 20, budget);
        ASSERT_TRUE(first.write(std::string(6000, 'x')));
        EXPECT_FALSE(second.write(std::string(6000, 'y')));
        EXPECT_TRUE(second.empty());
        EXPECT_TRUE(second.prepare(4000).empty() || second.capacity() + first.capacity() <= 8192);
        EXPECT_LE(budget->usedBytes, 8192U);
    }
    EXPECT_EQ(budget->usedBytes, 0U);
}

TEST(ByteRing, CanAlwaysGrowToWhatIsGuaranteed) {
    const auto budget = std::make_shared<MemoryBudget>(MemoryBudget{8192, 0});
    {
        ByteRing guaranteed(1 << 20, budget, 3000);
        EXPECT_EQ(budget->usedBytes, 3000U);
        ByteRing other(1 << 20, budget);
        ASSERT_TRUE(other.write(std::string(5192, 'x')));
        EXPECT_FALSE(other.canWrite(1));
        EXPECT_TRUE(guaranteed.canWrite(3000));
        EXPECT_FALSE(guaranteed.canWrite(3001));
        ASSERT_TRUE(guaranteed.write(std::string(3000, 'y')));
        EXPECT_EQ(guaranteed.bytesBeyondGuarantee(), 0U);
        other.release();
        ASSERT_TRUE(guaranteed.write(std::string(4000, 'z')));
        EXPECT_GE(guaranteed.bytesBeyondGuarantee(), 4000U);
        guaranteed.drop(guaranteed.size());
        EXPECT_EQ(budget->usedBytes, 3000U);
    }
    EXPECT_EQ(budget->usedBytes, 0U);
}

TEST(MemoryReservation, GivesItsMemoryBackOnce) {
    const auto budget = std::make_shared<MemoryBudget>(MemoryBudget{100, 0});
    {
        MemoryReservation first(budget, 60);
        EXPECT_TRUE(budget->hasRoomFor(40));
        EXPECT_FALSE(budget->hasRoomFor(41));
        const MemoryReservation moved = std::move(first);
        first.release();
        EXPECT_EQ(budget->usedBytes, 60U);
    }
    EXPECT_EQ(budget->usedBytes, 0U);
}

TEST(ByteRing, FindsAndPeeksBytesThatWrapAround) {
    ByteRing ring(8);
    ASSERT_TRUE(ring.write("abcdef"));
    ring.drop(5);
    ASSERT_TRUE(ring.write("ghijk"));  // "fghijk": "fgh" at the end of the storage, the rest wraps around
    EXPECT_LT(ring.front().size(), ring.size());
    std::string scratch;
    EXPECT_EQ(ring.peek(ring.size(), scratch), "fghijk");
    EXPECT_EQ(ring.find('h', 0), 2U);
    EXPECT_EQ(ring.find('j', 0), 4U);
    EXPECT_EQ(ring.find('j', 4), 4U);
    EXPECT_EQ(ring.find('f', 1), ring.size());
    EXPECT_EQ(ring.freeBytes(), 2U);
}

}  // namespace
}  // namespace cottonwing::net
