/// @file
/// The queue of runs that wait for their dependency call: which of them go on without it.
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

/// How the dependency takes calls at present.
struct DependencyPace {
    Timestamp now{0};
    double callSeconds = 0;          ///< What one call takes.
    double secondsBetweenCalls = 0;  ///< Interval at which calls are sent; 0: not limited.
};

/// Selects the runs that go on without their call. When the dependency gets slow, serving the queue by
/// deadline alone would complete all of it late; so where a run cannot complete in time, the one with the
/// least value among those up to it is taken out.
/// @param byDeadline the queue, earliest deadline first.
std::vector<RequestId> selectCallsToSkip(const std::vector<WaitingCall>& byDeadline,
                                         const DependencyPace& pace);

}  // namespace cottonwing::overload
