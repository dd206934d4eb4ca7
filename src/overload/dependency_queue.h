/// @file
/// The queue of runs that wait for their dependency call: which of them continue without it.
#pragma once

#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// A run that waits for its dependency call.
struct WaitingCall {
    RequestId id = 0;
    Timestamp objectiveEnd{0};  ///< End of its latency objective.
    Timestamp answerBy{0};      ///< When it must be answered.
    double coreSeconds = 0;     ///< Expected time on the cores of the whole run.
    double value = 0;           ///< Of a response within the latency objective.
    double lateValueFraction = 0;
};

/// The rate at which the dependency currently accepts calls.
struct DependencyRate {
    Timestamp now{0};
    double callSeconds = 0;          ///< Duration of one call.
    double secondsBetweenCalls = 0;  ///< Interval at which calls are sent; 0: not limited.
};

/// Selects the runs that continue without their call. When the dependency becomes slow, serving the queue by
/// deadline alone would complete all runs late. So when a run cannot complete in time, the least valuable one
/// among this run and those before it is removed.
/// @param byDeadline the queue, earliest deadline first.
std::vector<RequestId> selectCallsToSkip(const std::vector<WaitingCall>& byDeadline,
                                         const DependencyRate& rate);

}  // namespace cottonwing::overload
