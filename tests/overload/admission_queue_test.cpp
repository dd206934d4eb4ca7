#include "overload/admission_queue.h"

#include <gtest/gtest.h>

#include <chrono>

#include "overload/dependency_queue.h"

namespace cottonwing::overload {
namespace {

using namespace std::chrono_literals;
using Ids = std::vector<RequestId>;

// A request that needs one second on the cores and makes no call.
QueuedRequest request(RequestId id, Duration objective, double value = 1) {
    QueuedRequest queued;
    queued.id = id;
    queued.deadline = objective + 2s;
    queued.objectiveEnd = objective;
    queued.answerBy = objective + 2s;
    queued.coreSeconds = 1;
    queued.totalSeconds = 1;
    queued.value = value;
    return queued;
}

TEST(AdmissionQueue, KeepsRequestsThatCompleteInTime) {
    EXPECT_EQ(selectRequestsToShed({request(1, 1s), request(2, 2s), request(3, 3s)}, QueueLoad()), Ids{});
}

TEST(AdmissionQueue, ShedsTheLeastValuableRequestUpToTheFirstLateOne) {
    const std::vector<QueuedRequest> queue = {request(1, 1s, 5), request(2, 1500ms, 2), request(3, 2s, 3)};
    EXPECT_EQ(selectRequestsToShed(queue, QueueLoad()), Ids{2});
}

TEST(AdmissionQueue, ComparesValuePerCoreSecond) {
    std::vector<QueuedRequest> queue = {request(1, 2s, 2), request(2, 2s, 3)};
    queue[1].coreSeconds = 2;
    queue[1].totalSeconds = 2;
    EXPECT_EQ(selectRequestsToShed(queue, QueueLoad()), Ids{2});
}

TEST(AdmissionQueue, ShedsARequestThatIsTooLateAndKeepsTheOthers) {
    QueuedRequest late = request(2, 500ms, 9);
    EXPECT_EQ(selectRequestsToShed({request(1, 1s), late}, QueueLoad()), Ids{2});
    late.lateValueFraction = 0.5;
    EXPECT_EQ(selectRequestsToShed({request(1, 3s), late}, QueueLoad()), Ids{})
        << "a late response has value until its deadline";
}

TEST(AdmissionQueue, KeepsOneRequestAsAProbeWhileCoresAreIdle) {
    QueueLoad load;
    const std::vector<QueuedRequest> queue = {request(1, 500ms)};
    EXPECT_EQ(selectRequestsToShed(queue, load), Ids{1});
    load.coresIdle = true;
    EXPECT_EQ(selectRequestsToShed(queue, load), Ids{});
}

TEST(AdmissionQueue, CallsWaitForCallsWithEarlierDeadlines) {
    const UpcomingCalls upcoming[] = {{1s, 4}};
    QueueLoad load;
    load.secondsBetweenCalls = 0.5;
    load.upcomingCalls = upcoming;
    QueuedRequest calling = request(1, 2s, 9);
    calling.dependencyCalls = 1;
    const QueuedRequest other = request(2, 2s);
    EXPECT_EQ(selectRequestsToShed({calling, other}, load), Ids{1}) << "2.5 s at the dependency";
}

TEST(AdmissionQueue, AnIdleDependencyTakesTheFirstCallHoweverSlowItSeems) {
    QueueLoad load;
    load.secondsBetweenCalls = 100;
    QueuedRequest calling = request(1, 2s);
    calling.dependencyCalls = 1;
    EXPECT_EQ(selectRequestsToShed({calling}, load), Ids{1});
    load.dependencyIdle = true;
    EXPECT_EQ(selectRequestsToShed({calling}, load), Ids{});
}

WaitingCall waitingCall(RequestId id, Duration objective, double value) {
    WaitingCall call;
    call.id = id;
    call.objectiveEnd = objective;
    call.answerBy = objective;
    call.value = value;
    return call;
}

TEST(DependencyQueue, SkipsTheLeastValuableCallUpToTheFirstLateOne) {
    const std::vector<WaitingCall> queue = {waitingCall(1, 1s, 5), waitingCall(2, 1s, 2),
                                            waitingCall(3, 1s, 3)};
    EXPECT_EQ(selectCallsToSkip(queue, {0s, 0.5, 0.5}), Ids{2});
}

TEST(DependencyQueue, SkipsNothingWhereCallsAreNotLimited) {
    EXPECT_EQ(selectCallsToSkip({waitingCall(1, 1s, 5)}, {0s, 9.0, 0.0}), Ids{});
}

}  // namespace
}  // namespace cottonwing::overload
