#include "overload/dependency_queue.h"

#include <algorithm>
#include <tuple>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kCoreTimeAfterCall = 0.5;  // part of a run's core time that follows its call

struct ScheduledCall {
    double value = 0;
    RequestId id = 0;
};

bool hasLessValue(const ScheduledCall& left, const ScheduledCall& right) {
    return std::tie(left.value, left.id) < std::tie(right.value, right.id);
}

}  // namespace

std::vector<RequestId> selectCallsToSkip(const std::vector<WaitingCall>& byDeadline,
                                         const DependencyPace& pace) {
    std::vector<RequestId> skipped;
    if (pace.secondsBetweenCalls <= 0) return skipped;
    std::vector<ScheduledCall> scheduled;
    for (const WaitingCall& call : byDeadline) {
        const Duration remaining = fromSeconds(pace.callSeconds + kCoreTimeAfterCall * call.coreSeconds);
        const bool late = pace.now + remaining > call.objectiveEnd;
        scheduled.push_back({call.value * (late ? call.lateValueFraction : 1), call.id});
        const auto callsBefore = static_cast<double>(scheduled.size() - 1);
        const Duration wait = fromSeconds(pace.secondsBetweenCalls * callsBefore);
        if (pace.now + wait + remaining <= (late ? call.answerBy : call.objectiveEnd)) continue;
        const auto least = std::min_element(scheduled.begin(), scheduled.end(), hasLessValue);
        skipped.push_back(least->id);
        scheduled.erase(least);
    }
    return skipped;
}

}  // namespace cottonwing::overload
