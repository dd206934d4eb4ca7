#include "server.h"

#include <algorithm>

namespace cottonwing {

namespace {

using namespace std::chrono_literals;

// The loop stops this long before the process is killed, whatever is left.
constexpr Duration kStopMargin = 60ms;

// The names of a table in the order of their indices.
std::vector<std::string> namesByIndex(const std::map<std::string, int, std::less<>>& table) {
    std::vector<std::string> names(table.size());
    for (const auto& [name, index] : table) names[static_cast<std::size_t>(index)] = name;
    return names;
}

}  // namespace

Server::Server(net::Loop& loop, const config::ProcessConfig& config, telemetry::Log& log,
               telemetry::Counters& counters)
    : loop_(loop),
      config_(config),
      log_(log),
      counters_(counters),
      shutdownTimeout_(config.shutdownTimeout),
      drainGrace_(std::min(config.controller.drainGrace, config.shutdownTimeout / 2)),
      requests_(loop, config.controller, config.limits.requestBytes, config.limits.idempotencyKeyBytes, log,
                counters),
      workerPoolClient_(loop, config.workerPool, config.limits,
                        namesByIndex(config.nameTables.requestClasses), config.gaugeNames,
                        config.controller.seed, requests_, log, counters),
      dependencyClient_(loop, config.dependency, config.limits, requests_, counters),
      thriftServer_(loop, config.listen, config.limits, config.nameTables, config.controller.requestClasses,
                    config.clientsSendTimeout, requests_, log, counters),
      registryClient_(loop, config.registry, config.name, log, counters),
      drainTimer_(loop, [this] { beginDraining(); }),
      stopTimer_(loop, [this] { stop(); }) {
    requests_.attach(thriftServer_, workerPoolClient_, dependencyClient_);
    requests_.onHealthChange([this, deregister = config.deregisterWhenUnhealthy](bool healthy) {
        registryClient_.reportReady(!shuttingDown_ && (healthy || !deregister));
    });
    loop.onTurnEnd([this] { turnEnded(); });
    log.info("serving",
             "server started: name=" + config.name + " port=" + std::to_string(thriftServer_.port()));
}

void Server::beginShutdown() {
    if (shuttingDown_) return;
    shuttingDown_ = true;
    registryClient_.reportReady(false);
    requests_.beginShutdown(net::unixNow() + shutdownTimeout_);
    drainTimer_.start(drainGrace_);
    stopTimer_.start(shutdownTimeout_ - kStopMargin);
}

void Server::beginDraining() {
    draining_ = true;
    thriftServer_.drain();
}

void Server::reload(const config::Environment& environment) {
    config::ProcessConfig next;
    try {
        next = config::readProcessConfig(environment);
    } catch (const config::ConfigError& error) {
        counters_.add(telemetry::Count::ReloadsRejected);
        return log_.error("reload", std::string("configuration rejected: error=") + error.what());
    }
    counters_.add(telemetry::Count::Reloads);
    const int moved = moveClients(next);
    log_.info("reload", "configuration reloaded: changed_addresses=" + std::to_string(moved));
    for (const auto& [key, value] : next.restartOnlyKeys)
        if (value != config_.restartOnlyKeys[key])
            log_.warn("reload", "change ignored until restart: key=" + key);
}

// The loop may have read requests in this turn, or may still poll the sockets before it ends. Nothing is read
// from here on, and all requests that were read are answered.
void Server::stop() {
    thriftServer_.stopReading();
    requests_.processEvents();
    requests_.failUnanswered();
    thriftServer_.tryFlush();
    log_.info("shutdown", "time is over: open_connections=" + std::to_string(thriftServer_.connections()));
    loop_.stop();
}

// Returns the number of clients whose address has changed.
int Server::moveClients(const config::ProcessConfig& next) {
    int moved = 0;
    const auto moveIfChanged = [&moved](auto& current, const auto& address, auto& client) {
        if (current == address) return;
        current = address;
        client.changeAddress(current);
        ++moved;
    };
    moveIfChanged(config_.workerPool, next.workerPool, workerPoolClient_);
    moveIfChanged(config_.dependency, next.dependency, dependencyClient_);
    moveIfChanged(config_.registry, next.registry, registryClient_);
    return moved;
}

void Server::turnEnded() {
    requests_.processEvents();
    if (!isDrained()) return;
    log_.info("shutdown", "all clients disconnected");
    loop_.stop();
}

bool Server::isDrained() const {
    return draining_ && !thriftServer_.isListening() && requests_.unansweredCount() == 0 &&
           thriftServer_.connections() == 0;
}

}  // namespace cottonwing
