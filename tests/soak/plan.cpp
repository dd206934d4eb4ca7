#include "soak/plan.h"

#include <chrono>
#include <cmath>
#include <csignal>
#include <sstream>

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;

// The worker pool of the runs has two cores and requests of 15 ms on the mean.
constexpr double kCapacityPerSecond = 130;

using File = PlannedSignal::File;

File drawFile(Chance& chance) {
    const auto drawn = chance.between(1, 4);
    return drawn == 1 ? File::Malformed : drawn == 2 ? File::Same : File::OtherAddresses;
}

void addReloads(std::vector<PlannedSignal>& signals, std::int64_t count, Duration least, Duration most,
                Chance& chance) {
    for (std::int64_t number = 0; number < count; ++number)
        signals.push_back({chance.between(least, most), SIGHUP, drawFile(chance)});
}

// SIGTERM comes at 0; what comes before it has a negative time.
std::vector<PlannedSignal> drawSignals(const Plan& plan, Chance& chance) {
    std::vector<PlannedSignal> signals = {{0ms, SIGTERM, File::Same}};
    switch (chance.between(0, 5)) {
        case 0:
            break;
        case 1:
            addReloads(signals, chance.between(2, 3), -400ms, -1ms, chance);
            break;
        case 2:
            addReloads(signals, 1, -5ms, 0ms, chance);
            break;
        case 3:
            addReloads(signals, 1, 0ms, 5ms, chance);
            break;
        case 4:
            signals.push_back({chance.between(1ms, plan.stopAfter / 2), SIGTERM, File::Same});
            break;
        case 5:
            addReloads(signals, chance.between(1, 2), 20ms, plan.stopAfter * 3 / 4, chance);
            break;
    }
    return signals;
}

LifePlan drawLife(const Plan& plan, bool last, Chance& chance) {
    LifePlan life;
    life.poolStartsAfter = chance.oneIn(3) ? chance.between(50ms, 600ms) : 0ms;
    life.poolIsCold = chance.oneIn(4);
    life.poolRestarts = chance.oneIn(2);
    life.traffic = chance.between(500ms, 1300ms);
    life.registrySilent = chance.oneIn(4);
    life.registryDelay = chance.oneIn(3) ? chance.between(50ms, 700ms) : 0ms;
    life.end = !last && chance.oneIn(2) ? LifePlan::End::Kill : LifePlan::End::Drain;
    life.signals = drawSignals(plan, chance);
    life.endsBeforeReady = life.end == LifePlan::End::Drain && chance.oneIn(8);
    if (life.endsBeforeReady) life.poolStartsAfter = 10s;
    if (chance.oneIn(3)) {
        life.stoppedAt = chance.between(50ms, life.traffic + plan.stopAfter / 2);
        life.stoppedFor = chance.between(60ms, 300ms);
    }
    if (chance.oneIn(3)) life.linkBreaksAt = chance.between(50ms, life.traffic + plan.stopAfter / 2);
    return life;
}

}  // namespace

std::int64_t Chance::between(std::int64_t least, std::int64_t most) {
    // Not by a distribution of the library, whose draws may differ between libraries.
    const auto range = static_cast<std::uint64_t>(most - least) + 1;
    return least + static_cast<std::int64_t>(engine_() % range);
}

Duration Chance::between(Duration least, Duration most) {
    return Duration(between(least.count(), most.count()));
}

Duration Chance::untilNextArrival(double rate) {
    const double part = static_cast<double>(between(1, 1 << 30)) / (1 << 30);
    return Duration(static_cast<std::int64_t>(-std::log(part) / rate * 1e9));
}

Plan drawPlan(std::uint64_t seed) {
    Chance chance(seed * 7919 + 17);
    Plan plan;
    plan.seed = seed;
    plan.crowd = seed % 3 == 0;
    plan.stopAfter = 1ms * chance.between(1000, 2400);
    plan.drainGrace = 1ms * chance.between(150, 1200);
    plan.sockets = static_cast<int>(chance.between(96, 400));
    plan.idleConnections = plan.crowd ? plan.sockets : static_cast<int>(chance.between(0, 5));
    plan.requestsPerSecond = plan.crowd
                                 ? kCapacityPerSecond * static_cast<double>(chance.between(3, 5))
                                 : kCapacityPerSecond * static_cast<double>(chance.between(30, 85)) / 100;
    plan.clients = static_cast<int>(chance.between(3, 6));
    plan.connectionsPerClient = static_cast<int>(chance.between(1, 4));
    plan.slowReaders = static_cast<int>(chance.between(0, 1));
    plan.ignoreGoaway = static_cast<int>(chance.between(0, plan.clients));
    plan.poolSendsPieces = chance.oneIn(2);
    plan.hungCalls = chance.oneIn(3);
    const auto lives = chance.between(2, 3);
    for (std::int64_t number = 1; number <= lives; ++number)
        plan.lives.push_back(drawLife(plan, number == lives, chance));
    return plan;
}

std::string Plan::describe() const {
    std::ostringstream text;
    text << "seed " << seed << ": stop_ms=" << stopAfter / 1ms << " drain_grace_ms=" << drainGrace / 1ms
         << " sockets=" << sockets << (crowd ? " crowd" : "") << " idle_connections=" << idleConnections
         << " requests_per_s=" << requestsPerSecond << " clients=" << clients << "x" << connectionsPerClient
         << " slow_readers=" << slowReaders << " ignore_goaway=" << ignoreGoaway
         << (poolSendsPieces ? " pool_pieces" : "") << (hungCalls ? " hung_calls" : "");
    for (const LifePlan& life : lives) {
        text << "\n  life: " << (life.end == LifePlan::End::Kill ? "killed" : "drains")
             << " after traffic_ms=" << life.traffic / 1ms << " pool_after_ms=" << life.poolStartsAfter / 1ms
             << (life.poolIsCold ? " cold" : "") << (life.poolRestarts ? " pool_restarts" : "")
             << (life.endsBeforeReady ? " ends_before_ready" : "")
             << (life.registrySilent ? " registry_silent" : "")
             << " registry_delay_ms=" << life.registryDelay / 1ms;
        if (life.stoppedFor > 0ms)
            text << " stopped_at_ms=" << life.stoppedAt / 1ms << " for_ms=" << life.stoppedFor / 1ms;
        if (life.linkBreaksAt > 0ms) text << " link_breaks_at_ms=" << life.linkBreaksAt / 1ms;
        if (life.end == LifePlan::End::Drain)
            for (const PlannedSignal& signal : life.signals)
                text << " " << (signal.number == SIGTERM ? "TERM" : "HUP") << "@" << signal.at / 1ms << "ms"
                     << (signal.file == File::Malformed        ? "(malformed)"
                         : signal.file == File::OtherAddresses ? "(addresses)"
                                                               : "");
    }
    return text.str();
}

}  // namespace cottonwing::soak
