#include "overload/control_tick.h"

#include <algorithm>
#include <chrono>
#include <tuple>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr Duration kAdvicePeriod = std::chrono::milliseconds(200);

bool isDueEarlier(const UpcomingCalls& left, const UpcomingCalls& right) {
    return std::tie(left.deadline, left.count) < std::tie(right.deadline, right.count);
}

IdleConnections::Config idleConfig(const ControllerConfig& config) {
    IdleConnections::Config idle;
    idle.maxIdle = config.maxConnectionIdle;
    idle.clientCount = config.clientCount;
    return idle;
}

}  // namespace

ControlTick::ControlTick(ControllerContext& context)
    : context_(context),
      loadAdvertiser_(context.config.loadSignal),
      idleConnections_(idleConfig(context.config)) {}

void ControlTick::observeGauges(const Gauges& gauges) {
    if (!gauges.coreDemand) return;
    CoreLoad load;
    load.demand = *gauges.coreDemand;
    load.runsOnCores = context_.requests.runsOnCores();
    load.requestsQueued = !context_.requests.admissionQueue().empty();
    context_.concurrencyLimiter.adapt(load);
}

void ControlTick::runWhenDue() {
    if (context_.now < nextTick_) return;
    const double elapsedSeconds = toSeconds(context_.now - lastTick_);
    lastTick_ = context_.now;
    if (context_.halfOpenWhenDue(BreakerTarget::Runs, context_.requests.admissionQueue().size()))
        context_.sink->setHealth(!context_.shutdown.draining());
    context_.requestValue.decay(elapsedSeconds);
    context_.shedRate.update(elapsedSeconds);
    context_.dependency.limiter().accrueUnusedQuota(elapsedSeconds);
    updateSlowdown();
    collectUpcomingCalls();
    context_.dependency.updateCallTimes(callsInFlight(context_.requests, context_.now));
    adviseClients();
    nextTick_ = context_.now + kControlTick;
    context_.stallDetector.expectTick(nextTick_);
    context_.sink->scheduleTick(kControlTick);
}

void ControlTick::updateSlowdown() {
    RunsOnCores runs;
    runs.cores = context_.config.cores;
    for (const auto& [id, request] : context_.requests) {
        if (request.phase != RequestPhase::OnCores) continue;
        runs.ageSeconds += coreSecondsSoFar(request, context_.now);
        runs.expectedSeconds += context_.serviceTimes.baselineCoreSeconds(request.requestClass);
    }
    context_.serviceTimes.updateSlowdown(runs);
}

void ControlTick::collectUpcomingCalls() {
    context_.upcomingCalls.clear();
    for (const auto& [id, request] : context_.requests) {
        if (!request.answerPending() || !request.hasStarted()) continue;
        const bool waits = request.phase == RequestPhase::WaitingForDependency;
        const double further =
            context_.serviceTimes.expectedCalls(request.requestClass) - request.call.callsWanted;
        const double count = waits ? 1 : further;
        if (count > 0) context_.upcomingCalls.push_back({request.deadline, count});
    }
    std::sort(context_.upcomingCalls.begin(), context_.upcomingCalls.end(), isDueEarlier);
}

void ControlTick::adviseClients() {
    if (context_.shedRate.updateOverloaded())
        context_.sink->log(overloadMessage(context_.shedRate, context_.requests.admissionQueue().size()));
    if (context_.now < nextAdvice_) return;
    nextAdvice_ = context_.now + kAdvicePeriod;
    ConnectionDemand demand;
    demand.requestsPerSecond = context_.shedRate.recentArrivals();
    demand.shedFraction = context_.shedRate.fraction();
    demand.dependencyOverloaded = context_.dependency.dependencyOverloaded();
    const std::optional<Duration> idle = idleConnections_.update(demand);
    if (idle) context_.sink->setIdleTimeout(*idle);
    const std::optional<double> share = loadAdvertiser_.update(context_.shedRate.fraction());
    if (share) context_.sink->advertiseLoadShare(*share);
}

}  // namespace cottonwing::overload
