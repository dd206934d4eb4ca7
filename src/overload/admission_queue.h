/// @file
/// The admission queue: which of the queued requests to shed so that the others complete in time.
#pragma once

#include <span>
#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// A queued request with what it is expected to take.
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
    double concurrencyLimit = 1;     ///< Runs on the cores at once.
    double freeCoreSeconds = 0;      ///< Work that the free places on the cores take at once.
    bool coresIdle = false;          ///< Whether nothing is on the cores.
    double secondsBetweenCalls = 0;  ///< Interval at which the dependency takes calls; 0: not limited.
    bool dependencyIdle = false;     ///< Whether a first call would be sent without delay.
    std::span<const UpcomingCalls> upcomingCalls;  ///< By deadline, earliest first.
};

/// Selects the requests to shed with the Moore-Hodgson algorithm: requests are scheduled in the order of
/// their deadlines, and when one would miss its latency objective, the scheduled request with the lowest
/// value per core-second is shed, which need not be the late one. So requests are shed as soon as their
/// lateness is foreseen, while their clients can still go elsewhere.
///
/// Calls are sent in the order of deadlines too, so only those due earlier stand before a request's own call.
/// With nothing on the cores one request is kept though it seems to be late: it serves as a probe, as
/// only the end of a run shows that the machine has recovered.
/// @param byDeadline the queue, earliest deadline first.
/// @return in the order in which they are to be rejected.
std::vector<RequestId> selectRequestsToShed(const std::vector<QueuedRequest>& byDeadline,
                                            const QueueLoad& load);

}  // namespace cottonwing::overload
