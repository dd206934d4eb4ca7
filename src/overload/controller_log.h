/// @file
/// Formats the controller's log lines, as `event: key=value ...`.
#pragma once

#include <cstddef>
#include <string>

#include "overload/circuit_breaker.h"
#include "overload/shed_rate.h"
#include "overload/types.h"

namespace cottonwing::overload {

/// What a circuit breaker protects.
enum class BreakerTarget { Dependency, Runs };

/// @return the log line for a state transition; empty for Transition::None.
std::string transitionMessage(BreakerTarget target, CircuitBreaker::Transition transition,
                              const CircuitBreaker& breaker);
/// @param waiting number of requests that wait for the breaker.
std::string halfOpenMessage(BreakerTarget target, std::size_t waiting);
std::string overloadMessage(const ShedRate& shedRate, std::size_t queued);
std::string shutdownMessage(Duration remaining, std::size_t inProgress);
std::string stallMessage(Duration tickDelay);

}  // namespace cottonwing::overload
