#include "loadtest/load_run.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

net::Address parseAddress(const kdl::Value& value) {
    const std::string& text = kdl::text(value);
    if (const auto address = net::Address::parse(text, 1)) return *address;
    throw kdl::DocumentError(value.location, "'" + text + "' was found",
                             "an address such as \"127.0.0.1:8080\" was expected");
}

const std::vector<std::pair<std::string, Idempotency>> kIdempotencyNames = {
    {"repeatable", Idempotency::Idempotent},
    {"tagged", Idempotency::WithKey},
    {"once-only", Idempotency::None}};

RequestClassLoad readRequestClass(const kdl::Node& node) {
    kdl::NodeReader in(node);
    RequestClassLoad requestClass;
    requestClass.name = kdl::text(in.argument(0, "the name of a profile"));
    const auto distribution = [&](const char* name, Distribution& to, double (*reads)(const kdl::Value&)) {
        const kdl::Node* const found = in.child(name);
        if (found == nullptr) return;
        kdl::NodeReader inner(*found);
        to = Distribution::fromNode(inner, reads);
        inner.rejectUnknown();
    };
    requestClass.share = in.setting("share", kdl::fraction, requestClass.share);
    requestClass.value = in.setting("worth", kdl::number, requestClass.value);
    requestClass.lateValueFraction = in.setting("late-share", kdl::fraction, requestClass.lateValueFraction);
    requestClass.latencyObjective = in.setting("promised", kdl::duration, requestClass.latencyObjective);
    requestClass.timeout = in.setting("hard-stop", kdl::duration, requestClass.timeout);
    if (const kdl::Node* const found = in.child("repeat")) {
        kdl::NodeReader inner(*found);
        requestClass.idempotency =
            kdl::NodeReader::choice(inner.argument(0, "repeatable, tagged or once-only"), kIdempotencyNames);
        inner.rejectUnknown();
    }
    requestClass.callsPerRun = in.setting(
        "calls", [](const kdl::Value& value) { return kdl::integer(value, 0, 100); },
        requestClass.callsPerRun);
    requestClass.workHintError = in.setting("hint-error", kdl::fraction, requestClass.workHintError);
    requestClass.failureFraction = in.setting("failing", kdl::fraction, requestClass.failureFraction);
    requestClass.claimedClass = in.setting("claims", kdl::text, requestClass.claimedClass);
    if (const kdl::Node* const found = in.child("over")) {
        kdl::NodeReader inner(*found);
        requestClass.usesScgi = kdl::NodeReader::choice<bool>(inner.argument(0, "thrift or scgi"),
                                                              {{"thrift", false}, {"scgi", true}});
        inner.rejectUnknown();
    }
    distribution("work", requestClass.work, secondsOf);
    distribution("call", requestClass.callDuration, secondsOf);
    distribution("body", requestClass.bodyBytes, bytesOf);
    distribution("held", requestClass.memoryBytes, bytesOf);
    distribution("patience", requestClass.attemptTimeout, secondsOf);
    in.rejectUnknown();
    if (requestClass.latencyObjective <= 0ns || requestClass.timeout < requestClass.latencyObjective)
        throw kdl::DocumentError(
            node.location,
            "profile '" + requestClass.name + "' was found with a hard stop before its promised time",
            "promised above 0 and hard-stop not below it were expected");
    return requestClass;
}

void readClientConfig(const kdl::Node& node, ClientConfig& config, bool readTargets) {
    kdl::NodeReader in(node);
    config.clients = static_cast<int>(kdl::integer(in.argument(0, "a number of callers"), 1, 100000));
    if (readTargets) {
        if (const kdl::Node* const to = in.child("to")) {
            kdl::NodeReader inner(*to);
            for (const kdl::Value* value : inner.remainingArguments(0))
                config.targets.push_back(parseAddress(*value));
            inner.rejectUnknown();
        }
        if (const kdl::Node* const to = in.child("scgi")) {
            kdl::NodeReader inner(*to);
            for (const kdl::Value* value : inner.remainingArguments(0))
                config.scgiTargets.push_back(parseAddress(*value));
            inner.rejectUnknown();
            if (config.targets.empty()) config.targets = config.scgiTargets;
            if (config.scgiTargets.size() != config.targets.size())
                throw kdl::DocumentError(to->location,
                                         std::to_string(config.scgiTargets.size()) + " addresses were found",
                                         "as many as behind 'to' were expected, in the same order");
        }
        if (config.targets.empty())
            throw kdl::DocumentError(node.location, "'callers' was found without a server",
                                     "'to \"127.0.0.1:8080\"' was expected in it");
    }
    if (const kdl::Node* const choose = in.child("choose")) {
        kdl::NodeReader inner(*choose);
        config.loadBalancingPolicy = kdl::NodeReader::choice<routing::LoadBalancingPolicy>(
            inner.argument(0, "a load-balancing policy"),
            {{"round-robin", routing::LoadBalancingPolicy::RoundRobin},
             {"least", routing::LoadBalancingPolicy::LeastRequests},
             {"two-choices", routing::LoadBalancingPolicy::PowerOfTwoChoices},
             {"by-subject", routing::LoadBalancingPolicy::ConsistentHash},
             {"fastest", routing::LoadBalancingPolicy::LowestLatency}});
        inner.rejectUnknown();
    }
    if (const kdl::Node* const attempts = in.child("attempts")) {
        kdl::NodeReader inner(*attempts);
        routing::RetryPolicyConfig& retryPolicy = config.retryPolicy;
        retryPolicy.maxAttempts =
            static_cast<int>(kdl::integer(inner.argument(0, "a number of attempts"), 1, 6));
        inner.property("growth", retryPolicy.backoffGrowth, [](const kdl::Value& value) {
            return kdl::NodeReader::choice<routing::BackoffGrowth>(
                value, {{"fixed", routing::BackoffGrowth::Fixed},
                        {"exponential", routing::BackoffGrowth::Exponential}});
        });
        inner.property("jitter", retryPolicy.jitter, [](const kdl::Value& value) {
            return kdl::NodeReader::choice<routing::Jitter>(
                value, {{"none", routing::Jitter::None},
                        {"equal", routing::Jitter::Equal},
                        {"full", routing::Jitter::Full},
                        {"decorrelated", routing::Jitter::Decorrelated}});
        });
        inner.property("least", retryPolicy.baseDelay, kdl::duration);
        inner.property("longest", retryPolicy.maxDelay, kdl::duration);
        inner.property("budget", retryPolicy.budgetEnabled, kdl::boolean);
        inner.property("tokens", retryPolicy.maxTokens, kdl::number);
        inner.property("per-good", retryPolicy.tokensPerSuccess, kdl::number);
        inner.property("above", retryPolicy.minTokenFraction, kdl::fraction);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const connections = in.child("connections")) {
        kdl::NodeReader inner(*connections);
        config.maxConnectionsPerTarget =
            static_cast<int>(kdl::integer(inner.argument(0, "a number of connections"), 1, 10000));
        inner.property("open", config.maxRequestsPerConnection, kdl::integerBetween(1, 32));
        inner.property("idle", config.idleTimeout, kdl::duration);
        inner.property("within", config.connectTimeout, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const checks = in.child("checks")) {
        kdl::NodeReader inner(*checks);
        config.healthCheckInterval = kdl::duration(inner.argument(0, "an interval such as 1s"));
        inner.property("thorough", config.thoroughHealthChecks, kdl::boolean);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const honours = in.child("honours")) {
        kdl::NodeReader inner(*honours);
        inner.property("come-back", config.retryPolicy.honorsRetryAfter, kdl::boolean);
        inner.property("advice", config.honorsServerWeight, kdl::boolean);
        inner.rejectUnknown();
    }
    config.cancelsTimedOutRequests = in.setting("forgets", kdl::boolean, config.cancelsTimedOutRequests);
    config.verifiesResults = in.setting("check-results", kdl::boolean, config.verifiesResults);
    config.maxOpenRequests = static_cast<std::size_t>(in.setting(
        "open-at-most", kdl::integerBetween(1, 10000000), static_cast<std::int64_t>(config.maxOpenRequests)));
    config.closedLoopConcurrency =
        static_cast<int>(in.setting("closed", kdl::integerBetween(1, 1000000), std::int64_t{0}));
    in.rejectUnknown();
}

}  // namespace

std::unique_ptr<LoadConfig> readLoadConfig(const std::vector<kdl::Node>& document, const std::string& file,
                                           bool readTargets) {
    auto config = std::make_unique<LoadConfig>();
    config->document = document;
    const kdl::Node* load = nullptr;
    for (const kdl::Node& node : config->document)
        if (node.name == "load") {
            if (load != nullptr)
                throw kdl::DocumentError(node.location, "a second 'load' was found", "one was expected");
            load = &node;
        }
    if (load == nullptr)
        throw kdl::DocumentError({file, 1, 1}, "no 'load' was found", "'load { … }' was expected");
    kdl::NodeReader in(*load);
    RequestScheduleConfig& schedule = config->schedule;
    schedule.seed = static_cast<std::uint64_t>(
        in.setting("seed", kdl::integerBetween(0, std::int64_t{1} << 53), std::int64_t{1}));
    schedule.duration = in.setting("length", kdl::duration, schedule.duration);
    config->workers = static_cast<int>(in.setting("workers", kdl::integerBetween(1, 64), std::int64_t{1}));
    if (const kdl::Node* const found = in.child("customers")) {
        kdl::NodeReader inner(*found);
        schedule.tenantCount =
            static_cast<std::uint64_t>(kdl::integer(inner.argument(0, "a number of customers"), 1, 1000000));
        inner.property("skew", schedule.tenantSkew, kdl::number);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("subjects")) {
        kdl::NodeReader inner(*found);
        schedule.subjectCount = static_cast<std::uint64_t>(
            kdl::integer(inner.argument(0, "a number of subjects"), 1, std::int64_t{1} << 40));
        inner.property("skew", schedule.subjectSkew, kdl::number);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("arrivals")) {
        kdl::NodeReader inner(*found);
        schedule.spacing = kdl::NodeReader::choice<Spacing>(
            inner.argument(0, "poisson or even"), {{"poisson", Spacing::Poisson}, {"even", Spacing::Even}});
        inner.rejectUnknown();
    }
    for (const kdl::Node* requestClass : in.children("profile")) {
        schedule.requestClasses.push_back(readRequestClass(*requestClass));
        for (std::size_t at = 0; at + 1 < schedule.requestClasses.size(); ++at)
            if (schedule.requestClasses[at].name == schedule.requestClasses.back().name)
                throw kdl::DocumentError(
                    requestClass->location,
                    "a second profile '" + schedule.requestClasses.back().name + "' was found",
                    "a name of its own was expected");
    }
    if (schedule.requestClasses.empty())
        throw kdl::DocumentError(load->location, "'load' was found without a profile",
                                 "'profile NAME { … }' was expected in it");
    for (const RequestClassLoad& requestClass : schedule.requestClasses)
        if (!requestClass.claimedClass.empty() &&
            std::none_of(
                schedule.requestClasses.begin(), schedule.requestClasses.end(),
                [&](const RequestClassLoad& other) { return other.name == requestClass.claimedClass; }))
            throw kdl::DocumentError(load->location,
                                     "'claims \"" + requestClass.claimedClass + "\"' was found in profile '" +
                                         requestClass.name + "'",
                                     "the name of another profile was expected");
    schedule.rateNode = in.child("rate");
    if (const kdl::Node* const found = in.child("trace")) {
        kdl::NodeReader inner(*found);
        TraceConfig trace;
        trace.file = kdl::text(inner.argument(0, "the path of a trace"));
        // A relative path starts at the folder of the file that names it.
        if (!trace.file.empty() && trace.file.front() != '/')
            if (const std::size_t slash = file.rfind('/'); slash != file.npos)
                trace.file = file.substr(0, slash + 1) + trace.file;
        inner.property("stretch", trace.timeScale, kdl::fraction);
        inner.property("keep", trace.keepProbability, kdl::fraction);
        inner.property("copies", trace.meanCopies, kdl::fraction);
        inner.property("from", trace.from, kdl::duration);
        inner.property("until", trace.until, kdl::duration);
        inner.property("skip-bad", trace.skipMalformed, kdl::boolean);
        inner.rejectUnknown();
        schedule.trace = trace;
    }
    if ((schedule.rateNode == nullptr) == !schedule.trace)
        throw kdl::DocumentError(load->location,
                                 schedule.rateNode == nullptr ? "'load' was found without a rate"
                                                              : "'load' was found with a rate and a trace",
                                 "one of 'rate { … }' and 'trace FILE' was expected in it");
    if (schedule.rateNode != nullptr) {
        kdl::NodeReader inner(*schedule.rateNode);  // reports errors now, not when the run starts
        (void)LoadCurve::fromNode(inner, schedule.seed);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("callers"))
        readClientConfig(*found, config->client, readTargets);
    else if (readTargets)
        throw kdl::DocumentError(load->location, "'load' was found without callers",
                                 "'callers 8 { to \"127.0.0.1:8080\" }' was expected in it");
    for (const RequestClassLoad& requestClass : schedule.requestClasses)
        if (requestClass.usesScgi && readTargets && config->client.scgiTargets.empty())
            throw kdl::DocumentError(
                load->location,
                "profile '" + requestClass.name + "' was found over scgi, and callers without 'scgi'",
                "'scgi \"127.0.0.1:9000\"' was expected in callers");
    if (const kdl::Node* const found = in.child("send-within")) {
        kdl::NodeReader inner(*found);
        config->maxSendDelay = kdl::duration(inner.argument(0, "a duration such as 1ms"));
        inner.property("share", config->minPunctualFraction, kdl::fraction);
        inner.rejectUnknown();
    }
    in.rejectUnknown();
    return config;
}

// ---- LoadRun -------------------------------------------------------------------------------------------

struct LoadRun::Worker {
    Worker(const LoadConfig& config, int number, const Clocks& clocks, RequestObserver* observer)
        : statistics(config.schedule.requestClasses), clocks(clocks), observer(observer), number(number) {}

    void run(const LoadConfig& config, Duration startTime, std::promise<void>& ready) {
        try {
            net::Loop loop;
            LoadClients clients(loop, config.client, config.schedule, number, config.workers, statistics,
                                progress, clocks, observer);
            CrossThreadWakeup signalWakeup(loop, [&] {
                if (abort)
                    clients.abort();
                else if (stop)
                    clients.stop();
            });
            loop.onUncaughtException([&](const std::string& what) {
                error = what;
                clients.abort();
            });
            {
                const std::lock_guard lock(mutex);
                wakeup = &signalWakeup;
            }
            ready.set_value();
            clients.onDone([&] { loop.stop(); });
            clients.start(startTime);
            if (!clients.done()) loop.run();
            const std::lock_guard lock(mutex);
            wakeup = nullptr;
        } catch (const std::exception& exception) {
            error = exception.what();
            try {
                ready.set_value();
            } catch (const std::future_error&) {
            }
        }
        progress.done = true;
    }
    void signal(std::atomic<bool>& what) {
        what = true;
        const std::lock_guard lock(mutex);
        if (wakeup != nullptr) wakeup->wake();
    }

    LoadStatistics statistics;
    LoadProgress progress;
    const Clocks clocks;
    RequestObserver* const observer;
    const int number;
    std::atomic<bool> stop{false}, abort{false};
    std::mutex mutex;
    CrossThreadWakeup* wakeup = nullptr;
    std::string error;  // written by the thread, read after it has been joined
    std::thread thread;
};

LoadRun::LoadRun(const LoadConfig& config, std::vector<RequestObserver*> observers, Clocks clocks)
    : config_(config) {
    for (int number = 0; number < config.workers; ++number)
        workers_.push_back(std::make_unique<Worker>(
            config, number, clocks,
            observers.empty() ? nullptr : observers[static_cast<std::size_t>(number) % observers.size()]));
}

LoadRun::~LoadRun() {
    if (!workers_.empty() && workers_.front()->thread.joinable()) {
        abort();
        for (auto& worker : workers_) worker->thread.join();
    }
}

void LoadRun::start(Duration startTime) {
    startedAt_ = startTime;
    for (auto& worker : workers_) {
        std::promise<void> ready;
        auto isReady = ready.get_future();
        worker->thread =
            std::thread([this, &worker, startTime, &ready] { worker->run(config_, startTime, ready); });
        isReady.wait();
    }
}

void LoadRun::stop() {
    stopped_ = true;
    for (auto& worker : workers_) worker->signal(worker->stop);
}
void LoadRun::abort() {
    stopped_ = true;
    for (auto& worker : workers_) worker->signal(worker->abort);
}
bool LoadRun::done() const {
    return std::all_of(workers_.begin(), workers_.end(),
                       [](const auto& worker) { return worker->progress.done.load(); });
}
std::uint64_t LoadRun::scheduled() const {
    std::uint64_t sum = 0;
    for (const auto& worker : workers_) sum += worker->progress.scheduled;
    return sum;
}
std::uint64_t LoadRun::ended() const {
    std::uint64_t sum = 0;
    for (const auto& worker : workers_) sum += worker->progress.ended;
    return sum;
}
std::uint64_t LoadRun::completed() const {
    std::uint64_t sum = 0;
    for (const auto& worker : workers_) sum += worker->progress.completed;
    return sum;
}

LoadResult LoadRun::finish() {
    LoadResult result{
        LoadStatistics(config_.schedule.requestClasses), 0ns, config_.schedule.seed, stopped_, true, "", 1};
    for (auto& worker : workers_) {
        if (worker->thread.joinable()) worker->thread.join();
        result.statistics.add(worker->statistics);
        if (!worker->error.empty()) result.valid = false, result.invalidReason = worker->error;
    }
    result.length = std::min(steadyNow() - startedAt_, config_.schedule.duration);
    const LatencyHistogram& sendDelay = result.statistics.sendDelay;
    if (sendDelay.count() > 0)
        result.punctualFraction = 1 - static_cast<double>(sendDelay.countAbove(
                                          std::chrono::duration<double>(config_.maxSendDelay).count())) /
                                          static_cast<double>(sendDelay.count());
    if (result.valid && config_.client.closedLoopConcurrency == 0 &&
        result.punctualFraction < config_.minPunctualFraction) {
        char text[300];
        std::snprintf(text, sizeof text,
                      "only %.2f%% of the requests were sent within %.1f ms of their scheduled time, "
                      "%.2f%% are required: the machine is too busy for this load, or the servers "
                      "accept connections too slowly",
                      result.punctualFraction * 100, static_cast<double>(config_.maxSendDelay.count()) / 1e6,
                      config_.minPunctualFraction * 100);
        result.valid = false;
        result.invalidReason = text;
    }
    return result;
}

// ---- results -------------------------------------------------------------------------------------------

namespace {

Json latenciesOf(const LatencyHistogram& latencies) {
    return {{"count", latencies.count()},
            {"mean_ms", latencies.mean() * 1e3},
            {"p50_ms", latencies.quantile(0.5) * 1e3},
            {"p90_ms", latencies.quantile(0.9) * 1e3},
            {"p99_ms", latencies.quantile(0.99) * 1e3},
            {"p999_ms", latencies.quantile(0.999) * 1e3},
            {"max_ms", latencies.max() * 1e3}};
}

Json outcomesOf(const std::array<std::uint64_t, kOutcomeCount>& outcomes) {
    Json result;
    for (std::size_t outcome = 0; outcome < kOutcomeCount; ++outcome)
        result[nameOf(static_cast<RequestOutcome>(outcome))] = outcomes[outcome];
    return result;
}

}  // namespace

Json toJson(const LoadResult& result, const LoadConfig& config) {
    const LoadStatistics& statistics = result.statistics;
    Json all;
    all["seed"] = result.seed;
    all["length_s"] = std::chrono::duration<double>(result.length).count();
    all["valid"] = result.valid;
    if (!result.valid) all["why"] = result.invalidReason;
    all["stopped"] = result.stopped;
    all["planned"] = statistics.scheduled();
    all["earned"] = statistics.earnedValue();
    all["worth"] = statistics.offeredValue();
    all["earned_share"] =
        statistics.offeredValue() > 0 ? statistics.earnedValue() / statistics.offeredValue() : 0;
    all["lag"] = latenciesOf(statistics.sendDelay);
    all["sent_within_share"] = result.punctualFraction;
    all["bad_lines"] = statistics.unreadableTraceLines;
    std::array<std::uint64_t, kOutcomeCount> outcomes{};
    for (std::size_t outcome = 0; outcome < kOutcomeCount; ++outcome)
        outcomes[outcome] = statistics.count(static_cast<RequestOutcome>(outcome));
    all["ends"] = outcomesOf(outcomes);
    all["latency"] = latenciesOf(statistics.completedLatencies());
    std::uint64_t attempts = 0;
    for (std::size_t at = 0; at < statistics.requestClasses.size(); ++at) {
        const RequestClassStatistics& requestClass = statistics.requestClasses[at];
        attempts += requestClass.attempts;
        all["profiles"].push_back({{"name", config.schedule.requestClasses[at].name},
                                   {"planned", requestClass.scheduled},
                                   {"tries", requestClass.attempts},
                                   {"ends", outcomesOf(requestClass.outcomes)},
                                   {"worth", requestClass.offeredValue},
                                   {"earned", requestClass.earnedValue},
                                   {"latency", latenciesOf(requestClass.latencyFromSchedule)},
                                   {"latency_from_write", latenciesOf(requestClass.latencyFromWrite)}});
    }
    all["tries"] = attempts;
    const ConnectionStatistics& connections = statistics.connections;
    all["connections"] = {{"opened", connections.opened},
                          {"refused", connections.connectFailures},
                          {"reset", connections.reset},
                          {"closed", connections.closedByPeer},
                          {"goaways", connections.goaways},
                          {"idle closed", connections.closedUnused},
                          {"checks", connections.healthChecks},
                          {"bad checks", connections.failedHealthChecks},
                          {"forgets", connections.cancelMessages},
                          {"sent again", connections.resent}};
    Json retryDecisions;
    for (std::size_t reason = 0; reason < connections.retryDecisions.size(); ++reason)
        retryDecisions[routing::nameOf(static_cast<routing::RetryDecisionReason>(reason))] =
            connections.retryDecisions[reason];
    all["after_failed_tries"] = retryDecisions;
    all["broken"] = {{"twice", statistics.violations.duplicateResponses},
                     {"to nothing", statistics.violations.unknownSequences},
                     {"unreadable", statistics.violations.unreadableResponses},
                     {"wrong result", statistics.violations.wrongResults},
                     {"lost", statistics.violations.lostResponses},
                     {"examples", statistics.violations.examples}};
    const double width = std::chrono::duration<double>(statistics.series.width()).count();
    all["seconds"] = Json::array();
    for (std::size_t at = 0; at < statistics.series.intervals().size(); ++at) {
        const Interval& interval = statistics.series.intervals()[at];
        const auto quantile = [&](double fraction) {
            return interval.latencies ? interval.latencies->quantile(fraction) * 1e3 : 0;
        };
        all["seconds"].push_back({{"at_s", width * static_cast<double>(at)},
                                  {"width_s", width},
                                  {"ends", outcomesOf(interval.outcomes)},
                                  {"tries", interval.attempts},
                                  {"open", interval.maxOpenRequests},
                                  {"earned", interval.earnedValue},
                                  {"worth", interval.offeredValue},
                                  {"p50_ms", quantile(0.5)},
                                  {"p99_ms", quantile(0.99)},
                                  {"p999_ms", quantile(0.999)},
                                  {"max_ms", interval.latencies ? interval.latencies->max() * 1e3 : 0}});
    }
    all["tail"] = Json::array();
    for (const auto& [fraction, seconds] : statistics.completedLatencies().tail())
        all["tail"].push_back({fraction, seconds * 1e3});
    return all;
}

std::string toText(const LoadResult& result, const LoadConfig& config) {
    const LoadStatistics& statistics = result.statistics;
    std::string text;
    char line[400];
    const auto add = [&](const char* format, auto... figures) {
        std::snprintf(line, sizeof line, format, figures...);
        text += line;
    };
    if (!result.valid) text += "INVALID: " + result.invalidReason + "\n";
    const double seconds = std::max(1e-9, std::chrono::duration<double>(result.length).count());
    add("%llu commands in %.1f s (%.1f/s), seed %llu%s\n",
        static_cast<unsigned long long>(statistics.scheduled()), seconds,
        static_cast<double>(statistics.scheduled()) / seconds, static_cast<unsigned long long>(result.seed),
        result.stopped ? ", stopped before its end" : "");
    add("earned %.1f of %.1f (%.1f%%)\n\n", statistics.earnedValue(), statistics.offeredValue(),
        statistics.offeredValue() > 0 ? 100 * statistics.earnedValue() / statistics.offeredValue() : 0.0);
    add("%-16s %9s %9s %7s %8s %9s %9s %8s %7s %9s %9s %9s %9s\n", "profile", "commands", "handled", "late",
        "bounced", "scrapped", "no answer", "conn lost", "unsent", "p50 ms", "p99 ms", "p99.9 ms", "max ms");
    const auto row = [&](const std::string& name, std::uint64_t scheduled,
                         const std::array<std::uint64_t, kOutcomeCount>& outcomes,
                         const LatencyHistogram& latencies) {
        const auto n = [&](RequestOutcome outcome) {
            return static_cast<unsigned long long>(outcomes[static_cast<std::size_t>(outcome)]);
        };
        add("%-16s %9llu %9llu %7llu %8llu %9llu %9llu %9llu %7llu %9.2f %9.2f "
            "%9.2f %9.2f\n",
            name.substr(0, 16).c_str(), static_cast<unsigned long long>(scheduled),
            n(RequestOutcome::Completed), n(RequestOutcome::Late), n(RequestOutcome::Rejected),
            n(RequestOutcome::Failed), n(RequestOutcome::NoAnswer), n(RequestOutcome::ConnectionLost),
            n(RequestOutcome::NeverSent), latencies.quantile(0.5) * 1e3, latencies.quantile(0.99) * 1e3,
            latencies.quantile(0.999) * 1e3, latencies.max() * 1e3);
    };
    std::array<std::uint64_t, kOutcomeCount> outcomes{};
    std::uint64_t attempts = 0;
    for (std::size_t at = 0; at < statistics.requestClasses.size(); ++at) {
        row(config.schedule.requestClasses[at].name, statistics.requestClasses[at].scheduled,
            statistics.requestClasses[at].outcomes, statistics.requestClasses[at].latencyFromSchedule);
        for (std::size_t outcome = 0; outcome < kOutcomeCount; ++outcome)
            outcomes[outcome] += statistics.requestClasses[at].outcomes[outcome];
        attempts += statistics.requestClasses[at].attempts;
    }
    if (statistics.requestClasses.size() > 1)
        row("all", statistics.scheduled(), outcomes, statistics.completedLatencies());
    add("\nattempts %llu; sent late by p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms "
        "(%.3f%% within %.1f ms)\n",
        static_cast<unsigned long long>(attempts), statistics.sendDelay.quantile(0.5) * 1e3,
        statistics.sendDelay.quantile(0.99) * 1e3, statistics.sendDelay.quantile(0.999) * 1e3,
        statistics.sendDelay.max() * 1e3, result.punctualFraction * 100,
        static_cast<double>(config.maxSendDelay.count()) / 1e6);
    if (statistics.unreadableTraceLines > 0)
        add("%llu lines of the trace could not be read\n",
            static_cast<unsigned long long>(statistics.unreadableTraceLines));
    if (statistics.violations.total() > 0) {
        add("PROTOCOL VIOLATIONS: %llu\n", static_cast<unsigned long long>(statistics.violations.total()));
        for (const std::string& example : statistics.violations.examples) text += "  " + example + "\n";
    }
    return text;
}

}  // namespace cottonwing::loadtest
