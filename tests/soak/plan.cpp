#include "soak/plan.h"

#include <chrono>
#include <cmath>
#include <csignal>
#include <sstream>

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;

// The worker pool has two cores, and a request takes 15 ms of work on average.
constexpr double kCapacityPerSecond = 130;

using File = PlannedSignal::File;

File generateFile(RandomGenerator& random) {
    const auto draw = random.between(1, 4);
    return draw == 1 ? File::Malformed : draw == 2 ? File::Same : File::OtherAddresses;
}

void addReloads(std::vector<PlannedSignal>& signals, std::int64_t count, Duration min, Duration max,
                RandomGenerator& random) {
    for (std::int64_t number = 0; number < count; ++number)
        signals.push_back({random.between(min, max), SIGHUP, generateFile(random)});
}

// Times are relative to SIGTERM; signals before it have a negative time.
std::vector<PlannedSignal> generateSignals(const SoakPlan& plan, RandomGenerator& random) {
    std::vector<PlannedSignal> signals = {{0ms, SIGTERM, File::Same}};
    switch (random.between(0, 5)) {
        case 0:
            break;
        case 1:
            addReloads(signals, random.between(2, 3), -400ms, -1ms, random);
            break;
        case 2:
            addReloads(signals, 1, -5ms, 0ms, random);
            break;
        case 3:
            addReloads(signals, 1, 0ms, 5ms, random);
            break;
        case 4:
            signals.push_back({random.between(1ms, plan.shutdownTimeout / 2), SIGTERM, File::Same});
            break;
        case 5:
            addReloads(signals, random.between(1, 2), 20ms, plan.shutdownTimeout * 3 / 4, random);
            break;
    }
    return signals;
}

IncarnationPlan generateIncarnation(const SoakPlan& plan, bool last, RandomGenerator& random) {
    IncarnationPlan incarnation;
    incarnation.poolStartsAfter = random.oneIn(3) ? random.between(50ms, 600ms) : 0ms;
    incarnation.poolStartsCold = random.oneIn(4);
    incarnation.poolRestarts = random.oneIn(2);
    incarnation.traffic = random.between(500ms, 1300ms);
    incarnation.registrySilent = random.oneIn(4);
    incarnation.registryDelay = random.oneIn(3) ? random.between(50ms, 700ms) : 0ms;
    incarnation.end = !last && random.oneIn(2) ? IncarnationPlan::End::Kill : IncarnationPlan::End::Drain;
    incarnation.signals = generateSignals(plan, random);
    incarnation.endsBeforeReady = incarnation.end == IncarnationPlan::End::Drain && random.oneIn(8);
    if (incarnation.endsBeforeReady) incarnation.poolStartsAfter = 10s;
    if (random.oneIn(3)) {
        incarnation.pausedAt = random.between(50ms, incarnation.traffic + plan.shutdownTimeout / 2);
        incarnation.pauseDuration = random.between(60ms, 300ms);
    }
    if (random.oneIn(3))
        incarnation.connectionBreaksAt = random.between(50ms, incarnation.traffic + plan.shutdownTimeout / 2);
    return incarnation;
}

}  // namespace

std::int64_t RandomGenerator::between(std::int64_t min, std::int64_t max) {
    // The distributions of the standard library may give different values in different implementations.
    const auto range = static_cast<std::uint64_t>(max - min) + 1;
    return min + static_cast<std::int64_t>(engine_() % range);
}

Duration RandomGenerator::between(Duration min, Duration max) {
    return Duration(between(min.count(), max.count()));
}

Duration RandomGenerator::nextInterarrivalTime(double rate) {
    const double part = static_cast<double>(between(1, 1 << 30)) / (1 << 30);
    return Duration(static_cast<std::int64_t>(-std::log(part) / rate * 1e9));
}

SoakPlan generatePlan(std::uint64_t seed) {
    RandomGenerator random(seed * 7919 + 17);
    SoakPlan plan;
    plan.seed = seed;
    plan.overload = seed % 3 == 0;
    plan.shutdownTimeout = 1ms * random.between(1000, 2400);
    plan.drainGrace = 1ms * random.between(150, 1200);
    plan.sockets = static_cast<int>(random.between(96, 400));
    plan.idleConnections = plan.overload ? plan.sockets : static_cast<int>(random.between(0, 5));
    plan.requestsPerSecond = plan.overload
                                 ? kCapacityPerSecond * static_cast<double>(random.between(3, 5))
                                 : kCapacityPerSecond * static_cast<double>(random.between(30, 85)) / 100;
    plan.clients = static_cast<int>(random.between(3, 6));
    plan.connectionsPerClient = static_cast<int>(random.between(1, 4));
    plan.slowReaders = static_cast<int>(random.between(0, 1));
    plan.clientsIgnoringGoaway = static_cast<int>(random.between(0, plan.clients));
    plan.poolSplitsNotices = random.oneIn(2);
    plan.dependencyHangs = random.oneIn(3);
    const auto incarnations = random.between(2, 3);
    for (std::int64_t number = 1; number <= incarnations; ++number)
        plan.incarnations.push_back(generateIncarnation(plan, number == incarnations, random));
    return plan;
}

std::string SoakPlan::describe() const {
    std::ostringstream text;
    text << "seed " << seed << ": stop_ms=" << shutdownTimeout / 1ms << " drain_grace_ms=" << drainGrace / 1ms
         << " sockets=" << sockets << (overload ? " overload" : "") << " idle_connections=" << idleConnections
         << " requests_per_s=" << requestsPerSecond << " clients=" << clients << "x" << connectionsPerClient
         << " slow_readers=" << slowReaders << " ignore_goaway=" << clientsIgnoringGoaway
         << (poolSplitsNotices ? " pool_splits_notices" : "") << (dependencyHangs ? " dependency_hangs" : "");
    for (const IncarnationPlan& incarnation : incarnations) {
        text << "\n  incarnation: " << (incarnation.end == IncarnationPlan::End::Kill ? "killed" : "drains")
             << " after traffic_ms=" << incarnation.traffic / 1ms
             << " pool_after_ms=" << incarnation.poolStartsAfter / 1ms
             << (incarnation.poolStartsCold ? " cold" : "")
             << (incarnation.poolRestarts ? " pool_restarts" : "")
             << (incarnation.endsBeforeReady ? " ends_before_ready" : "")
             << (incarnation.registrySilent ? " registry_silent" : "")
             << " registry_delay_ms=" << incarnation.registryDelay / 1ms;
        if (incarnation.pauseDuration > 0ms)
            text << " paused_at_ms=" << incarnation.pausedAt / 1ms
                 << " for_ms=" << incarnation.pauseDuration / 1ms;
        if (incarnation.connectionBreaksAt > 0ms)
            text << " connection_breaks_at_ms=" << incarnation.connectionBreaksAt / 1ms;
        if (incarnation.end == IncarnationPlan::End::Drain)
            for (const PlannedSignal& signal : incarnation.signals)
                text << " " << (signal.number == SIGTERM ? "TERM" : "HUP") << "@" << signal.at / 1ms << "ms"
                     << (signal.file == File::Malformed        ? "(malformed)"
                         : signal.file == File::OtherAddresses ? "(addresses)"
                                                               : "");
    }
    return text.str();
}

}  // namespace cottonwing::soak
