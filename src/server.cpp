#include "server.h"

namespace cottonwing {

namespace {

using namespace std::chrono_literals;

constexpr Nanos kLastMoment = 60ms;  // before the process is killed, whatever is left
// Parts of the descriptors; sidecars open up to half of them, and what remains is for the other links.
constexpr double kForSidecars = 0.75, kForCalls = 0.125;

std::vector<std::string> inOrder(const std::map<std::string, int, std::less<>>& names) {
    std::vector<std::string> result(names.size());
    for (const auto& [name, at] : names) result[static_cast<std::size_t>(at)] = name;
    return result;
}

std::size_t part(int descriptors, double share) { return static_cast<std::size_t>(descriptors * share); }

}  // namespace

Server::Server(net::Loop& loop, const launch::Start& start, report::Log& log, report::Counters& counters)
    : loop_(loop),
      log_(log),
      stopAfter_(start.stopAfter),
      grace_(std::min(start.terms.drainGrace, start.stopAfter / 2)),
      backend_(loop, start.terms, log, counters),
      pool_(loop, start.pool, inOrder(start.names.profiles), start.gauges, start.terms.seed, backend_, log,
            counters),
      records_(loop, start.records, part(start.descriptors, kForCalls), backend_, counters),
      sidecars_(loop, start.listen, part(start.descriptors, kForSidecars), start.names, backend_, log,
                counters),
      registry_(loop, start.registry, start.name, log, counters),
      away_(loop,
            [this] {
                sentAway_ = true;
                sidecars_.sendAway();
            }),
      lastMoment_(loop, [this] { loop_.stop(); }) {
    backend_.joinLinks(sidecars_, pool_, records_);
    backend_.onHealth([this, follows = start.listFollowsHealth](bool good) {
        registry_.say(!leaving_ && (good || !follows));
    });
    loop.onTurn([this] { turn(); });
    log.info("serving", start.name + " on port " + std::to_string(sidecars_.port()));
}

void Server::leave() {
    if (leaving_) return;
    leaving_ = true;
    registry_.say(false);
    backend_.leave(net::unixNow() + stopAfter_);
    away_.start(grace_);
    lastMoment_.start(stopAfter_ - kLastMoment);
}

void Server::turn() {
    backend_.turn();
    if (!sentAway_ || backend_.unanswered() > 0 || sidecars_.connections() > 0) return;
    log_.info("leaving", "nobody is left");
    loop_.stop();
}

}  // namespace cottonwing
