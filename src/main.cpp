// One backend on sockets: joins the parts, then turns the loop until it is told to leave.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "backend/backend.h"
#include "calls/records.h"
#include "intake/sidecars.h"
#include "launch/start.h"
#include "listing/registry.h"
#include "runs/pool_link.h"

namespace {

using namespace cottonwing;
using namespace std::chrono_literals;

constexpr Nanos kLastMoment = 60ms;  // before the stop, whatever is left

std::vector<std::string> inOrder(const std::map<std::string, int, std::less<>>& names) {
    std::vector<std::string> result(names.size());
    for (const auto& [name, at] : names) result[static_cast<std::size_t>(at)] = name;
    return result;
}

void serve(const launch::Start& start, report::Log& log, report::Counters& counters) {
    net::Loop loop;
    loop.onTrouble([&](const std::string& what) { log.error("trouble", what); });
    backend::Backend backend(loop, start.terms, log, counters);
    runs::PoolLink pool(loop, start.pool, inOrder(start.names.profiles), start.gauges, start.terms.seed,
                        backend, log, counters);
    calls::Records records(loop, start.records, start.descriptors / 8, backend, log, counters);
    intake::Sidecars sidecars(loop, start.listen, static_cast<std::size_t>(start.descriptors) * 3 / 4,
                              start.names, backend, log, counters);
    listing::Registry registry(loop, start.registry, start.name, log, counters);
    backend.joinLinks(sidecars, pool, records);

    bool leaving = false, sentAway = false;
    Nanos stopAt{0};
    backend.onHealth([&](bool good) { registry.say(!leaving && (good || !start.listFollowsHealth)); });
    net::Timer away(loop, [&] {
        log.info("leaving", std::to_string(backend.unanswered()) + " unanswered, no more taken");
        sentAway = true;
        sidecars.sendAway();
    });
    net::Timer lastMoment(loop, [&] { loop.stop(); });
    net::Signal term(loop, SIGTERM, [&] {
        if (leaving) return;
        leaving = true;
        stopAt = net::unixNow() + start.stopAfter;
        registry.say(false);
        backend.leave(stopAt);
        // What comes after the grace is never run: from then on it is better off elsewhere.
        away.start(std::min(start.terms.drainGrace, start.stopAfter / 2));
        lastMoment.start(start.stopAfter - kLastMoment);
    });
    net::Signal usr1(loop, SIGUSR1, [&] { counters.print(std::cout); });
    loop.onTurn([&] {
        backend.turn();
        if (sentAway && backend.unanswered() == 0 && sidecars.connections() == 0) loop.stop();
    });
    log.info("serving", start.name + " on port " + std::to_string(sidecars.port()));
    loop.run();
    counters.print(std::cout);
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    report::Counters counters;
    try {
        const launch::Start start = launch::readStart(std::getenv);
        report::Log log(std::cout, start.level);
        try {
            serve(start, log, counters);
        } catch (const std::exception& error) {
            log.error("cottonwing", error.what());
            return 1;
        }
    } catch (const launch::BadKey& error) {
        std::cerr << "cottonwing: " << error.what() << std::endl;
        return 2;
    }
    return 0;
}
