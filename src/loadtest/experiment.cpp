#include "loadtest/experiment.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "loadtest/child_process.h"

namespace cottonwing::loadtest {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

double secondsIn(Duration time) { return std::chrono::duration<double>(time).count(); }
std::int64_t micros(Duration time) { return time / 1us; }

Fault readFault(const kdl::Node& node, std::size_t backends, std::size_t servers) {
    static const std::vector<std::pair<std::string, Fault::Kind>> kKinds = {
        {"records", Fault::Kind::Records},      {"pool", Fault::Kind::Pool},
        {"stall", Fault::Kind::Stall},          {"crash", Fault::Kind::Crash},
        {"link-break", Fault::Kind::LinkBreak}, {"reload", Fault::Kind::Reload},
        {"release", Fault::Kind::Release},      {"registry", Fault::Kind::Registry},
        {"server", Fault::Kind::Server}};
    kdl::NodeReader in(node);
    Fault fault;
    const kdl::Value& kind = in.argument(0, "what the trouble is");
    fault.kind = kdl::NodeReader::choice(kind, kKinds);
    fault.text = kind.text;
    for (const auto& [name, value] : node.properties)
        if (name != "at") fault.text += " " + name + "=" + value.text;
    const kdl::Value* const at = in.property("at");
    if (at == nullptr)
        throw kdl::DocumentError(node.location, "a trouble was found without 'at='", "'at=10s' was expected");
    fault.at = kdl::duration(*at);
    in.property("for", fault.lasts, kdl::duration);
    in.property("each", fault.each, kdl::duration);
    in.property("slow", fault.slow, kdl::number);
    in.property("hang", fault.hang, kdl::fraction);
    in.property("spoil", fault.spoil, kdl::fraction);
    in.property("share", fault.share, kdl::fraction);
    in.property("down", fault.down, kdl::boolean);
    in.property("cold", fault.cold, kdl::boolean);
    in.property("silent", fault.silent, kdl::boolean);
    in.property("fails", fault.fails, kdl::boolean);
    const std::size_t count = fault.kind == Fault::Kind::Server ? servers : backends;
    if (count == 0)
        throw kdl::DocumentError(kind.location, "'server' was found without servers",
                                 "'servers 20' was expected in the experiment");
    if (const kdl::Value* const on = in.property("on"))
        fault.on = {static_cast<std::size_t>(kdl::integer(*on, 1, static_cast<std::int64_t>(count))) - 1};
    in.rejectUnknown();
    return fault;
}

}  // namespace

std::unique_ptr<WorldTerms> readExperiment(const std::string& path) {
    const auto document = kdl::parseFile(path);
    auto terms = std::make_unique<WorldTerms>();
    const kdl::Node* experiment = nullptr;
    for (const kdl::Node& node : document) {
        if (node.name == "experiment" && experiment == nullptr)
            experiment = &node;
        else if (node.name != "load")
            throw kdl::DocumentError(node.location, "'" + node.name + "' was found",
                                     "one 'experiment' and one 'load' were expected");
    }
    if (experiment == nullptr)
        throw kdl::DocumentError({path, 1, 1}, "no 'experiment' was found",
                                 "'experiment NAME { … }' was expected");
    kdl::NodeReader in(*experiment);
    terms->name = kdl::text(in.argument(0, "the name of the experiment"));
    if (terms->name.empty() ||
        terms->name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") !=
            std::string::npos)
        throw kdl::DocumentError(experiment->location, "the name '" + terms->name + "' was found",
                                 "letters, digits, - and _ were expected");
    terms->about = in.setting("about", kdl::text, std::string());
    if (const kdl::Node* const found = in.child("backends")) {
        kdl::NodeReader inner(*found);
        terms->backends = static_cast<std::size_t>(kdl::integer(inner.argument(0, "how many"), 1, 200));
        inner.property("cores", terms->cores, kdl::number);
        inner.property("memory", terms->memoryMb, [](const kdl::Value& value) {
            return static_cast<double>(kdl::bytes(value)) / (1 << 20);
        });
        inner.property("sockets", terms->sockets, kdl::integerBetween(64, 1000000));
        inner.property("stop", terms->stop, kdl::duration);
        inner.property("grace", terms->grace, kdl::duration);
        inner.property("come-back", terms->maxRetryAfter, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("pool")) {
        kdl::NodeReader inner(*found);
        PoolTerms& pool = terms->pool;
        inner.property("cores", pool.cores.cores, kdl::number);
        inner.property("speed", pool.cores.speed, kdl::number);
        inner.property("thrash-at", pool.cores.thrashAt, kdl::number);
        inner.property("thrash-to", pool.cores.thrashTo, kdl::fraction);
        inner.property("cold", pool.cores.coldPart, kdl::fraction);
        inner.property("warms-over", pool.cores.warmsOver, kdl::duration);
        inner.property("heap", pool.heapKb,
                       [](const kdl::Value& value) { return static_cast<double>(kdl::bytes(value)) / 1024; });
        inner.property("run-factor", terms->runFactor, kdl::number);
        inner.property("fall-multiple", pool.fallMultiple, kdl::number);
        inner.property("fall-over", pool.fallOver, kdl::duration);
        inner.property("starts-after", pool.startsAfter, kdl::duration);
        inner.property("ends-at-calls", pool.endsAtCalls, kdl::boolean);
        inner.property("pieces-every", pool.piecesEvery, kdl::integerBetween(1, 1000000));
        inner.property("twice-every", pool.twiceEvery, kdl::integerBetween(1, 1000000));
        inner.rejectUnknown();
        if (pool.cores.cores < 1 || pool.cores.speed <= 0 || pool.heapKb <= 0)
            throw kdl::DocumentError(found->location, "a pool without cores, speed or heap was found",
                                     "a core, a speed and a heap above 0 were expected");
    }
    if (const kdl::Node* const found = in.child("records")) {
        kdl::NodeReader inner(*found);
        RecordsTerms& records = terms->records;
        inner.property("slots", records.slots, kdl::integerBetween(1, 1000000));
        inner.property("line", records.line, kdl::integerBetween(0, 1000000));
        inner.property("crowd-slows", records.crowdSlows, kdl::number);
        inner.property("falls-at", records.fallsAt, kdl::number);
        inner.property("down-for", records.downFor, kdl::duration);
        inner.property("share", records.share, kdl::number);
        inner.property("share-over", records.callsOver, kdl::duration);
        inner.property("linger", records.linger, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("registry")) {
        kdl::NodeReader inner(*found);
        inner.property("late", terms->registryLate, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("servers")) {
        kdl::NodeReader inner(*found);
        terms->servers.count = static_cast<std::size_t>(kdl::integer(inner.argument(0, "how many"), 1, 150));
        inner.property("slots", terms->servers.slots, kdl::integerBetween(1, 10000));
        inner.property("most", terms->servers.most, kdl::integerBetween(1, 10000));
        inner.property("choose", terms->servers.choose, kdl::text);
        inner.property("checks", terms->servers.checks, kdl::duration);
        inner.rejectUnknown();
    }
    for (const kdl::Node* node : in.children("trouble"))
        terms->faults.push_back(readFault(*node, terms->backends, terms->servers.count));
    in.rejectUnknown();
    std::vector<kdl::Node> loads;
    for (const kdl::Node& node : document)
        if (node.name == "load") loads.push_back(node);
    terms->load = readLoadConfig(loads, path, false);
    terms->records.seed = terms->load->schedule.seed;
    return terms;
}

// ---- the world
// ------------------------------------------------------------------------------------------

struct Experiment::Backend {
    std::string name;
    net::Address listen, kiosks, pool, records, registry;
    std::unique_ptr<WorkerPool> workers;
    std::unique_ptr<ChildProcess> process;
    bool expectedToEnd = false, crashed = false, releasing = false;
    double cpuBefore = 0;
    std::vector<Sample> samples;
    double mostMemory = 0;
    int crashes = 0;
    Duration startAgainAt{-1};
    bool cold = false;
};

struct Experiment::World {
    explicit World(const WorldTerms& terms)
        : checker(terms.load->schedule.requestClasses, 60s, terms.pool.heapKb, terms.runFactor) {}
    net::Loop loop;
    InvariantChecker checker;
    std::vector<Backend> backends;
    std::vector<std::unique_ptr<ScgiServer>> servers;
    std::unique_ptr<RecordsService> records;
    std::unique_ptr<RegistryService> registry;
    std::vector<std::string> notes;  // what the world saw that no figure tells: a crash, a slow end
    std::vector<std::size_t> toRelease;
    Duration nextRelease{0}, releaseEach{0};
};

Experiment::Experiment(const WorldTerms& terms, std::string build, std::string folder)
    : terms_(terms),
      build_(std::move(build)),
      folder_(std::move(folder)),
      world_(std::make_unique<World>(terms)) {
    if (access(build_.c_str(), X_OK) != 0)
        throw std::runtime_error("there is no program to start at " + build_);
    std::error_code error;
    std::filesystem::create_directories(folder_, error);
    if (error) throw std::runtime_error(folder_ + " can't be made: " + error.message());
    // A block of loopback addresses of this process's own, with fixed ports: a
    // backend that starts again has the same, and nothing has to be guessed free.
    const int mine = getpid();
    const std::string block =
        "127." + std::to_string(64 + mine % 128) + "." + std::to_string(mine / 128 % 250) + ".";
    std::vector<net::Address> records;
    world_->loop.onUncaughtException(
        [this](const std::string& what) { world_->notes.push_back("trouble in the laboratory: " + what); });
    for (std::size_t at = 0; at < terms.backends; ++at) {
        Backend backend;
        backend.name = "n" + std::to_string(at + 1);
        const std::string host = block + std::to_string(at + 1);
        backend.kiosks = {host, 9000};
        backend.listen = {host, 8080}, backend.pool = {host, 6100}, backend.records = {host, 9042};
        backend.registry = {block + "254", 7946};
        records.push_back(backend.records);
        world_->backends.push_back(std::move(backend));
    }
    world_->registry =
        std::make_unique<RegistryService>(world_->loop, world_->backends[0].registry, terms.registryLate);
    world_->records = std::make_unique<RecordsService>(world_->loop, records, terms.records, world_->checker);
    for (std::size_t at = 0; at < terms.servers.count; ++at) {
        ScgiServerTerms server;
        server.slots = terms.servers.slots;
        world_->servers.push_back(std::make_unique<ScgiServer>(
            world_->loop, net::Address{block + std::to_string(100 + at), 9001}, server));
        world_->servers.back()->onEnd([this](const std::string& trace) { world_->checker.finished(trace); });
        // Which gateway sent it the invariant checker know by the try.
        world_->servers.back()->onRun([this](const std::string& trace, const std::string& first) {
            world_->checker.spawned(world_->checker.instanceOf(trace), trace, first, steadyNow());
        });
    }
    for (std::size_t at = 0; at < terms.backends; ++at) {
        world_->backends[at].workers = std::make_unique<WorkerPool>(
            world_->loop, at, world_->backends[at].pool, terms.pool, world_->checker);
        startBackend(at);
    }
}

Experiment::~Experiment() = default;

nlohmann::json Experiment::configOf(std::size_t at) const {
    const Backend& backend = world_->backends[at];
    const auto text = [](const net::Address& address) {
        return address.host + ":" + std::to_string(address.port);
    };
    const RequestScheduleConfig& plan = terms_.load->schedule;
    Json settings, classes = Json::array(), calls = Json::array(), poorer = Json::array(),
                   tenants = Json::array();
    bool any = false;
    for (const RequestClassLoad& requestClass : plan.requestClasses) {
        static constexpr const char* kRepeats[] = {"free", "guarded", "single_shot"};
        classes.push_back({{"name", requestClass.name},
                           {"repeat", kRepeats[static_cast<int>(requestClass.idempotency)]},
                           {"aim_us", micros(requestClass.latencyObjective)},
                           {"deadline_us", micros(requestClass.timeout)},
                           {"worth", requestClass.value},
                           {"late_value", requestClass.lateValueFraction},
                           {"window_us", micros(requestClass.timeout)}});
        calls.push_back(requestClass.callsPerRun > 0);
        poorer.push_back(0);
        any = any || requestClass.callsPerRun > 0;
    }
    const double rate = 1e6;  // no tenant is held to a quota here
    for (std::uint64_t tenant = 0; tenant < plan.tenantCount; ++tenant)
        tenants.push_back({{"name", tenantName(tenant)}, {"quota_per_s", rate}});
    settings["classes"] = classes;
    settings["tenants"] = tenants;
    settings["goal"] = {{"whole", 1.0}, {"worst_class", 0.0}};
    settings["peers_total"] = terms_.backends;
    settings["permissions"] = {{"retry_after", terms_.retryAfter},
                               {"max_retry_after_us", micros(terms_.maxRetryAfter)}};
    settings["obligations"] = {{"drain_grace_us", micros(terms_.grace)},
                               {"fall_multiple", terms_.pool.fallMultiple},
                               {"overload_for_us", micros(terms_.pool.fallOver)},
                               {"start_capacity", terms_.pool.cores.coldPart},
                               {"ramp_time_us", micros(terms_.pool.cores.warmsOver)}};
    settings["family_info"] = {{"below", any ? "shared" : "off"},
                               {"calls_over_us", micros(terms_.records.callsOver)},
                               {"class_calls", calls},
                               {"degraded_worth", poorer},
                               {"cores", static_cast<int>(terms_.pool.cores.cores)},
                               {"dep_share", terms_.records.share},
                               {"halt", "suspend"},
                               {"heap_kb", terms_.pool.heapKb},
                               {"idle_us", micros(terms_.load->client.idleTimeout)},
                               {"linger_us", micros(terms_.records.linger)},
                               {"own_stats", {"core_use", "on_cores", "heap_share", "links"}},
                               {"readiness", true},
                               {"run_factor", terms_.runFactor},
                               {"senders", terms_.load->client.clients},
                               {"signal", "share_of"}};
    char seed[20];
    std::snprintf(seed, sizeof seed, "%016llx",
                  static_cast<unsigned long long>(routing::splitMix64(
                      plan.seed * 1000 + at + 1000000 * static_cast<std::uint64_t>(backend.crashes))));
    return {
        {"name", backend.name},
        {"listen", text(backend.listen)},
        {"pool", text(backend.pool)},
        {"registry", text(backend.registry)},
        {"records", text(backend.records)},
        {"seed", seed},
        {"stop_ms", terms_.stop / 1ms},
        {"limits", {{"cores", terms_.cores}, {"memory_mb", terms_.memoryMb}, {"sockets", terms_.sockets}}},
        {"settings", settings}};
}

// The file that a gateway is started with.
std::string Experiment::gatewayOf(std::size_t at) const {
    const Backend& backend = world_->backends[at];
    const RequestScheduleConfig& plan = terms_.load->schedule;
    const auto millis = [](Duration time) { return std::to_string(time / 1ms) + "ms"; };
    const auto quoted = [](const net::Address& address) {
        return "\"" + address.host + ":" + std::to_string(address.port) + "\"";
    };
    std::string routes, requestClasses, tenants, servers;
    for (const RequestClassLoad& requestClass : plan.requestClasses) {
        if (!requestClass.claimedClass.empty()) continue;
        routes += "        route \"/" + requestClass.name + "/:subject\" profile=\"" + requestClass.name +
                  "\" subject=\"subject\" customer=\"HTTP_X_CUSTOMER\"\n";
        requestClasses +=
            "    profile \"" + requestClass.name + "\" { worth " + Json(requestClass.value).dump() +
            "; late-share " + Json(requestClass.lateValueFraction).dump() + "; promised " +
            millis(requestClass.latencyObjective) + "; hard-stop " + millis(requestClass.timeout) +
            "; repeat " + (requestClass.idempotency == Idempotency::Idempotent ? "repeatable" : "once-only") +
            " }\n";
    }
    for (std::uint64_t tenant = 0; tenant < plan.tenantCount; ++tenant)
        tenants += "    customer \"" + tenantName(tenant) + "\"\n";
    for (const auto& server : world_->servers)
        servers += "        server " + quoted(server->address()) +
                   " most=" + std::to_string(terms_.servers.most) + "\n";
    if (terms_.servers.checks > 0ns)
        servers += "        checks " + millis(terms_.servers.checks) + " path=\"/health\"\n";
    return "serve \"" + backend.name +
           "\" {\n    limits memory=" + std::to_string(static_cast<int>(terms_.memoryMb)) +
           "MiB sockets=" + std::to_string(static_cast<int>(terms_.sockets)) +
           "\n    leave stop=" + millis(terms_.stop) + " grace=" + millis(terms_.grace) + "\n    seed " +
           std::to_string(plan.seed * 1000 + at + 1) + "\n    thrift listen=" + quoted(backend.listen) +
           "\n    scgi listen=" + quoted(backend.kiosks) + " {\n" + routes + "    }\n" + requestClasses +
           tenants + "    group \"servers\" {\n        choose \"" + terms_.servers.choose + "\"\n" + servers +
           "    }\n}\n";
}

// A gateway says so in its log; a backend has bound its pool.
bool Experiment::isUp(const Backend& backend) const {
    if (terms_.servers.count == 0) return backend.workers->bound();
    std::ifstream in(folder_ + "/" + backend.name + ".log");
    std::string line, all;
    while (std::getline(in, line)) all += line;
    return all.find("serving") != std::string::npos;
}

void Experiment::startBackend(std::size_t at) {
    Backend& backend = world_->backends[at];
    const bool gateway = terms_.servers.count > 0;
    const std::string config = folder_ + "/" + backend.name + (gateway ? ".kdl" : ".json");
    std::ofstream out(config);
    out << (gateway ? gatewayOf(at) : configOf(at).dump(1) + "\n");
    out.close();
    if (!out) throw std::runtime_error(config + " can't be written");
    backend.expectedToEnd = backend.crashed = false;
    backend.cpuBefore = 0;
    world_->checker.restarted(at);
    backend.process = std::make_unique<ChildProcess>(
        world_->loop, build_,
        gateway ? std::vector<std::string>{"serve", config} : std::vector<std::string>{},
        std::map<std::string, std::string>{
            {"GW_NAME", backend.name},
            {"GW_LISTEN", backend.listen.host + ":" + std::to_string(backend.listen.port)},
            {"GW_CONFIG", config}},
        folder_ + "/" + backend.name + ".log", [this, at](int code, int signal) {
            Backend& ended = world_->backends[at];
            if (ended.expectedToEnd && !ended.releasing) return;
            if (ended.releasing && code == 0 && signal == 0) return;
            ++ended.crashes;
            ended.crashed = true;
            world_->notes.push_back(
                ended.name + " ended by itself, " +
                (signal != 0 ? "signal " + std::to_string(signal) : "code " + std::to_string(code)));
        });
}

std::vector<std::size_t> Experiment::meant(const Fault& fault) const {
    if (!fault.on.empty()) return fault.on;
    std::vector<std::size_t> all(fault.kind == Fault::Kind::Server ? terms_.servers.count : terms_.backends);
    for (std::size_t at = 0; at < all.size(); ++at) all[at] = at;
    if (fault.share < 1)
        all.resize(std::max<std::size_t>(
            1, static_cast<std::size_t>(std::lround(fault.share * static_cast<double>(all.size())))));
    return all;
}

void Experiment::play(const Fault& fault, bool begins) {
    World& world = *world_;
    switch (fault.kind) {
        case Fault::Kind::Records:
            world.records->slow(begins ? fault.slow : 1);
            world.records->hang(begins ? fault.hang : 0);
            world.records->spoil(begins ? fault.spoil : 0);
            if (fault.down) world.records->down(begins);
            break;
        case Fault::Kind::Server:
            for (const std::size_t at : meant(fault)) {
                ScgiServerTerms server = world.servers[at]->terms();
                server.slow = begins ? fault.slow : 1;
                server.fault = begins && fault.fails    ? ScgiFault::FailsFast
                               : begins && fault.silent ? ScgiFault::Silent
                                                        : ScgiFault::None;
                world.servers[at]->set(server);
            }
            break;
        case Fault::Kind::Registry:
            world.registry->silent(begins && fault.silent);
            break;
        case Fault::Kind::Pool:
            for (const std::size_t at : meant(fault))
                world.backends[at].workers->slow(begins ? fault.slow : 1);
            break;
        case Fault::Kind::Stall:
            for (const std::size_t at : meant(fault))
                world.backends[at].process->sendSignal(begins ? SIGSTOP : SIGCONT);
            break;
        case Fault::Kind::LinkBreak:
            if (begins)
                for (const std::size_t at : meant(fault)) world.backends[at].workers->breakLink();
            break;
        case Fault::Kind::Reload:
            if (begins)
                for (const std::size_t at : meant(fault)) world.backends[at].process->sendSignal(SIGHUP);
            break;
        case Fault::Kind::Crash:
            for (const std::size_t at : meant(fault)) {
                Backend& backend = world.backends[at];
                if (begins) {
                    backend.expectedToEnd = true;
                    backend.process->sendSignal(SIGKILL);
                    backend.workers->crash();
                } else {
                    backend.workers->retryAfter(fault.cold);
                    startBackend(at);
                }
            }
            break;
        case Fault::Kind::Release:
            if (!begins) break;
            world.toRelease = meant(fault);
            world.releaseEach = fault.each > 0ns ? fault.each : terms_.stop + 1s;
            world.nextRelease = steadyNow();
            break;
    }
}

void Experiment::sample(double at) {
    for (Backend& backend : world_->backends) {
        Sample sample;
        sample.at = at;
        sample.there = backend.process->running();
        const double cpu = backend.process->cpuSeconds();
        sample.cpu = std::max(0.0, cpu - backend.cpuBefore);
        backend.cpuBefore = cpu;
        sample.memoryMb = backend.process->memoryMb();
        backend.mostMemory = std::max(backend.mostMemory, sample.memoryMb);
        sample.onCores = static_cast<double>(backend.workers->onCores());
        sample.inHand = static_cast<double>(backend.workers->inHand());
        backend.samples.push_back(sample);
    }
}

ExperimentResult Experiment::run(const std::function<void(double, const LoadRun&)>& progress,
                                 const bool* interrupted) {
    World& world = *world_;
    // Up: each has bound its pool. What the first health checks see then is a
    // working fleet.
    const auto turnUntil = [&](const std::function<bool()>& so, Duration limit) {
        bool late = false, look = false;
        net::Timer watch(world.loop, [&] { late = true; });
        watch.start(limit);
        net::Timer tick(world.loop, [&] { look = true; });
        while (!so() && !late) {
            tick.start(10ms);
            world.loop.runOnce();
        }
        return !late;
    };
    const bool up = turnUntil(
        [&] {
            return std::all_of(world.backends.begin(), world.backends.end(), [this](const Backend& backend) {
                return isUp(backend) || !backend.process->running();
            });
        },
        20s);
    for (const Backend& backend : world.backends)
        if (!up || !backend.process->running() || !isUp(backend))
            throw std::runtime_error(backend.name + " did not come up; its words are in " + folder_ + "/" +
                                     backend.name + ".log");
    turnUntil([] { return false; }, 300ms);

    for (const Backend& backend : world.backends) {
        terms_.load->client.targets.push_back(backend.listen);
        terms_.load->client.scgiTargets.push_back(backend.kiosks);
    }
    std::vector<RequestObserver*> observers = {&world.checker};
    LoadRun load(*terms_.load, observers);
    const Duration start = steadyNow() + 100ms;
    load.start(start);

    struct Step {
        Duration at;
        const Fault* fault;
        bool begins;
    };
    std::vector<Step> steps;
    for (const Fault& fault : terms_.faults) {
        steps.push_back({fault.at, &fault, true});
        if (fault.lasts > 0ns) steps.push_back({fault.at + fault.lasts, &fault, false});
    }
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    std::size_t nextStep = 0;
    Duration nextSample = start;
    bool told = false, cut = false;
    std::unique_ptr<PreciseTimer> pace;
    const auto look = [&] {
        const Duration now = steadyNow();
        while (nextStep < steps.size() && now >= start + steps[nextStep].at) {
            play(*steps[nextStep].fault, steps[nextStep].begins);
            ++nextStep;
        }
        if (!world.toRelease.empty() && now >= world.nextRelease) {
            const std::size_t at = world.toRelease.front();
            Backend& backend = world.backends[at];
            if (!backend.releasing) {
                backend.releasing = true;
                backend.startAgainAt = now + terms_.stop;
                world.checker.notice(at, now, std::min(terms_.grace, terms_.stop / 2));
                backend.process->sendSignal(SIGTERM);
            } else if (!backend.process->running() || now >= backend.startAgainAt) {
                if (backend.process->running()) {
                    world.notes.push_back(backend.name + " was there still at its stop and was killed");
                    world.checker.fellOver(at, "it did not leave before its stop");
                    backend.expectedToEnd = true;
                    backend.process->sendSignal(SIGKILL);
                }
                backend.workers->crash();
                backend.workers->retryAfter(true);
                backend.releasing = false;
                startBackend(at);
                world.toRelease.erase(world.toRelease.begin());
                world.nextRelease = now + world.releaseEach;
            }
        }
        if (now >= nextSample) {
            sample(secondsIn(now - start));
            nextSample += 1s;
        }
        if (progress) progress(std::max(0.0, secondsIn(now - start)), load);
        if (interrupted != nullptr && *interrupted && !std::exchange(told, true)) load.stop();
        // What hangs past every timeout is cut off, and told as what it is.
        Duration longest{0};
        for (const RequestClassLoad& requestClass : terms_.load->schedule.requestClasses)
            longest = std::max(longest, requestClass.timeout);
        if (now > start + terms_.load->schedule.duration + longest + 5s && !std::exchange(cut, true))
            load.abort();
        if (!load.done()) pace->startAt(now + (progress ? 100ms : 20ms));
    };
    pace = std::make_unique<PreciseTimer>(world.loop, look);
    pace->startAt(start);
    turnUntil([&] { return load.done(); }, 24h);
    pace.reset();
    sample(secondsIn(steadyNow() - start));
    LoadResult result = load.finish();
    ExperimentResult done;
    done.figures = judged(result);
    done.earnedShare = done.figures["load"]["earned_share"];
    done.broken = done.figures["broken"]["all"];
    done.valid = result.valid;

    // The fleet leaves as it does on any notice.
    for (Backend& backend : world.backends) {
        backend.expectedToEnd = true;
        backend.process->sendSignal(SIGCONT);
        backend.process->sendSignal(SIGTERM);
    }
    const bool left = turnUntil(
        [&] {
            return std::none_of(world.backends.begin(), world.backends.end(),
                                [](const Backend& b) { return b.process->running(); });
        },
        terms_.stop);
    if (!left) done.figures["notes"].push_back("a backend did not leave before its stop at the end");
    return done;
}

nlohmann::json Experiment::judged(LoadResult& result) {
    World& world = *world_;
    Json all;
    all["name"] = terms_.name;
    all["about"] = terms_.about;
    all["build"] = build_;
    all["load"] = toJson(result, *terms_.load);
    const auto counts = world.checker.counts();
    std::uint64_t sum = result.statistics.violations.total();
    Json broken;
    for (std::size_t rule = 0; rule < kRules; ++rule) {
        broken[nameOf(static_cast<Rule>(rule))] = counts[rule];
        sum += counts[rule];
    }
    broken["lost"] =
        counts[static_cast<std::size_t>(Rule::Lost)] + result.statistics.violations.lostResponses;
    broken["answers"] = result.statistics.violations.total() - result.statistics.violations.lostResponses;
    int crashes = 0;
    for (const Backend& backend : world.backends) crashes += backend.crashes;
    broken["crashes"] = crashes;
    broken["all"] = sum + static_cast<std::uint64_t>(crashes);
    broken["examples"] = Json::array();
    for (const Violation& violation : world.checker.violations())
        broken["examples"].push_back(std::string(nameOf(violation.rule)) + ": " + violation.what);
    for (const std::string& example : result.statistics.violations.examples)
        broken["examples"].push_back(example);
    all["broken"] = broken;
    double work = 0;
    all["backends"] = Json::array();
    for (const Backend& backend : world.backends) {
        work += backend.workers->workDone();
        Json samples = Json::array();
        double cpu = 0, dearest = 0;
        for (const Sample& sample : backend.samples) {
            samples.push_back({{"at_s", sample.at},
                               {"memory_mb", sample.memoryMb},
                               {"cpu_s", sample.cpu},
                               {"on_cores", sample.onCores},
                               {"runs", sample.inHand},
                               {"there", sample.there}});
            cpu += sample.cpu;
            dearest = std::max(dearest, sample.cpu);
        }
        all["backends"].push_back({{"name", backend.name},
                                   {"memory_most_mb", backend.mostMemory},
                                   {"cpu_s", cpu},
                                   {"cpu_dearest_second", dearest},
                                   {"runs_started", backend.workers->spawns()},
                                   {"samples", samples}});
    }
    Json servers = Json::array();
    for (const auto& server : world.servers) {
        work += server->workDone();
        servers.push_back(
            {{"requests", server->requests()}, {"work_s", server->workDone()}, {"left", server->left()}});
    }
    all["servers"] = servers;
    const double completed = world.checker.completedWork();
    all["work"] = {{"done_core_s", work},
                   {"handled_core_s", completed},
                   {"wasted_share", work > 0 ? std::max(0.0, 1 - completed / work) : 0}};
    double mostShare = 0;
    for (std::size_t at = 0; at < terms_.backends; ++at)
        mostShare = std::max(mostShare, world.records->mostMeanOf(at));
    all["records"] = {{"calls", world.records->calls()},
                      {"turned_away", world.records->turnedAway()},
                      {"fallen", world.records->fallen()},
                      {"share", terms_.records.share},
                      {"most_mean_in_hands", mostShare}};
    all["registry_reports"] = world.registry->reports();
    all["troubles"] = Json::array();
    for (const Fault& fault : terms_.faults)
        all["troubles"].push_back(
            {{"at_s", secondsIn(fault.at)}, {"for_s", secondsIn(fault.lasts)}, {"text", fault.text}});
    all["notes"] = world.notes;
    return all;
}

}  // namespace cottonwing::loadtest
