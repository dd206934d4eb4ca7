#include "overload/memory_admission.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

// Admits arrivals up to 850 KB and runs up to 950 KB.
MemoryAdmission::Config thousandKb() { return {1000, 20, 4}; }

TEST(MemoryAdmission, AdmitsArrivalsUpToEightyFivePercent) {
    MemoryAdmission memory(thousandKb());
    memory.requestArrived(850);
    EXPECT_TRUE(memory.admitsArrival(1s, false));
    EXPECT_FALSE(memory.admitsArrival(1s, true)) << "no memory for the key";
    memory.requestArrived(1);
    EXPECT_FALSE(memory.admitsArrival(1s, false));
}

TEST(MemoryAdmission, ARunTakesAMultipleUpToNinetyFivePercent) {
    MemoryAdmission memory(thousandKb());
    memory.requestArrived(200);
    memory.runStarted(200);
    EXPECT_DOUBLE_EQ(memory.reservedKb(1s), 800);
    memory.requestArrived(40);
    EXPECT_FALSE(memory.admitsRun(1s, 40));
    EXPECT_TRUE(memory.admitsRun(1s, 30));
    memory.runEnded(200);
    memory.queuedRequestLeft(40);
    EXPECT_DOUBLE_EQ(memory.reservedKb(1s), 0);
}

TEST(MemoryAdmission, AKeyIsBookedUntilItExpiresOrIsReleased) {
    MemoryAdmission memory(thousandKb());
    EXPECT_EQ(memory.retainKey(1, 3s, 10s), 13150ms);
    memory.retainKey(2, 3s, 10s);
    EXPECT_DOUBLE_EQ(memory.reservedKb(10s), 40);
    memory.releaseKey(2);
    EXPECT_DOUBLE_EQ(memory.reservedKb(13149ms), 20);
    EXPECT_DOUBLE_EQ(memory.reservedKb(13150ms), 0);
}

}  // namespace
}  // namespace cottonwing::overload
