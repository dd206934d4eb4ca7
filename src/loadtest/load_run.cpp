#include "loadtest/load_run.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

net::Address addressOf(const kdl::Value& value) {
    const std::string& text = kdl::text(value);
    if (const auto address = net::Address::parse(text, 1)) return *address;
    throw kdl::DocumentError(value.location, "'" + text + "' was found",
                             "an address such as \"127.0.0.1:8080\" was expected");
}

const std::vector<std::pair<std::string, Idempotency>> kRepeats = {{"repeatable", Idempotency::Idempotent},
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
            kdl::NodeReader::choice(inner.argument(0, "repeatable, tagged or once-only"), kRepeats);
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

void readClients(const kdl::Node& node, Habits& habits, bool targets) {
    kdl::NodeReader in(node);
    habits.clients = static_cast<int>(kdl::integer(in.argument(0, "how many callers there are"), 1, 100000));
    if (targets) {
        if (const kdl::Node* const to = in.child("to")) {
            kdl::NodeReader inner(*to);
            for (const kdl::Value* value : inner.remainingArguments(0))
                habits.targets.push_back(addressOf(*value));
            inner.rejectUnknown();
        }
        if (const kdl::Node* const to = in.child("scgi")) {
            kdl::NodeReader inner(*to);
            for (const kdl::Value* value : inner.remainingArguments(0))
                habits.kiosks.push_back(addressOf(*value));
            inner.rejectUnknown();
            if (habits.targets.empty()) habits.targets = habits.kiosks;
            if (habits.kiosks.size() != habits.targets.size())
                throw kdl::DocumentError(to->location,
                                         std::to_string(habits.kiosks.size()) + " addresses were found",
                                         "as many as behind 'to' were expected, in the same order");
        }
        if (habits.targets.empty())
            throw kdl::DocumentError(node.location, "'callers' was found without a server",
                                     "'to \"127.0.0.1:8080\"' was expected in it");
    }
    if (const kdl::Node* const choose = in.child("choose")) {
        kdl::NodeReader inner(*choose);
        habits.way = kdl::NodeReader::choice<routing::LoadBalancingPolicy>(
            inner.argument(0, "a way to choose"),
            {{"round-robin", routing::LoadBalancingPolicy::RoundRobin},
             {"least", routing::LoadBalancingPolicy::LeastRequests},
             {"two-choices", routing::LoadBalancingPolicy::PowerOfTwoChoices},
             {"by-subject", routing::LoadBalancingPolicy::ConsistentHash},
             {"fastest", routing::LoadBalancingPolicy::LowestLatency}});
        inner.rejectUnknown();
    }
    if (const kdl::Node* const attempts = in.child("attempts")) {
        kdl::NodeReader inner(*attempts);
        routing::RetryPolicyConfig& terms = habits.attempts;
        terms.maxAttempts =
            static_cast<int>(kdl::integer(inner.argument(0, "how many attempts there are in all"), 1, 6));
        inner.property("growth", terms.backoffGrowth, [](const kdl::Value& value) {
            return kdl::NodeReader::choice<routing::BackoffGrowth>(
                value, {{"fixed", routing::BackoffGrowth::Fixed},
                        {"exponential", routing::BackoffGrowth::Exponential}});
        });
        inner.property("jitter", terms.jitter, [](const kdl::Value& value) {
            return kdl::NodeReader::choice<routing::Jitter>(
                value, {{"none", routing::Jitter::None},
                        {"equal", routing::Jitter::Equal},
                        {"full", routing::Jitter::Full},
                        {"decorrelated", routing::Jitter::Decorrelated}});
        });
        inner.property("least", terms.baseDelay, kdl::duration);
        inner.property("longest", terms.maxDelay, kdl::duration);
        inner.property("budget", terms.budgetEnabled, kdl::boolean);
        inner.property("tokens", terms.maxTokens, kdl::number);
        inner.property("per-good", terms.tokensPerSuccess, kdl::number);
        inner.property("above", terms.minTokenFraction, kdl::fraction);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const connections = in.child("connections")) {
        kdl::NodeReader inner(*connections);
        habits.connections =
            static_cast<int>(kdl::integer(inner.argument(0, "how many to one server"), 1, 10000));
        inner.property("open", habits.openEach, kdl::integerBetween(1, 32));
        inner.property("idle", habits.closesIdle, kdl::duration);
        inner.property("within", habits.connectsWithin, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const checks = in.child("checks")) {
        kdl::NodeReader inner(*checks);
        habits.checksEvery = kdl::duration(inner.argument(0, "how often, such as 1s"));
        inner.property("thorough", habits.thorough, kdl::boolean);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const honours = in.child("honours")) {
        kdl::NodeReader inner(*honours);
        inner.property("come-back", habits.attempts.honorsRetryAfter, kdl::boolean);
        inner.property("advice", habits.honoursAdvice, kdl::boolean);
        inner.rejectUnknown();
    }
    habits.forgets = in.setting("forgets", kdl::boolean, habits.forgets);
    habits.checksResults = in.setting("check-results", kdl::boolean, habits.checksResults);
    habits.openMost = static_cast<std::size_t>(in.setting("open-at-most", kdl::integerBetween(1, 10000000),
                                                          static_cast<std::int64_t>(habits.openMost)));
    habits.closed = static_cast<int>(in.setting("closed", kdl::integerBetween(1, 1000000), std::int64_t{0}));
    in.rejectUnknown();
}

}  // namespace

std::unique_ptr<LoadTerms> readLoad(const std::vector<kdl::Node>& document, const std::string& file,
                                    bool targets) {
    auto terms = std::make_unique<LoadTerms>();
    terms->document = document;
    const kdl::Node* load = nullptr;
    for (const kdl::Node& node : terms->document)
        if (node.name == "load") {
            if (load != nullptr)
                throw kdl::DocumentError(node.location, "a second 'load' was found", "one was expected");
            load = &node;
        }
    if (load == nullptr)
        throw kdl::DocumentError({file, 1, 1}, "no 'load' was found", "'load { … }' was expected");
    kdl::NodeReader in(*load);
    RequestScheduleConfig& plan = terms->plan;
    plan.seed = static_cast<std::uint64_t>(
        in.setting("seed", kdl::integerBetween(0, std::int64_t{1} << 53), std::int64_t{1}));
    plan.duration = in.setting("length", kdl::duration, plan.duration);
    terms->workers = static_cast<int>(in.setting("workers", kdl::integerBetween(1, 64), std::int64_t{1}));
    if (const kdl::Node* const found = in.child("customers")) {
        kdl::NodeReader inner(*found);
        plan.tenantCount =
            static_cast<std::uint64_t>(kdl::integer(inner.argument(0, "how many"), 1, 1000000));
        inner.property("skew", plan.tenantSkew, kdl::number);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("subjects")) {
        kdl::NodeReader inner(*found);
        plan.subjectCount =
            static_cast<std::uint64_t>(kdl::integer(inner.argument(0, "how many"), 1, std::int64_t{1} << 40));
        inner.property("skew", plan.subjectSkew, kdl::number);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("arrivals")) {
        kdl::NodeReader inner(*found);
        plan.spacing = kdl::NodeReader::choice<Spacing>(
            inner.argument(0, "poisson or even"), {{"poisson", Spacing::Poisson}, {"even", Spacing::Even}});
        inner.rejectUnknown();
    }
    for (const kdl::Node* requestClass : in.children("profile")) {
        plan.requestClasses.push_back(readRequestClass(*requestClass));
        for (std::size_t at = 0; at + 1 < plan.requestClasses.size(); ++at)
            if (plan.requestClasses[at].name == plan.requestClasses.back().name)
                throw kdl::DocumentError(
                    requestClass->location,
                    "a second profile '" + plan.requestClasses.back().name + "' was found",
                    "a name of its own was expected");
    }
    if (plan.requestClasses.empty())
        throw kdl::DocumentError(load->location, "'load' was found without a profile",
                                 "'profile NAME { … }' was expected in it");
    for (const RequestClassLoad& requestClass : plan.requestClasses)
        if (!requestClass.claimedClass.empty() &&
            std::none_of(
                plan.requestClasses.begin(), plan.requestClasses.end(),
                [&](const RequestClassLoad& other) { return other.name == requestClass.claimedClass; }))
            throw kdl::DocumentError(
                load->location,
                "profile '" + requestClass.name + "' claims to be '" + requestClass.claimedClass + "'",
                "the name of another profile was expected");
    plan.rateNode = in.child("rate");
    if (const kdl::Node* const found = in.child("trace")) {
        kdl::NodeReader inner(*found);
        TraceConfig trace;
        trace.file = kdl::text(inner.argument(0, "the path of a trace"));
        // Beside the file that names it.
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
        plan.trace = trace;
    }
    if ((plan.rateNode == nullptr) == !plan.trace)
        throw kdl::DocumentError(load->location,
                                 plan.rateNode == nullptr ? "'load' was found without a rate"
                                                          : "'load' was found with a rate and a trace",
                                 "one of 'rate { … }' and 'trace FILE' was expected in it");
    if (plan.rateNode != nullptr) {
        kdl::NodeReader inner(*plan.rateNode);  // said now, not when the run begins
        (void)LoadCurve::fromNode(inner, plan.seed);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("callers"))
        readClients(*found, terms->habits, targets);
    else if (targets)
        throw kdl::DocumentError(load->location, "'load' was found without callers",
                                 "'callers 8 { to \"127.0.0.1:8080\" }' was expected in it");
    for (const RequestClassLoad& requestClass : plan.requestClasses)
        if (requestClass.usesScgi && targets && terms->habits.kiosks.empty())
            throw kdl::DocumentError(
                load->location,
                "profile '" + requestClass.name + "' was found over scgi, and callers without 'scgi'",
                "'scgi \"127.0.0.1:9000\"' was expected in callers");
    if (const kdl::Node* const found = in.child("send-within")) {
        kdl::NodeReader inner(*found);
        terms->sendWithin = kdl::duration(inner.argument(0, "a duration such as 1ms"));
        inner.property("share", terms->sendShare, kdl::fraction);
        inner.rejectUnknown();
    }
    in.rejectUnknown();
    return terms;
}

// ---- the run
// --------------------------------------------------------------------------------------------

struct Load::Worker {
    Worker(const LoadTerms& terms, int number, const Clocks& clocks, Watcher* watcher)
        : tally(terms.plan.requestClasses), clocks(clocks), watcher(watcher), number(number) {}

    void run(const LoadTerms& terms, Duration at, std::promise<void>& ready) {
        try {
            net::Loop loop;
            Clients clients(loop, terms.habits, terms.plan, number, terms.workers, tally, progress, clocks,
                            watcher);
            CrossThreadWakeup bell(loop, [&] {
                if (cut)
                    clients.cut();
                else if (stop)
                    clients.stop();
            });
            loop.onUncaughtException([&](const std::string& what) {
                fault = what;
                clients.cut();
            });
            {
                const std::lock_guard hold(guard);
                theBell = &bell;
            }
            ready.set_value();
            clients.onDone([&] { loop.stop(); });
            clients.start(at);
            if (!clients.done()) loop.run();
            const std::lock_guard hold(guard);
            theBell = nullptr;
        } catch (const std::exception& error) {
            fault = error.what();
            try {
                ready.set_value();
            } catch (const std::future_error&) {
            }
        }
        progress.done = true;
    }
    void say(std::atomic<bool>& what) {
        what = true;
        const std::lock_guard hold(guard);
        if (theBell != nullptr) theBell->wake();
    }

    Tally tally;
    Progress progress;
    const Clocks clocks;
    Watcher* const watcher;
    const int number;
    std::atomic<bool> stop{false}, cut{false};
    std::mutex guard;
    CrossThreadWakeup* theBell = nullptr;
    std::string fault;  // read once the thread has ended
    std::thread thread;
};

Load::Load(const LoadTerms& terms, std::vector<Watcher*> watchers, Clocks clocks) : terms_(terms) {
    for (int number = 0; number < terms.workers; ++number)
        workers_.push_back(std::make_unique<Worker>(
            terms, number, clocks,
            watchers.empty() ? nullptr : watchers[static_cast<std::size_t>(number) % watchers.size()]));
}

Load::~Load() {
    if (!workers_.empty() && workers_.front()->thread.joinable()) {
        cut();
        for (auto& worker : workers_) worker->thread.join();
    }
}

void Load::start(Duration at) {
    startedAt_ = at;
    for (auto& worker : workers_) {
        std::promise<void> ready;
        auto isReady = ready.get_future();
        worker->thread = std::thread([this, &worker, at, &ready] { worker->run(terms_, at, ready); });
        isReady.wait();
    }
}

void Load::stop() {
    stopped_ = true;
    for (auto& worker : workers_) worker->say(worker->stop);
}
void Load::cut() {
    stopped_ = true;
    for (auto& worker : workers_) worker->say(worker->cut);
}
bool Load::done() const {
    return std::all_of(workers_.begin(), workers_.end(),
                       [](const auto& worker) { return worker->progress.done.load(); });
}
std::uint64_t Load::planned() const {
    std::uint64_t sum = 0;
    for (const auto& worker : workers_) sum += worker->progress.planned;
    return sum;
}
std::uint64_t Load::ended() const {
    std::uint64_t sum = 0;
    for (const auto& worker : workers_) sum += worker->progress.ended;
    return sum;
}
std::uint64_t Load::completed() const {
    std::uint64_t sum = 0;
    for (const auto& worker : workers_) sum += worker->progress.completed;
    return sum;
}

LoadResult Load::finish() {
    LoadResult result{Tally(terms_.plan.requestClasses), 0ns, terms_.plan.seed, stopped_, true, "", 1};
    for (auto& worker : workers_) {
        if (worker->thread.joinable()) worker->thread.join();
        result.tally.add(worker->tally);
        if (!worker->fault.empty()) result.valid = false, result.why = worker->fault;
    }
    result.length = std::min(steadyNow() - startedAt_, terms_.plan.duration);
    const LatencyHistogram& lag = result.tally.lag;
    if (lag.count() > 0)
        result.withinShare =
            1 -
            static_cast<double>(lag.countAbove(std::chrono::duration<double>(terms_.sendWithin).count())) /
                static_cast<double>(lag.count());
    if (result.valid && terms_.habits.closed == 0 && result.withinShare < terms_.sendShare) {
        char text[200];
        std::snprintf(text, sizeof text,
                      "only %.2f%% of the commands were sent within %.1f ms of "
                      "their time, %.2f%% were asked "
                      "for: the machine "
                      "was too busy for this load, or the servers opened "
                      "connections too slowly",
                      result.withinShare * 100, static_cast<double>(terms_.sendWithin.count()) / 1e6,
                      terms_.sendShare * 100);
        result.valid = false;
        result.why = text;
    }
    return result;
}

// ---- what is said of it
// ---------------------------------------------------------------------------------

namespace {

Json latenciesOf(const LatencyHistogram& of) {
    return {{"count", of.count()},
            {"mean_ms", of.mean() * 1e3},
            {"p50_ms", of.quantile(0.5) * 1e3},
            {"p90_ms", of.quantile(0.9) * 1e3},
            {"p99_ms", of.quantile(0.99) * 1e3},
            {"p999_ms", of.quantile(0.999) * 1e3},
            {"max_ms", of.max() * 1e3}};
}

Json endsOf(const std::array<std::uint64_t, kEnds>& ends) {
    Json result;
    for (std::size_t end = 0; end < kEnds; ++end) result[nameOf(static_cast<End>(end))] = ends[end];
    return result;
}

}  // namespace

Json jsonOf(const LoadResult& result, const LoadTerms& terms) {
    const Tally& tally = result.tally;
    Json all;
    all["seed"] = result.seed;
    all["length_s"] = std::chrono::duration<double>(result.length).count();
    all["valid"] = result.valid;
    if (!result.valid) all["why"] = result.why;
    all["stopped"] = result.stopped;
    all["planned"] = tally.planned();
    all["earned"] = tally.earned();
    all["worth"] = tally.value();
    all["earned_share"] = tally.value() > 0 ? tally.earned() / tally.value() : 0;
    all["lag"] = latenciesOf(tally.lag);
    all["sent_within_share"] = result.withinShare;
    all["bad_lines"] = tally.badLines;
    std::array<std::uint64_t, kEnds> ends{};
    for (std::size_t end = 0; end < kEnds; ++end) ends[end] = tally.of(static_cast<End>(end));
    all["ends"] = endsOf(ends);
    all["latency"] = latenciesOf(tally.completed());
    std::uint64_t tries = 0;
    for (std::size_t at = 0; at < tally.requestClasses.size(); ++at) {
        const RequestClassStats& requestClass = tally.requestClasses[at];
        tries += requestClass.tries;
        all["profiles"].push_back({{"name", terms.plan.requestClasses[at].name},
                                   {"planned", requestClass.planned},
                                   {"tries", requestClass.tries},
                                   {"ends", endsOf(requestClass.ends)},
                                   {"worth", requestClass.value},
                                   {"earned", requestClass.earned},
                                   {"latency", latenciesOf(requestClass.fromSchedule)},
                                   {"latency_from_write", latenciesOf(requestClass.fromWrite)}});
    }
    all["tries"] = tries;
    const Links& links = tally.links;
    all["connections"] = {{"opened", links.opened},   {"refused", links.refused},
                          {"reset", links.reset},     {"closed", links.closed},
                          {"goaways", links.goaways}, {"idle closed", links.idleClosed},
                          {"checks", links.checks},   {"bad checks", links.badChecks},
                          {"forgets", links.forgets}, {"sent again", links.sentAgain}};
    Json again;
    for (std::size_t why = 0; why < links.notAgain.size(); ++why)
        again[routing::nameOf(static_cast<routing::RetryDecisionReason>(why))] = links.notAgain[why];
    all["after_failed_tries"] = again;
    all["broken"] = {{"twice", tally.broken.twice},
                     {"to nothing", tally.broken.toNothing},
                     {"unreadable", tally.broken.unreadable},
                     {"wrong result", tally.broken.wrongResult},
                     {"lost", tally.broken.lost},
                     {"examples", tally.broken.examples}};
    const double width = std::chrono::duration<double>(tally.series.width()).count();
    all["seconds"] = Json::array();
    for (std::size_t at = 0; at < tally.series.stretches().size(); ++at) {
        const Stretch& stretch = tally.series.stretches()[at];
        const auto quantile = [&](double part) {
            return stretch.latencies ? stretch.latencies->quantile(part) * 1e3 : 0;
        };
        all["seconds"].push_back({{"at_s", width * static_cast<double>(at)},
                                  {"width_s", width},
                                  {"ends", endsOf(stretch.ends)},
                                  {"tries", stretch.tries},
                                  {"open", stretch.open},
                                  {"earned", stretch.earned},
                                  {"worth", stretch.value},
                                  {"p50_ms", quantile(0.5)},
                                  {"p99_ms", quantile(0.99)},
                                  {"p999_ms", quantile(0.999)},
                                  {"max_ms", stretch.latencies ? stretch.latencies->max() * 1e3 : 0}});
    }
    all["tail"] = Json::array();
    for (const auto& [part, seconds] : tally.completed().tail()) all["tail"].push_back({part, seconds * 1e3});
    return all;
}

std::string textOf(const LoadResult& result, const LoadTerms& terms) {
    const Tally& tally = result.tally;
    std::string text;
    char line[400];
    const auto add = [&](const char* format, auto... figures) {
        std::snprintf(line, sizeof line, format, figures...);
        text += line;
    };
    if (!result.valid) text += "INVALID: " + result.why + "\n";
    const double seconds = std::max(1e-9, std::chrono::duration<double>(result.length).count());
    add("%llu commands in %.1f s (%.1f/s), seed %llu%s\n", static_cast<unsigned long long>(tally.planned()),
        seconds, static_cast<double>(tally.planned()) / seconds, static_cast<unsigned long long>(result.seed),
        result.stopped ? ", stopped before its end" : "");
    add("earned %.1f of %.1f (%.1f%%)\n\n", tally.earned(), tally.value(),
        tally.value() > 0 ? 100 * tally.earned() / tally.value() : 0.0);
    add("%-16s %9s %9s %7s %8s %9s %9s %8s %7s %9s %9s %9s %9s\n", "profile", "commands", "handled", "late",
        "bounced", "scrapped", "no answer", "conn lost", "unsent", "p50 ms", "p99 ms", "p99.9 ms", "max ms");
    const auto row = [&](const std::string& name, std::uint64_t planned,
                         const std::array<std::uint64_t, kEnds>& ends, const LatencyHistogram& of) {
        const auto n = [&](End end) {
            return static_cast<unsigned long long>(ends[static_cast<std::size_t>(end)]);
        };
        add("%-16s %9llu %9llu %7llu %8llu %9llu %9llu %9llu %7llu %9.2f %9.2f "
            "%9.2f %9.2f\n",
            name.substr(0, 16).c_str(), static_cast<unsigned long long>(planned), n(End::Completed),
            n(End::Late), n(End::Rejected), n(End::Failed), n(End::NoAnswer), n(End::ConnectionLost),
            n(End::NeverSent), of.quantile(0.5) * 1e3, of.quantile(0.99) * 1e3, of.quantile(0.999) * 1e3,
            of.max() * 1e3);
    };
    std::array<std::uint64_t, kEnds> ends{};
    std::uint64_t tries = 0;
    for (std::size_t at = 0; at < tally.requestClasses.size(); ++at) {
        row(terms.plan.requestClasses[at].name, tally.requestClasses[at].planned,
            tally.requestClasses[at].ends, tally.requestClasses[at].fromSchedule);
        for (std::size_t end = 0; end < kEnds; ++end) ends[end] += tally.requestClasses[at].ends[end];
        tries += tally.requestClasses[at].tries;
    }
    if (tally.requestClasses.size() > 1) row("all", tally.planned(), ends, tally.completed());
    add("\ntries %llu; sent late by p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, at "
        "most %.3f ms (%.3f%% within "
        "%.1f ms)\n",
        static_cast<unsigned long long>(tries), tally.lag.quantile(0.5) * 1e3, tally.lag.quantile(0.99) * 1e3,
        tally.lag.quantile(0.999) * 1e3, tally.lag.max() * 1e3, result.withinShare * 100,
        static_cast<double>(terms.sendWithin.count()) / 1e6);
    if (tally.badLines > 0)
        add("%llu lines of the trace could not be read\n", static_cast<unsigned long long>(tally.badLines));
    if (tally.broken.all() > 0) {
        add("BROKEN RULES: %llu\n", static_cast<unsigned long long>(tally.broken.all()));
        for (const std::string& example : tally.broken.examples) text += "  " + example + "\n";
    }
    return text;
}

}  // namespace cottonwing::loadtest
