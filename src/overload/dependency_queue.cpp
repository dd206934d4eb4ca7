#include "overload/dependency_queue.h"

#include <algorithm>
#include <tuple>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kCoreFractionAfterCall = 0.5;  // of a run's core time, spent after its call

struct ScheduledCall {
    double value = 0;
    RequestId id = 0;
};

bool hasLessValue(const ScheduledCall& left, const ScheduledCall& right) {
    return std::tie(left.value, left.id) < std::tie(right.value, right.id);
}

}  // namespace

std::vector<RequestId> selectCallsToSkip(const std::vector<WaitingCall>& byDeadline,
                                         const DependencyRate& rate) {
    std::vector<RequestId> skipped;
    if (rate.secondsBetweenCalls <= 0) return skipped;
    std::vector<ScheduledCall> scheduled;
    for (const WaitingCall& call : byDeadline) {
        const Duration remaining = fromSeconds(rate.callSeconds + kCoreFractionAfterCall * call.coreSeconds);
        const bool late = rate.now + remaining > call.objectiveEnd;
        scheduled.push_back({call.value * (late ? call.lateValueFraction : 1), call.id});
        const auto callsBefore = static_cast<double>(scheduled.size() - 1);
        const Duration wait = fromSeconds(rate.secondsBetweenCalls * callsBefore);
        if (rate.now + wait + remaining <= (late ? call.answerBy : call.objectiveEnd)) continue;
        const auto leastValuable = std::min_element(scheduled.begin(), scheduled.end(), hasLessValue);
        skipped.push_back(leastValuable->id);
        scheduled.erase(leastValuable);
    }
    return skipped;
}

}  // namespace cottonwing::overload
