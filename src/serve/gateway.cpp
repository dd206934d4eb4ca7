#include "serve/gateway.h"

#include <random>

namespace cottonwing::serve {

using namespace std::chrono_literals;

namespace {

constexpr Duration kBeforeStop = 60ms;  // before the process is killed, whatever is left
constexpr Duration kLastCall = 300ms;   // before it, what is still being read is answered

ServeTerms seeded(ServeTerms terms) {
    if (terms.seed == 0)
        terms.seed = static_cast<std::uint64_t>(std::random_device()()) << 32 | std::random_device()();
    terms.terms.seed = terms.seed;
    return terms;
}

}  // namespace

Gateway::Gateway(net::Loop& loop, ServeTerms terms, telemetry::Log& log, telemetry::Counters& counters)
    : loop_(loop),
      terms_(seeded(std::move(terms))),
      log_(log),
      counters_(counters),
      backend_(loop, terms_.terms, terms_.shares.requestBytes, terms_.shares.idempotencyKeyBytes, log,
               counters),
      groups_(loop, terms_.groups, terms_.groupOf, terms_.terms.requestClasses, terms_.requestClassNames,
              terms_.groupBounds, terms_.seed, backend_, log),
      drainTimer_(loop,
                  [this] {
                      draining_ = true;
                      if (thrift_) thrift_->drain();
                      if (scgi_) scgi_->drain();
                  }),
      lastCall_(loop,
                [this] {
                    if (scgi_) scgi_->rejectIncomplete();
                }),
      stopTimer_(loop, [this] { stop(); }) {
    if (terms_.thrift)
        thrift_ = std::make_unique<thrift::ThriftServer>(loop, *terms_.thrift, terms_.shares, terms_.names,
                                                         terms_.terms.requestClasses, true, backend_, log,
                                                         counters);
    if (terms_.scgi) {
        routing::Routes routes;
        for (const routing::Route& route : terms_.routes)
            if (const routing::Route* before = routes.add(route))
                log.warn("routes",
                         route.path +
                             " is never taken: an earlier route has the same path and conditions as " +
                             before->path);
        scgi_ = std::make_unique<scgi::ScgiServer>(loop, *terms_.scgi, std::move(routes),
                                                   terms_.terms.requestClasses, terms_.seed, backend_, log);
    }
    request::ResponseSink& first = thrift_ ? static_cast<request::ResponseSink&>(*thrift_) : *scgi_;
    backend_.connect(first, groups_, noCalls_);
    if (thrift_ && scgi_) backend_.addResponseSink(*scgi_);
    backend_.executorReady(false, 0ns);
    loop.onTurn([this] { turn(); });
    log.info("serving", terms_.name + (thrift_ ? ", thrift on port " + std::to_string(thrift_->port()) : "") +
                            (scgi_ ? ", scgi on port " + std::to_string(scgi_->port()) : ""));
}

Gateway::~Gateway() = default;

void Gateway::leave() {
    if (leaving_) return;
    leaving_ = true;
    backend_.beginShutdown(net::unixNow() + terms_.stopAfter);
    drainTimer_.start(terms_.grace);
    lastCall_.start(std::max(terms_.grace, terms_.stopAfter - kLastCall));
    stopTimer_.start(terms_.stopAfter - kBeforeStop);
}

// All that was read is answered, and nothing is read any more; the SCGI front reads nothing since lastCall.
void Gateway::stop() {
    if (thrift_) thrift_->stopReading();
    backend_.processEvents();
    backend_.failUnanswered();
    if (thrift_) thrift_->writeLast();
    loop_.stop();
}

void Gateway::readAgain(const std::string& path) {
    ServeTerms next;
    try {
        next = readServe(path);
    } catch (const kdl::DocumentError& problem) {
        counters_.add(telemetry::Count::ReloadsRejected);
        return log_.error("reload", std::string("refused whole: ") + problem.what());
    }
    counters_.add(telemetry::Count::Reloads);
    const auto [added, removed] = groups_.change(next.groups);
    log_.info("reload",
              std::to_string(added) + " servers are new, " + std::to_string(removed) + " are left to end");
    const auto names = [](const ServeTerms& terms) {
        std::vector<std::string> all;
        for (const auto& group : terms.groups) all.push_back(group.name);
        return all;
    };
    if (names(next) != names(terms_) || next.requestClassNames != terms_.requestClassNames ||
        next.routes.size() != terms_.routes.size())
        log_.warn("reload", "groups, profiles and routes need a new start, the old ones stay");
}

void Gateway::print(std::ostream& out) const {
    counters_.print(out);
    const auto& runs = groups_.counts();
    out << "groups: first=" << runs.first << " attempts=" << runs.attempts << " again=" << runs.again
        << " refused=" << runs.refused << " broken=" << runs.broken << " timed-out=" << runs.timedOut
        << " bad-replies=" << runs.badReplies << " said-failed=" << runs.saidFailed
        << " checks=" << runs.checks << " flying=" << groups_.flying() << " waiting=" << groups_.waiting()
        << std::endl;
    if (!scgi_) return;
    const auto& front = scgi_->counters();
    out << "scgi: opened=" << front.opened << " whole=" << front.complete << " bad=" << front.malformed
        << " slow=" << front.timedOut << " no-route=" << front.noRoute << " no-room=" << front.noCapacity
        << " left=" << front.disconnected << " handled=" << front.completed << " bounced=" << front.rejected
        << " scrapped=" << front.failed << " cut-at-end=" << front.cutAtShutdown << std::endl;
}

void Gateway::turn() {
    backend_.processEvents();
    const std::size_t there = (thrift_ ? thrift_->connections() : 0) + (scgi_ ? scgi_->connections() : 0);
    const bool listening = (thrift_ && thrift_->isListening()) || (scgi_ && scgi_->isListening());
    if (!draining_ || listening || backend_.unansweredCount() > 0 || there > 0) return;
    log_.info("leaving", "nobody is left");
    loop_.stop();
}

}  // namespace cottonwing::serve
