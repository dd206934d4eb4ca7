#include "overload/graceful_shutdown.h"

#include <gtest/gtest.h>

#include <chrono>

#include "overload/latency_objective.h"
#include "overload/stall_detector.h"

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

TEST(GracefulShutdown, RejectsArrivalsAfterTheDrainGrace) {
    GracefulShutdown shutdown(1s);
    EXPECT_FALSE(shutdown.begin(10s, std::nullopt));
    EXPECT_FALSE(shutdown.rejectsArrival(99s));
    EXPECT_TRUE(shutdown.begin(10s, 20s));
    EXPECT_TRUE(shutdown.draining());
    EXPECT_FALSE(shutdown.rejectsArrival(11s));
    EXPECT_TRUE(shutdown.rejectsArrival(11001ms));
}

TEST(GracefulShutdown, AnswersBeforeTheDeadlineAndBeforeTheProcessEnds) {
    GracefulShutdown shutdown(1s);
    EXPECT_EQ(shutdown.answerBy(30s), 29970ms);
    shutdown.begin(10s, 20s);
    EXPECT_EQ(shutdown.answerBy(30s), 19850ms);
    EXPECT_EQ(shutdown.answerBy(15s), 14970ms);
}

TEST(GracefulShutdown, OnlyTheFirstNoticeCounts) {
    GracefulShutdown shutdown(1s);
    shutdown.begin(10s, 20s);
    EXPECT_FALSE(shutdown.begin(12s, 40s));
    EXPECT_EQ(shutdown.answerBy(30s), 19850ms);
}

TEST(StallDetector, ATickOver150MillisecondsLateIsAStall) {
    StallDetector detector;
    EXPECT_FALSE(detector.tickFired(99s).has_value()) << "none was expected";
    detector.expectTick(100s);
    EXPECT_FALSE(detector.tickFired(100150ms).has_value());
    EXPECT_EQ(detector.tickFired(100151ms), 151ms);
}

TEST(StallDetector, AStallAffectsResultsForOneMoreTick) {
    StallDetector detector;
    EXPECT_FALSE(detector.affects(1s));
    detector.expectTick(100s);
    detector.tickFired(101s);
    EXPECT_TRUE(detector.affects(101s));
    EXPECT_TRUE(detector.affects(101020ms));
    EXPECT_FALSE(detector.affects(101021ms));
}

LatencyObjective objectiveOfTwoSeconds() {
    RequestClass requestClass;
    requestClass.latencyObjective = 2s;
    requestClass.latencyObjectiveWorkFactor = 2;
    requestClass.timeout = 5s;
    return LatencyObjective({requestClass});
}

RequestTimes arrivedAtTen(Timestamp deadline, bool isRetry) { return {10s, deadline, 0ms, isRetry}; }

TEST(LatencyObjective, CountsFromTheArrivalOfAFirstAttempt) {
    EXPECT_EQ(objectiveOfTwoSeconds().endFor(0, arrivedAtTen(15s, false)), 11980ms);
    EXPECT_EQ(objectiveOfTwoSeconds().endFor(0, arrivedAtTen(11s, false)), 10980ms)
        << "not after the deadline";
}

TEST(LatencyObjective, GrowsWithTheExpectedWork) {
    RequestTimes times = arrivedAtTen(15s, false);
    times.work = 500ms;
    EXPECT_EQ(objectiveOfTwoSeconds().endFor(0, times), 12980ms);
}

TEST(LatencyObjective, ARetryShortenedByItsClientsTimeoutCountsFromTheFirstAttempt) {
    LatencyObjective objective = objectiveOfTwoSeconds();
    objective.endFor(0, arrivedAtTen(15s, false));
    EXPECT_EQ(objective.endFor(0, arrivedAtTen(14s, true)), 10980ms) << "the first attempt began at 9 s";
    EXPECT_EQ(objective.endFor(0, arrivedAtTen(15s, true)), 11980ms) << "not cut";
}

}  // namespace
}  // namespace cottonwing::overload
