#include "overload/controller_log.h"

#include <cstdio>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

std::string nameOf(BreakerTarget target) {
    return target == BreakerTarget::Dependency ? "dependency" : "runs";
}

std::string withDecimals(double number, int decimals) {
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", decimals, number);
    return text;
}

}  // namespace

std::string transitionMessage(BreakerTarget target, CircuitBreaker::Transition transition,
                              const CircuitBreaker& breaker) {
    const std::string name = nameOf(target);
    switch (transition) {
        case CircuitBreaker::Transition::Opened:
            return "circuit breaker opened: target=" + name +
                   " consecutive_failures=" + std::to_string(breaker.consecutiveFailures()) +
                   " window_failures=" + std::to_string(breaker.windowFailures()) +
                   " window_size=" + std::to_string(CircuitBreaker::kWindowSize);
        case CircuitBreaker::Transition::Reopened:
            return "circuit breaker opened again: target=" + name +
                   " failed_probes=1 successful_probes=" + std::to_string(breaker.successfulProbes());
        case CircuitBreaker::Transition::Closed:
            return "circuit breaker closed: target=" + name +
                   " successful_probes=" + std::to_string(CircuitBreaker::kSuccessfulProbesToClose);
        case CircuitBreaker::Transition::None:
            break;
    }
    return "";
}

std::string halfOpenMessage(BreakerTarget target, std::size_t waiting) {
    return "circuit breaker half-open: target=" + nameOf(target) + " waiting=" + std::to_string(waiting);
}

std::string overloadMessage(const ShedRate& shedRate, std::size_t queued) {
    return std::string(shedRate.overloaded() ? "overload began" : "overload ended") +
           ": shed_fraction=" + withDecimals(shedRate.fraction(), 2) +
           " queued_requests=" + std::to_string(queued);
}

std::string shutdownMessage(Duration remaining, std::size_t inProgress) {
    return "shutdown began: remaining_s=" + withDecimals(toSeconds(remaining), 1) +
           " requests_in_progress=" + std::to_string(inProgress);
}

std::string stallMessage(Duration tickDelay) {
    return "process stalled: tick_delay_ms=" + withDecimals(toSeconds(tickDelay) * 1e3, 0);
}

}  // namespace cottonwing::overload
