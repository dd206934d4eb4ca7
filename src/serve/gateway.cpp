#include "serve/gateway.h"

#include <random>

namespace cottonwing::serve {

using namespace std::chrono_literals;

namespace {

// The loop stops this long before the process is killed, whatever is left.
constexpr Duration kStopMargin = 60ms;
// Requests that are still being read get an error response this long before the process is killed.
constexpr Duration kRejectIncompleteMargin = 300ms;

GatewayConfig withSeed(GatewayConfig config) {
    if (config.seed == 0)
        config.seed = static_cast<std::uint64_t>(std::random_device()()) << 32 | std::random_device()();
    config.controller.seed = config.seed;
    return config;
}

}  // namespace

Gateway::Gateway(net::Loop& loop, GatewayConfig config, telemetry::Log& log, telemetry::Counters& counters)
    : loop_(loop),
      config_(withSeed(std::move(config))),
      log_(log),
      counters_(counters),
      requests_(loop, config_.controller, config_.limits.requestBytes, config_.limits.idempotencyKeyBytes,
                log, counters),
      upstreamGroups_(loop, config_.groups, config_.groupByRequestClass, config_.controller.requestClasses,
                      config_.requestClassNames, config_.upstreamLimits, config_.seed, requests_, log),
      drainTimer_(loop,
                  [this] {
                      draining_ = true;
                      if (thriftServer_) thriftServer_->drain();
                      if (scgiServer_) scgiServer_->drain();
                  }),
      rejectIncompleteTimer_(loop,
                             [this] {
                                 if (scgiServer_) scgiServer_->rejectIncomplete();
                             }),
      stopTimer_(loop, [this] { stop(); }) {
    if (config_.thriftAddress)
        thriftServer_ = std::make_unique<thrift::ThriftServer>(
            loop, *config_.thriftAddress, config_.limits, config_.nameTables,
            config_.controller.requestClasses, true, requests_, log, counters);
    if (config_.scgiServer) {
        routing::RouteTable routes;
        for (const routing::Route& route : config_.routes)
            if (const routing::Route* shadowing = routes.add(route))
                log.warn("routes",
                         route.path +
                             " is never matched: an earlier route has the same path and conditions as " +
                             shadowing->path);
        scgiServer_ = std::make_unique<scgi::ScgiServer>(loop, *config_.scgiServer, std::move(routes),
                                                         config_.controller.requestClasses, config_.seed,
                                                         requests_, log);
    }
    request::ResponseSink& firstSink =
        thriftServer_ ? static_cast<request::ResponseSink&>(*thriftServer_) : *scgiServer_;
    requests_.attach(firstSink, upstreamGroups_, noDependencyCalls_);
    if (thriftServer_ && scgiServer_) requests_.addResponseSink(*scgiServer_);
    requests_.executorReady(false, 0ns);
    loop.onTurnEnd([this] { turnEnded(); });
    log.info("serving",
             config_.name +
                 (thriftServer_ ? ", thrift on port " + std::to_string(thriftServer_->port()) : "") +
                 (scgiServer_ ? ", scgi on port " + std::to_string(scgiServer_->port()) : ""));
}

Gateway::~Gateway() = default;

void Gateway::beginShutdown() {
    if (shuttingDown_) return;
    shuttingDown_ = true;
    requests_.beginShutdown(net::unixNow() + config_.shutdownTimeout);
    drainTimer_.start(config_.drainGrace);
    rejectIncompleteTimer_.start(
        std::max(config_.drainGrace, config_.shutdownTimeout - kRejectIncompleteMargin));
    stopTimer_.start(config_.shutdownTimeout - kStopMargin);
}

// Nothing is read from here on, and all requests that were read are answered. The SCGI server has read
// nothing since ScgiServer::rejectIncomplete().
void Gateway::stop() {
    if (thriftServer_) thriftServer_->stopReading();
    requests_.processEvents();
    requests_.failUnanswered();
    if (thriftServer_) thriftServer_->tryFlush();
    loop_.stop();
}

void Gateway::reload(const std::string& path) {
    GatewayConfig next;
    try {
        next = readGatewayConfig(path);
    } catch (const kdl::DocumentError& error) {
        counters_.add(telemetry::Count::ReloadsRejected);
        return log_.error("reload", std::string("configuration rejected: error=") + error.what());
    }
    counters_.add(telemetry::Count::Reloads);
    const auto [added, removed] = upstreamGroups_.updateEndpoints(next.groups);
    log_.info("reload", "configuration reloaded: " + std::to_string(added) + " servers added, " +
                            std::to_string(removed) + " servers draining");
    const auto groupNamesOf = [](const GatewayConfig& config) {
        std::vector<std::string> groupNames;
        for (const auto& group : config.groups) groupNames.push_back(group.name);
        return groupNames;
    };
    if (groupNamesOf(next) != groupNamesOf(config_) || next.requestClassNames != config_.requestClassNames ||
        next.routes.size() != config_.routes.size())
        log_.warn("reload", "changes of groups, profiles and routes ignored until restart");
}

void Gateway::printCounters(std::ostream& out) const {
    counters_.print(out);
    const auto& upstream = upstreamGroups_.counters();
    out << "groups: first=" << upstream.requests << " attempts=" << upstream.attempts
        << " again=" << upstream.retries << " refused=" << upstream.connectFailures
        << " broken=" << upstream.connectionsLost << " timed-out=" << upstream.timeouts
        << " bad-replies=" << upstream.malformedReplies << " said-failed=" << upstream.errorReplies
        << " checks=" << upstream.healthChecks << " flying=" << upstreamGroups_.inFlight()
        << " waiting=" << upstreamGroups_.queued() << std::endl;
    if (!scgiServer_) return;
    const auto& scgi = scgiServer_->counters();
    out << "scgi: opened=" << scgi.opened << " whole=" << scgi.complete << " bad=" << scgi.malformed
        << " slow=" << scgi.timedOut << " no-route=" << scgi.noRoute << " no-room=" << scgi.noCapacity
        << " left=" << scgi.disconnected << " handled=" << scgi.completed << " bounced=" << scgi.rejected
        << " scrapped=" << scgi.failed << " cut-at-end=" << scgi.cutAtShutdown << " gave-way=" << scgi.gaveWay
        << " repeated-ids=" << scgi.repeatedIds << std::endl;
}

void Gateway::turnEnded() {
    requests_.processEvents();
    const std::size_t connections =
        (thriftServer_ ? thriftServer_->connections() : 0) + (scgiServer_ ? scgiServer_->connections() : 0);
    const bool listening =
        (thriftServer_ && thriftServer_->isListening()) || (scgiServer_ && scgiServer_->isListening());
    if (!draining_ || listening || requests_.unansweredCount() > 0 || connections > 0) return;
    log_.info("shutdown", "all clients disconnected");
    loop_.stop();
}

}  // namespace cottonwing::serve
