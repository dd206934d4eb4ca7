#include "overload/request_table.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;

RequestState requestWithDeadline(RequestId id, Timestamp deadline) {
    RequestState request;
    request.id = id;
    request.deadline = deadline;
    return request;
}

// Starts the run of request 1 at 10 s.
RequestState& startedRun(RequestTable& table) {
    RequestState& request = table.add(requestWithDeadline(1, 30s));
    table.setAnswerBy(request, 29s);
    table.enterAdmissionQueue(request);
    table.startRun(request, 10s);
    return request;
}

TEST(RequestTable, QueuesByDeadline) {
    RequestTable table;
    table.enterAdmissionQueue(table.add(requestWithDeadline(1, 20s)));
    table.enterAdmissionQueue(table.add(requestWithDeadline(2, 10s)));
    EXPECT_EQ(table.admissionQueue().front().second, 2U);
}

TEST(RequestTable, AStartedRunLeavesTheAdmissionQueue) {
    RequestTable table;
    EXPECT_TRUE(startedRun(table).hasStarted());
    EXPECT_TRUE(table.admissionQueue().empty());
    EXPECT_EQ(table.runsOnCores(), 1);
    EXPECT_EQ(table.runsInProgress(), 1);
}

TEST(RequestTable, ARunThatWaitsForItsCallIsNotOnTheCores) {
    RequestTable table;
    RequestState& request = startedRun(table);
    table.waitForDependency(request, 12s);
    EXPECT_EQ(table.runsOnCores(), 0);
    EXPECT_EQ(table.runsInProgress(), 1);
    EXPECT_EQ(table.callQueue().size(), 1U);
    table.startCall(request, 13s);
    EXPECT_TRUE(table.callQueue().empty());
    EXPECT_EQ(request.call.attempts, 1);
    EXPECT_DOUBLE_EQ(callsInFlight(table, 15s).totalAgeSeconds, 2);
    table.resumeRun(request, 20s);
    EXPECT_EQ(callsInFlight(table, 21s).count, 0);
    EXPECT_DOUBLE_EQ(coreSecondsSoFar(request, 21s), 3) << "the wait does not count";
}

TEST(RequestTable, AClosedAnswerWaitsForNothing) {
    RequestTable table;
    RequestState& request = startedRun(table);
    table.closeAnswer(request);
    EXPECT_TRUE(table.unanswered().empty());
    table.waitForDependency(request, 12s);
    EXPECT_TRUE(table.callQueue().empty());
}

TEST(RequestTable, ARemovedRequestLeavesNothingBehind) {
    RequestTable table;
    table.remove(startedRun(table));
    EXPECT_EQ(table.find(1), nullptr);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.runsOnCores(), 0);
    EXPECT_EQ(table.runsInProgress(), 0);
    EXPECT_TRUE(table.unanswered().empty());
}

}  // namespace
}  // namespace cottonwing::overload
