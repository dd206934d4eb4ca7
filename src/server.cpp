#include "server.h"

namespace cottonwing {

namespace {

using namespace std::chrono_literals;

constexpr Nanos kBeforeStop = 60ms;  // before the process is killed, whatever is left

std::vector<std::string> inOrder(const std::map<std::string, int, std::less<>>& names) {
    std::vector<std::string> result(names.size());
    for (const auto& [name, at] : names) result[static_cast<std::size_t>(at)] = name;
    return result;
}

}  // namespace

Server::Server(net::Loop& loop, const launch::Start& start, report::Log& log, report::Counters& counters)
    : loop_(loop),
      start_(start),
      log_(log),
      counters_(counters),
      stopAfter_(start.stopAfter),
      grace_(std::min(start.terms.drainGrace, start.stopAfter / 2)),
      backend_(loop, start.terms, start.shares.commandBytes, start.shares.keyBytes, log, counters),
      pool_(loop, start.pool, start.shares, inOrder(start.names.profiles), start.gauges, start.terms.seed,
            backend_, log, counters),
      records_(loop, start.records, start.shares, backend_, counters),
      sidecars_(loop, start.listen, start.shares, start.names, start.terms.profiles, start.patienceTold,
                backend_, log, counters),
      registry_(loop, start.registry, start.name, log, counters),
      drainTimer_(loop,
                  [this] {
                      draining_ = true;
                      sidecars_.drain();
                  }),
      stopTimer_(loop, [this] { loop_.stop(); }) {
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
    drainTimer_.start(grace_);
    stopTimer_.start(stopAfter_ - kBeforeStop);
}

void Server::readAgain(const launch::Environment& environment) {
    launch::Start next;
    try {
        next = launch::readStart(environment);
    } catch (const launch::BadKey& error) {
        counters_.add(report::Count::ReloadsRefused);
        return log_.error("reload", std::string("refused whole: ") + error.what());
    }
    counters_.add(report::Count::Reloads);
    int moved = 0;
    const auto moves = [&](auto& from, const auto& to, auto& link) {
        if (from == to) return;
        link.moveTo(from = to);
        ++moved;
    };
    moves(start_.pool, next.pool, pool_);
    moves(start_.records, next.records, records_);
    moves(start_.registry, next.registry, registry_);
    log_.info("reload", std::to_string(moved) + " of 3 addresses are new");
    for (const auto& [key, value] : next.fixed)
        if (value != start_.fixed[key]) log_.warn("reload", key + ": needs a new start, the old one stays");
}

void Server::turn() {
    backend_.turn();
    if (!draining_ || sidecars_.listens() || backend_.unanswered() > 0 || sidecars_.connections() > 0) return;
    log_.info("leaving", "nobody is left");
    loop_.stop();
}

}  // namespace cottonwing
