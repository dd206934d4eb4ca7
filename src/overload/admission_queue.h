/// @file
/// The admission queue: which of the queued requests to shed so that the others complete in time.
#pragma once

#include <span>
#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// A queued request and its expected cost.
struct QueuedRequest {
    RequestId id = 0;
    Timestamp deadline{0};      ///< Orders the queue.
    Timestamp objectiveEnd{0};  ///< End of its latency objective.
    Timestamp answerBy{0};      ///< When it must be answered.
    double coreSeconds = 0;     ///< Expected time on the cores.
    double totalSeconds = 0;    ///< Expected time from start to end.
    double dependencyCalls = 0;
    double value = 0;  ///< Of a response within the latency objective.
    double lateValueFraction = 0;
};

/// Dependency calls that started runs will still make.
struct UpcomingCalls {
    Timestamp deadline{0};  ///< Of the run.
    double count = 0;
};

/// The load in front of the admission queue.
struct QueueLoad {
    Timestamp now{0};
    double concurrencyLimit = 1;     ///< Maximum number of runs on the cores.
    double freeCoreSeconds = 0;      ///< Work that the free run slots can start immediately.
    bool coresIdle = false;          ///< Whether nothing is on the cores.
    double secondsBetweenCalls = 0;  ///< Interval at which the dependency accepts calls; 0: not limited.
    bool dependencyIdle = false;     ///< Whether a first call would be sent without delay.
    std::span<const UpcomingCalls> upcomingCalls;  ///< By deadline, earliest first.
};

/// Selects the requests to shed with the Moore-Hodgson algorithm: requests are scheduled in the order of
/// their deadlines, and when one would miss its latency objective, the scheduled request with the lowest
/// value per core-second is shed, which need not be the late one. Requests are thus shed as soon as it is
/// foreseeable that they would be late, while their clients still have time to try another server.
///
/// Calls are sent in the order of deadlines too, so a request's own call waits only for those with earlier
/// deadlines. If the cores are idle, one request is kept even if it is expected to be late: it serves as a
/// probe, because only a completed run shows that the machine has recovered.
/// @param byDeadline the queue, earliest deadline first.
/// @return the requests to shed, in the order in which they are to be rejected.
std::vector<RequestId> selectRequestsToShed(const std::vector<QueuedRequest>& byDeadline,
                                            const QueueLoad& load);

}  // namespace cottonwing::overload
