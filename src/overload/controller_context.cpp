#include "overload/controller_context.h"

namespace cottonwing::overload {

namespace {

DependencyLimiter::Config limiterConfig(const ControllerConfig& config) {
    DependencyLimiter::Config limit;
    limit.kind = config.dependency;
    limit.quota = config.dependencyQuota;
    limit.abandonedCallTime = config.abandonedCallTime;
    return limit;
}

MemoryAdmission::Config memoryConfig(const ControllerConfig& config) {
    MemoryAdmission::Config memory;
    memory.limitKb = config.memoryLimitKb;
    memory.idempotencyKeyKb = config.idempotencyKeyKb;
    memory.runMemoryFactor = config.runMemoryFactor;
    return memory;
}

RequestValue::Config valueConfig(const ControllerConfig& config) {
    RequestValue::Config value;
    value.requestClasses = config.requestClasses;
    value.tenants = config.tenants;
    value.overQuotaValueFraction = config.overQuotaValueFraction;
    value.valueCountsWork = config.valueCountsWork;
    value.goalTotalValue = config.goalTotalValue;
    value.goalWorstClass = config.goalWorstClass;
    value.peerCount = config.peerCount;
    return value;
}

SlowStart::Config slowStartConfig(const ControllerConfig& config) {
    SlowStart::Config slowStart;
    slowStart.startsCold = config.startsCold;
    slowStart.coldCapacityFraction = config.coldCapacityFraction;
    slowStart.warmUpTime = config.warmUpTime;
    return slowStart;
}

ConcurrencyLimiter::Config concurrencyConfig(const ControllerConfig& config) {
    ConcurrencyLimiter::Config concurrency;
    concurrency.cores = config.cores;
    concurrency.overloadFactor = config.overloadFactor;
    return concurrency;
}

ClientPushback::Config pushbackConfig(const ControllerConfig& config) {
    ClientPushback::Config pushback;
    pushback.retryAfterAllowed = config.retryAfterAllowed;
    pushback.maxRetryAfter = config.maxRetryAfter;
    return pushback;
}

}  // namespace

ControllerContext::ControllerContext(const ControllerConfig& controllerConfig)
    : config(controllerConfig),
      random(config.seed),
      shutdown(config.drainGrace),
      memory(memoryConfig(config)),
      requestValue(valueConfig(config)),
      serviceTimes(config.requestClasses),
      slowStart(slowStartConfig(config)),
      concurrencyLimiter(concurrencyConfig(config)),
      dependency(limiterConfig(config), shortestCallingObjective(config.requestClasses)),
      pushback(pushbackConfig(config)) {}

const RequestClass& ControllerContext::classOf(const RequestState& request) const {
    return config.requestClasses[static_cast<std::size_t>(request.requestClass)];
}

double ControllerContext::expectedCoreSeconds(const RequestState& request) const {
    return serviceTimes.expectedCoreSeconds(request.requestClass, request.work);
}

double ControllerContext::valueOf(const RequestState& request) const {
    return requestValue.valueOf(valuedRequest(request));
}

CircuitBreaker& ControllerContext::breakerOf(BreakerTarget target) {
    return target == BreakerTarget::Dependency ? dependency.breaker() : runsBreaker;
}

bool ControllerContext::halfOpenWhenDue(BreakerTarget target, std::size_t waiting) {
    if (!breakerOf(target).halfOpenWhenDue(now)) return false;
    sink->log(halfOpenMessage(target, waiting));
    return true;
}

void ControllerContext::logTransition(BreakerTarget target, CircuitBreaker::Transition transition) {
    if (transition == CircuitBreaker::Transition::None) return;
    sink->log(transitionMessage(target, transition, breakerOf(target)));
}

ValuedRequest valuedRequest(const RequestState& request) {
    ValuedRequest valued;
    valued.requestClass = request.requestClass;
    valued.tenant = request.tenant;
    valued.isRetry = request.isRetry;
    valued.work = request.work;
    return valued;
}

}  // namespace cottonwing::overload
