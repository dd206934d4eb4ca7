/// @file
/// The rules and the state that the steps of one controller share.
#pragma once

#include <cstddef>
#include <vector>

#include "overload/admission_queue.h"
#include "overload/client_pushback.h"
#include "overload/concurrency_limiter.h"
#include "overload/controller_log.h"
#include "overload/decision_sink.h"
#include "overload/dependency_calls.h"
#include "overload/graceful_shutdown.h"
#include "overload/memory_admission.h"
#include "overload/random_source.h"
#include "overload/request_table.h"
#include "overload/request_value.h"
#include "overload/service_time_model.h"
#include "overload/shed_rate.h"
#include "overload/slow_start.h"
#include "overload/stall_detector.h"

namespace cottonwing::overload {

/// The rules are independent of each other, each in its own file; the steps (arrivals, runs, calls, closing,
/// control tick) connect them through this context.
struct ControllerContext {
    explicit ControllerContext(const ControllerConfig& controllerConfig);

    const RequestClass& classOf(const RequestState& request) const;
    double expectedCoreSeconds(const RequestState& request) const;
    double valueOf(const RequestState& request) const;

    CircuitBreaker& breakerOf(BreakerTarget target);
    /// Makes the breaker half-open and logs the transition, if its open time is over.
    /// @param waiting number of requests that wait for the breaker.
    /// @return whether its state changed.
    bool halfOpenWhenDue(BreakerTarget target, std::size_t waiting);
    void logTransition(BreakerTarget target, CircuitBreaker::Transition transition);

    const ControllerConfig config;
    RandomSource random;
    DecisionSink* sink = nullptr;  ///< Of the current batch.
    Timestamp now{0};              ///< Of the current batch.

    RequestTable requests;
    StallDetector stallDetector;
    GracefulShutdown shutdown;
    MemoryAdmission memory;
    RequestValue requestValue;
    ServiceTimeModel serviceTimes;
    SlowStart slowStart;
    ConcurrencyLimiter concurrencyLimiter;
    CircuitBreaker runsBreaker;  ///< Of the server's own runs.
    DependencyCalls dependency;
    std::vector<UpcomingCalls> upcomingCalls;  ///< By deadline, as of the last control tick.
    ShedRate shedRate;
    ClientPushback pushback;
};

/// @return the properties of a request on which its value depends.
ValuedRequest valuedRequest(const RequestState& request);

}  // namespace cottonwing::overload
