#include "server.h"

namespace cottonwing {

namespace {

using namespace std::chrono_literals;

constexpr Duration kBeforeStop = 60ms;  // before the process is killed, whatever is left

std::vector<std::string> inOrder(const std::map<std::string, int, std::less<>>& names) {
    std::vector<std::string> result(names.size());
    for (const auto& [name, at] : names) result[static_cast<std::size_t>(at)] = name;
    return result;
}

}  // namespace

Server::Server(net::Loop& loop, const config::ProcessConfig& start, telemetry::Log& log,
               telemetry::Counters& counters)
    : loop_(loop),
      start_(start),
      log_(log),
      counters_(counters),
      stopAfter_(start.shutdownTimeout),
      grace_(std::min(start.controller.drainGrace, start.shutdownTimeout / 2)),
      backend_(loop, start.controller, start.limits.requestBytes, start.limits.idempotencyKeyBytes, log,
               counters),
      pool_(loop, start.workerPool, start.limits, inOrder(start.nameTables.requestClasses), start.gaugeNames,
            start.controller.seed, backend_, log, counters),
      records_(loop, start.dependency, start.limits, backend_, counters),
      sidecars_(loop, start.listen, start.limits, start.nameTables, start.controller.requestClasses,
                start.clientsSendTimeout, backend_, log, counters),
      registry_(loop, start.registry, start.name, log, counters),
      drainTimer_(loop,
                  [this] {
                      draining_ = true;
                      sidecars_.drain();
                  }),
      stopTimer_(loop, [this] { loop_.stop(); }) {
    backend_.connect(sidecars_, pool_, records_);
    backend_.onHealthChange([this, follows = start.deregisterWhenUnhealthy](bool good) {
        registry_.reportReady(!leaving_ && (good || !follows));
    });
    loop.onTurn([this] { turn(); });
    log.info("serving", start.name + " on port " + std::to_string(sidecars_.port()));
}

void Server::leave() {
    if (leaving_) return;
    leaving_ = true;
    registry_.reportReady(false);
    backend_.beginShutdown(net::unixNow() + stopAfter_);
    drainTimer_.start(grace_);
    stopTimer_.start(stopAfter_ - kBeforeStop);
}

void Server::readAgain(const config::Environment& environment) {
    config::ProcessConfig next;
    try {
        next = config::readProcessConfig(environment);
    } catch (const config::ConfigError& error) {
        counters_.add(telemetry::Count::ReloadsRejected);
        return log_.error("reload", std::string("refused whole: ") + error.what());
    }
    counters_.add(telemetry::Count::Reloads);
    int moved = 0;
    const auto moves = [&](auto& from, const auto& to, auto& link) {
        if (from == to) return;
        link.moveTo(from = to);
        ++moved;
    };
    moves(start_.workerPool, next.workerPool, pool_);
    moves(start_.dependency, next.dependency, records_);
    moves(start_.registry, next.registry, registry_);
    log_.info("reload", std::to_string(moved) + " of 3 addresses are new");
    for (const auto& [key, value] : next.restartOnlyKeys)
        if (value != start_.restartOnlyKeys[key])
            log_.warn("reload", key + ": needs a new start, the old one stays");
}

void Server::turn() {
    backend_.processEvents();
    if (!draining_ || sidecars_.isListening() || backend_.unansweredCount() > 0 ||
        sidecars_.connections() > 0)
        return;
    log_.info("leaving", "nobody is left");
    loop_.stop();
}

}  // namespace cottonwing
