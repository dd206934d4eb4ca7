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
        {"records", Fault::Kind::Dependency},
        {"pool", Fault::Kind::WorkerPool},
        {"stall", Fault::Kind::Stall},
        {"crash", Fault::Kind::Crash},
        {"link-break", Fault::Kind::PoolDisconnect},
        {"reload", Fault::Kind::Reload},
        {"release", Fault::Kind::RollingRestart},
        {"registry", Fault::Kind::Registry},
        {"server", Fault::Kind::ScgiServer}};
    kdl::NodeReader in(node);
    Fault fault;
    const kdl::Value& kind = in.argument(0, "the kind of fault");
    fault.kind = kdl::NodeReader::choice(kind, kKinds);
    fault.text = kind.text;
    for (const auto& [name, value] : node.properties)
        if (name != "at") fault.text += " " + name + "=" + value.text;
    const kdl::Value* const at = in.property("at");
    if (at == nullptr)
        throw kdl::DocumentError(node.location, "a 'trouble' was found without 'at='",
                                 "'at=10s' was expected");
    fault.at = kdl::duration(*at);
    in.property("for", fault.duration, kdl::duration);
    in.property("each", fault.restartInterval, kdl::duration);
    in.property("slow", fault.slowdown, kdl::number);
    in.property("hang", fault.hangFraction, kdl::fraction);
    in.property("spoil", fault.malformedFraction, kdl::fraction);
    in.property("share", fault.instanceFraction, kdl::fraction);
    in.property("down", fault.down, kdl::boolean);
    in.property("cold", fault.coldStart, kdl::boolean);
    in.property("silent", fault.silent, kdl::boolean);
    in.property("fails", fault.failsFast, kdl::boolean);
    const std::size_t count = fault.kind == Fault::Kind::ScgiServer ? servers : backends;
    if (count == 0)
        throw kdl::DocumentError(kind.location, "'server' was found without servers",
                                 "'servers 20' was expected in the experiment");
    if (const kdl::Value* const on = in.property("on"))
        fault.instances = {static_cast<std::size_t>(kdl::integer(*on, 1, static_cast<std::int64_t>(count))) -
                           1};
    in.rejectUnknown();
    return fault;
}

}  // namespace

std::unique_ptr<ExperimentConfig> readExperimentConfig(const std::string& path) {
    const auto document = kdl::parseFile(path);
    auto config = std::make_unique<ExperimentConfig>();
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
    config->name = kdl::text(in.argument(0, "the name of the experiment"));
    if (config->name.empty() ||
        config->name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") !=
            std::string::npos)
        throw kdl::DocumentError(experiment->location, "the name '" + config->name + "' was found",
                                 "letters, digits, - and _ were expected");
    config->description = in.setting("about", kdl::text, std::string());
    if (const kdl::Node* const found = in.child("backends")) {
        kdl::NodeReader inner(*found);
        config->backends =
            static_cast<std::size_t>(kdl::integer(inner.argument(0, "the number of backends"), 1, 200));
        inner.property("cores", config->cores, kdl::number);
        inner.property("memory", config->memoryMb, [](const kdl::Value& value) {
            return static_cast<double>(kdl::bytes(value)) / (1 << 20);
        });
        inner.property("sockets", config->sockets, kdl::integerBetween(64, 1000000));
        inner.property("stop", config->shutdownTimeout, kdl::duration);
        inner.property("grace", config->drainGrace, kdl::duration);
        inner.property("come-back", config->maxRetryAfter, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("pool")) {
        kdl::NodeReader inner(*found);
        WorkerPoolConfig& pool = config->workerPool;
        inner.property("cores", pool.cores.cores, kdl::number);
        inner.property("speed", pool.cores.speed, kdl::number);
        inner.property("thrash-at", pool.cores.thrashingThreshold, kdl::number);
        inner.property("thrash-to", pool.cores.minEfficiency, kdl::fraction);
        inner.property("cold", pool.cores.coldSpeedFraction, kdl::fraction);
        inner.property("warms-over", pool.cores.warmUpTime, kdl::duration);
        inner.property("heap", pool.heapKb,
                       [](const kdl::Value& value) { return static_cast<double>(kdl::bytes(value)) / 1024; });
        inner.property("run-factor", config->runMemoryFactor, kdl::number);
        inner.property("fall-multiple", pool.overloadFactor, kdl::number);
        inner.property("fall-over", pool.overloadWindow, kdl::duration);
        inner.property("starts-after", pool.startDelay, kdl::duration);
        inner.property("ends-at-calls", pool.endsBlockedRuns, kdl::boolean);
        inner.property("pieces-every", pool.splitEvery, kdl::integerBetween(1, 1000000));
        inner.property("twice-every", pool.duplicateEvery, kdl::integerBetween(1, 1000000));
        inner.rejectUnknown();
        if (pool.cores.cores < 1 || pool.cores.speed <= 0 || pool.heapKb <= 0)
            throw kdl::DocumentError(found->location, "a pool without cores, speed or heap was found",
                                     "a core, a speed and a heap above 0 were expected");
    }
    if (const kdl::Node* const found = in.child("records")) {
        kdl::NodeReader inner(*found);
        DependencyConfig& dependency = config->dependency;
        inner.property("slots", dependency.slots, kdl::integerBetween(1, 1000000));
        inner.property("line", dependency.queueCapacity, kdl::integerBetween(0, 1000000));
        inner.property("crowd-slows", dependency.queueSlowdown, kdl::number);
        inner.property("falls-at", dependency.overloadThreshold, kdl::number);
        inner.property("down-for", dependency.downTime, kdl::duration);
        inner.property("share", dependency.callQuota, kdl::number);
        inner.property("share-over", dependency.quotaWindow, kdl::duration);
        inner.property("linger", dependency.lingerTime, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("registry")) {
        kdl::NodeReader inner(*found);
        inner.property("late", config->registryDelay, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("servers")) {
        kdl::NodeReader inner(*found);
        config->servers.count =
            static_cast<std::size_t>(kdl::integer(inner.argument(0, "the number of servers"), 1, 150));
        inner.property("slots", config->servers.slots, kdl::integerBetween(1, 10000));
        inner.property("most", config->servers.maxInFlight, kdl::integerBetween(1, 10000));
        inner.property("choose", config->servers.loadBalancingPolicy, kdl::text);
        inner.property("checks", config->servers.healthCheckInterval, kdl::duration);
        inner.rejectUnknown();
    }
    for (const kdl::Node* node : in.children("trouble"))
        config->faults.push_back(readFault(*node, config->backends, config->servers.count));
    in.rejectUnknown();
    std::vector<kdl::Node> loads;
    for (const kdl::Node& node : document)
        if (node.name == "load") loads.push_back(node);
    config->load = readLoadConfig(loads, path, false);
    config->dependency.seed = config->load->schedule.seed;
    return config;
}

// ---- emulated environment -------------------------------------------------------------------------------

struct Experiment::Backend {
    std::string name;
    net::Address thriftAddress, scgiAddress, poolAddress, dependencyAddress, registryAddress;
    std::unique_ptr<WorkerPool> workerPool;
    std::unique_ptr<ChildProcess> process;
    bool exitExpected = false, crashed = false, restarting = false;
    double lastCpuSeconds = 0;
    std::vector<BackendSample> samples;
    double maxMemoryMb = 0;
    int crashes = 0;
    Duration stopDeadline{-1};
    bool cold = false;
};

struct Experiment::EmulatedEnvironment {
    explicit EmulatedEnvironment(const ExperimentConfig& config)
        : checker(config.load->schedule.requestClasses, 60s, config.workerPool.heapKb,
                  config.runMemoryFactor) {}
    net::Loop loop;
    InvariantChecker checker;
    std::vector<Backend> backends;
    std::vector<std::unique_ptr<EmulatedScgiServer>> servers;
    std::unique_ptr<DependencyService> dependency;
    std::unique_ptr<RegistryService> registry;
    std::vector<std::string> notes;  // events that no metric shows: a crash, a slow shutdown
    std::vector<std::size_t> pendingRestarts;
    Duration nextRestartAt{0}, restartInterval{0};
};

Experiment::Experiment(const ExperimentConfig& config, std::string program, std::string folder)
    : config_(config),
      program_(std::move(program)),
      folder_(std::move(folder)),
      environment_(std::make_unique<EmulatedEnvironment>(config)) {
    if (access(program_.c_str(), X_OK) != 0)
        throw std::runtime_error(program_ + " is not an executable program");
    std::error_code error;
    std::filesystem::create_directories(folder_, error);
    if (error) throw std::runtime_error("can't create folder " + folder_ + ": " + error.message());
    // A block of loopback addresses derived from the process id, with fixed ports: a restarted backend keeps
    // its addresses, and no free port has to be guessed.
    const int pid = getpid();
    const std::string addressPrefix =
        "127." + std::to_string(64 + pid % 128) + "." + std::to_string(pid / 128 % 250) + ".";
    std::vector<net::Address> dependencyAddresses;
    environment_->loop.onUncaughtException([this](const std::string& what) {
        environment_->notes.push_back("error in the emulated environment: " + what);
    });
    for (std::size_t index = 0; index < config.backends; ++index) {
        Backend backend;
        backend.name = "n" + std::to_string(index + 1);
        const std::string host = addressPrefix + std::to_string(index + 1);
        backend.scgiAddress = {host, 9000};
        backend.thriftAddress = {host, 8080}, backend.poolAddress = {host, 6100},
        backend.dependencyAddress = {host, 9042};
        backend.registryAddress = {addressPrefix + "254", 7946};
        dependencyAddresses.push_back(backend.dependencyAddress);
        environment_->backends.push_back(std::move(backend));
    }
    environment_->registry = std::make_unique<RegistryService>(
        environment_->loop, environment_->backends[0].registryAddress, config.registryDelay);
    environment_->dependency = std::make_unique<DependencyService>(environment_->loop, dependencyAddresses,
                                                                   config.dependency, environment_->checker);
    for (std::size_t index = 0; index < config.servers.count; ++index) {
        EmulatedScgiServerConfig server;
        server.slots = config.servers.slots;
        environment_->servers.push_back(std::make_unique<EmulatedScgiServer>(
            environment_->loop, net::Address{addressPrefix + std::to_string(100 + index), 9001}, server));
        environment_->servers.back()->onRequestEnd(
            [this](const std::string& trace) { environment_->checker.runEnded(trace); });
        // The invariant checker knows from the attempt's trace which gateway sent it.
        environment_->servers.back()->onRequest([this](const std::string& trace, const std::string& first) {
            environment_->checker.runStarted(environment_->checker.instanceOf(trace), trace, first,
                                             steadyNow());
        });
    }
    for (std::size_t index = 0; index < config.backends; ++index) {
        environment_->backends[index].workerPool =
            std::make_unique<WorkerPool>(environment_->loop, index, environment_->backends[index].poolAddress,
                                         config.workerPool, environment_->checker);
        startBackend(index);
    }
}

Experiment::~Experiment() = default;

nlohmann::json Experiment::backendConfig(std::size_t index) const {
    const Backend& backend = environment_->backends[index];
    const auto text = [](const net::Address& address) {
        return address.host + ":" + std::to_string(address.port);
    };
    const RequestScheduleConfig& plan = config_.load->schedule;
    Json settings, classes = Json::array(), makesCalls = Json::array(), degradedValues = Json::array(),
                   tenants = Json::array();
    bool anyCalls = false;
    for (const RequestClassLoad& requestClass : plan.requestClasses) {
        static constexpr const char* kRepeatValues[] = {"free", "guarded", "single_shot"};
        classes.push_back({{"name", requestClass.name},
                           {"repeat", kRepeatValues[static_cast<int>(requestClass.idempotency)]},
                           {"aim_us", micros(requestClass.latencyObjective)},
                           {"deadline_us", micros(requestClass.timeout)},
                           {"worth", requestClass.value},
                           {"late_value", requestClass.lateValueFraction},
                           {"window_us", micros(requestClass.timeout)}});
        makesCalls.push_back(requestClass.callsPerRun > 0);
        degradedValues.push_back(0);
        anyCalls = anyCalls || requestClass.callsPerRun > 0;
    }
    const double rate = 1e6;  // too high for any tenant to reach its quota
    for (std::uint64_t tenant = 0; tenant < plan.tenantCount; ++tenant)
        tenants.push_back({{"name", tenantName(tenant)}, {"quota_per_s", rate}});
    settings["classes"] = classes;
    settings["tenants"] = tenants;
    settings["goal"] = {{"whole", 1.0}, {"worst_class", 0.0}};
    settings["peers_total"] = config_.backends;
    settings["permissions"] = {{"retry_after", config_.retryAfterAllowed},
                               {"max_retry_after_us", micros(config_.maxRetryAfter)}};
    settings["obligations"] = {{"drain_grace_us", micros(config_.drainGrace)},
                               {"fall_multiple", config_.workerPool.overloadFactor},
                               {"overload_for_us", micros(config_.workerPool.overloadWindow)},
                               {"start_capacity", config_.workerPool.cores.coldSpeedFraction},
                               {"ramp_time_us", micros(config_.workerPool.cores.warmUpTime)}};
    settings["family_info"] = {{"below", anyCalls ? "shared" : "off"},
                               {"calls_over_us", micros(config_.dependency.quotaWindow)},
                               {"class_calls", makesCalls},
                               {"degraded_worth", degradedValues},
                               {"cores", static_cast<int>(config_.workerPool.cores.cores)},
                               {"dep_share", config_.dependency.callQuota},
                               {"halt", "suspend"},
                               {"heap_kb", config_.workerPool.heapKb},
                               {"idle_us", micros(config_.load->client.idleTimeout)},
                               {"linger_us", micros(config_.dependency.lingerTime)},
                               {"own_stats", {"core_use", "on_cores", "heap_share", "links"}},
                               {"readiness", true},
                               {"run_factor", config_.runMemoryFactor},
                               {"senders", config_.load->client.clients},
                               {"signal", "share_of"}};
    char seed[20];
    std::snprintf(seed, sizeof seed, "%016llx",
                  static_cast<unsigned long long>(routing::splitMix64(
                      plan.seed * 1000 + index + 1000000 * static_cast<std::uint64_t>(backend.crashes))));
    return {
        {"name", backend.name},
        {"listen", text(backend.thriftAddress)},
        {"pool", text(backend.poolAddress)},
        {"registry", text(backend.registryAddress)},
        {"records", text(backend.dependencyAddress)},
        {"seed", seed},
        {"stop_ms", config_.shutdownTimeout / 1ms},
        {"limits", {{"cores", config_.cores}, {"memory_mb", config_.memoryMb}, {"sockets", config_.sockets}}},
        {"settings", settings}};
}

// The configuration file of a gateway, in KDL.
std::string Experiment::gatewayConfig(std::size_t index) const {
    const Backend& backend = environment_->backends[index];
    const RequestScheduleConfig& plan = config_.load->schedule;
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
    for (const auto& server : environment_->servers)
        servers += "        server " + quoted(server->address()) +
                   " most=" + std::to_string(config_.servers.maxInFlight) + "\n";
    if (config_.servers.healthCheckInterval > 0ns)
        servers += "        checks " + millis(config_.servers.healthCheckInterval) + " path=\"/health\"\n";
    return "serve \"" + backend.name +
           "\" {\n    limits memory=" + std::to_string(static_cast<int>(config_.memoryMb)) +
           "MiB sockets=" + std::to_string(static_cast<int>(config_.sockets)) +
           "\n    leave stop=" + millis(config_.shutdownTimeout) + " grace=" + millis(config_.drainGrace) +
           "\n    seed " + std::to_string(plan.seed * 1000 + index + 1) +
           "\n    thrift listen=" + quoted(backend.thriftAddress) +
           "\n    scgi listen=" + quoted(backend.scgiAddress) + " {\n" + routes + "    }\n" + requestClasses +
           tenants + "    group \"servers\" {\n        choose \"" + config_.servers.loadBalancingPolicy +
           "\"\n" + servers + "    }\n}\n";
}

// A gateway is up once its log says so, another backend once it has bound to its worker pool.
bool Experiment::isUp(const Backend& backend) const {
    if (config_.servers.count == 0) return backend.workerPool->bound();
    std::ifstream in(folder_ + "/" + backend.name + ".log");
    std::string line, log;
    while (std::getline(in, line)) log += line;
    return log.find("serving") != std::string::npos;
}

void Experiment::startBackend(std::size_t index) {
    Backend& backend = environment_->backends[index];
    const bool gateway = config_.servers.count > 0;
    const std::string configPath = folder_ + "/" + backend.name + (gateway ? ".kdl" : ".json");
    std::ofstream out(configPath);
    out << (gateway ? gatewayConfig(index) : backendConfig(index).dump(1) + "\n");
    out.close();
    if (!out) throw std::runtime_error(configPath + " can't be written");
    backend.exitExpected = backend.crashed = false;
    backend.lastCpuSeconds = 0;
    environment_->checker.instanceRestarted(index);
    backend.process = std::make_unique<ChildProcess>(
        environment_->loop, program_,
        gateway ? std::vector<std::string>{"serve", configPath} : std::vector<std::string>{},
        std::map<std::string, std::string>{
            {"GW_NAME", backend.name},
            {"GW_LISTEN", backend.thriftAddress.host + ":" + std::to_string(backend.thriftAddress.port)},
            {"GW_CONFIG", configPath}},
        folder_ + "/" + backend.name + ".log", [this, index](int code, int signal) {
            Backend& ended = environment_->backends[index];
            if (ended.exitExpected && !ended.restarting) return;
            if (ended.restarting && code == 0 && signal == 0) return;
            ++ended.crashes;
            ended.crashed = true;
            environment_->notes.push_back(
                ended.name + " exited unexpectedly with " +
                (signal != 0 ? "signal " + std::to_string(signal) : "code " + std::to_string(code)));
        });
}

std::vector<std::size_t> Experiment::targetInstances(const Fault& fault) const {
    if (!fault.instances.empty()) return fault.instances;
    std::vector<std::size_t> instances(fault.kind == Fault::Kind::ScgiServer ? config_.servers.count
                                                                             : config_.backends);
    for (std::size_t index = 0; index < instances.size(); ++index) instances[index] = index;
    if (fault.instanceFraction < 1)
        instances.resize(std::max<std::size_t>(
            1, static_cast<std::size_t>(
                   std::lround(fault.instanceFraction * static_cast<double>(instances.size())))));
    return instances;
}

void Experiment::applyFault(const Fault& fault, bool starts) {
    EmulatedEnvironment& environment = *environment_;
    switch (fault.kind) {
        case Fault::Kind::Dependency:
            environment.dependency->setSlowdown(starts ? fault.slowdown : 1);
            environment.dependency->setHangFraction(starts ? fault.hangFraction : 0);
            environment.dependency->setMalformedFraction(starts ? fault.malformedFraction : 0);
            if (fault.down) environment.dependency->setDown(starts);
            break;
        case Fault::Kind::ScgiServer:
            for (const std::size_t index : targetInstances(fault)) {
                EmulatedScgiServerConfig server = environment.servers[index]->config();
                server.slowdown = starts ? fault.slowdown : 1;
                server.fault = starts && fault.failsFast ? ScgiFault::FailFast
                               : starts && fault.silent  ? ScgiFault::Silent
                                                         : ScgiFault::None;
                environment.servers[index]->setConfig(server);
            }
            break;
        case Fault::Kind::Registry:
            environment.registry->setSilent(starts && fault.silent);
            break;
        case Fault::Kind::WorkerPool:
            for (const std::size_t index : targetInstances(fault))
                environment.backends[index].workerPool->setSlowdown(starts ? fault.slowdown : 1);
            break;
        case Fault::Kind::Stall:
            for (const std::size_t index : targetInstances(fault))
                environment.backends[index].process->sendSignal(starts ? SIGSTOP : SIGCONT);
            break;
        case Fault::Kind::PoolDisconnect:
            if (starts)
                for (const std::size_t index : targetInstances(fault))
                    environment.backends[index].workerPool->breakConnection();
            break;
        case Fault::Kind::Reload:
            if (starts)
                for (const std::size_t index : targetInstances(fault))
                    environment.backends[index].process->sendSignal(SIGHUP);
            break;
        case Fault::Kind::Crash:
            for (const std::size_t index : targetInstances(fault)) {
                Backend& backend = environment.backends[index];
                if (starts) {
                    backend.exitExpected = true;
                    backend.process->sendSignal(SIGKILL);
                    backend.workerPool->crash();
                } else {
                    backend.workerPool->restart(fault.coldStart);
                    startBackend(index);
                }
            }
            break;
        case Fault::Kind::RollingRestart:
            if (!starts) break;
            environment.pendingRestarts = targetInstances(fault);
            environment.restartInterval =
                fault.restartInterval > 0ns ? fault.restartInterval : config_.shutdownTimeout + 1s;
            environment.nextRestartAt = steadyNow();
            break;
    }
}

void Experiment::sampleBackends(double atSeconds) {
    for (Backend& backend : environment_->backends) {
        BackendSample sample;
        sample.atSeconds = atSeconds;
        sample.running = backend.process->running();
        const double cpu = backend.process->cpuSeconds();
        sample.cpuSeconds = std::max(0.0, cpu - backend.lastCpuSeconds);
        backend.lastCpuSeconds = cpu;
        sample.memoryMb = backend.process->memoryMb();
        backend.maxMemoryMb = std::max(backend.maxMemoryMb, sample.memoryMb);
        sample.runsOnCores = static_cast<double>(backend.workerPool->runsOnCores());
        sample.runsInFlight = static_cast<double>(backend.workerPool->unfinishedRuns());
        backend.samples.push_back(sample);
    }
}

ExperimentResult Experiment::run(const std::function<void(double, const LoadRun&)>& progress,
                                 const bool* interrupted) {
    EmulatedEnvironment& environment = *environment_;
    // Load starts only when every backend is up, so that the first health checks find a working fleet.
    const auto runLoopUntil = [&](const std::function<bool()>& condition, Duration timeout) {
        bool timedOut = false, ticked = false;
        net::Timer timeoutTimer(environment.loop, [&] { timedOut = true; });
        timeoutTimer.start(timeout);
        net::Timer tick(environment.loop, [&] { ticked = true; });
        while (!condition() && !timedOut) {
            tick.start(10ms);
            environment.loop.runOnce();
        }
        return !timedOut;
    };
    const bool up = runLoopUntil(
        [&] {
            return std::all_of(
                environment.backends.begin(), environment.backends.end(),
                [this](const Backend& backend) { return isUp(backend) || !backend.process->running(); });
        },
        20s);
    for (const Backend& backend : environment.backends)
        if (!up || !backend.process->running() || !isUp(backend))
            throw std::runtime_error(backend.name + " did not come up; see its log " + folder_ + "/" +
                                     backend.name + ".log");
    runLoopUntil([] { return false; }, 300ms);

    for (const Backend& backend : environment.backends) {
        config_.load->client.targets.push_back(backend.thriftAddress);
        config_.load->client.scgiTargets.push_back(backend.scgiAddress);
    }
    std::vector<RequestObserver*> observers = {&environment.checker};
    LoadRun load(*config_.load, observers);
    const Duration start = steadyNow() + 100ms;
    load.start(start);

    struct TimelineEvent {
        Duration at;
        const Fault* fault;
        bool starts;
    };
    std::vector<TimelineEvent> timeline;
    for (const Fault& fault : config_.faults) {
        timeline.push_back({fault.at, &fault, true});
        if (fault.duration > 0ns) timeline.push_back({fault.at + fault.duration, &fault, false});
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const TimelineEvent& a, const TimelineEvent& b) { return a.at < b.at; });
    std::size_t nextEvent = 0;
    Duration nextSample = start;
    bool stopRequested = false, cutOff = false;
    std::unique_ptr<PreciseTimer> timer;
    const auto advance = [&] {
        const Duration now = steadyNow();
        while (nextEvent < timeline.size() && now >= start + timeline[nextEvent].at) {
            applyFault(*timeline[nextEvent].fault, timeline[nextEvent].starts);
            ++nextEvent;
        }
        if (!environment.pendingRestarts.empty() && now >= environment.nextRestartAt) {
            const std::size_t index = environment.pendingRestarts.front();
            Backend& backend = environment.backends[index];
            if (!backend.restarting) {
                backend.restarting = true;
                backend.stopDeadline = now + config_.shutdownTimeout;
                environment.checker.drainStarted(index, now,
                                                 std::min(config_.drainGrace, config_.shutdownTimeout / 2));
                backend.process->sendSignal(SIGTERM);
            } else if (!backend.process->running() || now >= backend.stopDeadline) {
                if (backend.process->running()) {
                    environment.notes.push_back(backend.name +
                                                " did not exit within its shutdown timeout and was killed");
                    environment.checker.overloaded(index, "it did not exit within its shutdown timeout");
                    backend.exitExpected = true;
                    backend.process->sendSignal(SIGKILL);
                }
                backend.workerPool->crash();
                backend.workerPool->restart(true);
                backend.restarting = false;
                startBackend(index);
                environment.pendingRestarts.erase(environment.pendingRestarts.begin());
                environment.nextRestartAt = now + environment.restartInterval;
            }
        }
        if (now >= nextSample) {
            sampleBackends(secondsIn(now - start));
            nextSample += 1s;
        }
        if (progress) progress(std::max(0.0, secondsIn(now - start)), load);
        if (interrupted != nullptr && *interrupted && !std::exchange(stopRequested, true)) load.stop();
        // Requests that outlast every timeout are cut off and counted under their actual outcome.
        Duration maxTimeout{0};
        for (const RequestClassLoad& requestClass : config_.load->schedule.requestClasses)
            maxTimeout = std::max(maxTimeout, requestClass.timeout);
        if (now > start + config_.load->schedule.duration + maxTimeout + 5s && !std::exchange(cutOff, true))
            load.abort();
        if (!load.done()) timer->startAt(now + (progress ? 100ms : 20ms));
    };
    timer = std::make_unique<PreciseTimer>(environment.loop, advance);
    timer->startAt(start);
    runLoopUntil([&] { return load.done(); }, 24h);
    timer.reset();
    sampleBackends(secondsIn(steadyNow() - start));
    LoadResult result = load.finish();
    ExperimentResult experimentResult;
    experimentResult.metrics = summarize(result);
    experimentResult.earnedFraction = experimentResult.metrics["load"]["earned_share"];
    experimentResult.violations = experimentResult.metrics["broken"]["all"];
    experimentResult.valid = result.valid;

    // The backends shut down as after any termination signal; stopped ones have to continue first.
    for (Backend& backend : environment.backends) {
        backend.exitExpected = true;
        backend.process->sendSignal(SIGCONT);
        backend.process->sendSignal(SIGTERM);
    }
    const bool stopped = runLoopUntil(
        [&] {
            return std::none_of(environment.backends.begin(), environment.backends.end(),
                                [](const Backend& b) { return b.process->running(); });
        },
        config_.shutdownTimeout);
    if (!stopped)
        experimentResult.metrics["notes"].push_back(
            "a backend did not exit within its shutdown timeout at the end");
    return experimentResult;
}

nlohmann::json Experiment::summarize(LoadResult& result) {
    EmulatedEnvironment& environment = *environment_;
    Json summary;
    summary["name"] = config_.name;
    summary["about"] = config_.description;
    summary["build"] = program_;
    summary["load"] = toJson(result, *config_.load);
    const auto counts = environment.checker.counts();
    std::uint64_t violationCount = result.statistics.violations.total();
    Json violations;
    for (std::size_t rule = 0; rule < kInvariants; ++rule) {
        violations[nameOf(static_cast<Invariant>(rule))] = counts[rule];
        violationCount += counts[rule];
    }
    violations["lost"] =
        counts[static_cast<std::size_t>(Invariant::Lost)] + result.statistics.violations.lostResponses;
    violations["answers"] = result.statistics.violations.total() - result.statistics.violations.lostResponses;
    int crashes = 0;
    for (const Backend& backend : environment.backends) crashes += backend.crashes;
    violations["crashes"] = crashes;
    violations["all"] = violationCount + static_cast<std::uint64_t>(crashes);
    violations["examples"] = Json::array();
    for (const Violation& violation : environment.checker.violations())
        violations["examples"].push_back(std::string(nameOf(violation.invariant)) + ": " +
                                         violation.description);
    for (const std::string& example : result.statistics.violations.examples)
        violations["examples"].push_back(example);
    summary["broken"] = violations;
    double totalWork = 0;
    summary["backends"] = Json::array();
    for (const Backend& backend : environment.backends) {
        totalWork += backend.workerPool->workDone();
        Json samples = Json::array();
        double cpu = 0, maxCpuSecond = 0;
        for (const BackendSample& sample : backend.samples) {
            samples.push_back({{"at_s", sample.atSeconds},
                               {"memory_mb", sample.memoryMb},
                               {"cpu_s", sample.cpuSeconds},
                               {"on_cores", sample.runsOnCores},
                               {"runs", sample.runsInFlight},
                               {"there", sample.running}});
            cpu += sample.cpuSeconds;
            maxCpuSecond = std::max(maxCpuSecond, sample.cpuSeconds);
        }
        summary["backends"].push_back({{"name", backend.name},
                                       {"memory_most_mb", backend.maxMemoryMb},
                                       {"cpu_s", cpu},
                                       {"cpu_dearest_second", maxCpuSecond},
                                       {"runs_started", backend.workerPool->startedRuns()},
                                       {"samples", samples}});
    }
    Json servers = Json::array();
    for (const auto& server : environment.servers) {
        totalWork += server->workDone();
        servers.push_back({{"requests", server->requests()},
                           {"work_s", server->workDone()},
                           {"left", server->abandonedRequests()}});
    }
    summary["servers"] = servers;
    const double completed = environment.checker.completedWork();
    summary["work"] = {{"done_core_s", totalWork},
                       {"handled_core_s", completed},
                       {"wasted_share", totalWork > 0 ? std::max(0.0, 1 - completed / totalWork) : 0}};
    double maxMeanInFlight = 0;
    for (std::size_t index = 0; index < config_.backends; ++index)
        maxMeanInFlight = std::max(maxMeanInFlight, environment.dependency->maxMeanCalls(index));
    summary["records"] = {{"calls", environment.dependency->calls()},
                          {"turned_away", environment.dependency->rejectedCalls()},
                          {"fallen", environment.dependency->overloads()},
                          {"share", config_.dependency.callQuota},
                          {"most_mean_in_hands", maxMeanInFlight}};
    summary["registry_reports"] = environment.registry->reports();
    summary["troubles"] = Json::array();
    for (const Fault& fault : config_.faults)
        summary["troubles"].push_back(
            {{"at_s", secondsIn(fault.at)}, {"for_s", secondsIn(fault.duration)}, {"text", fault.text}});
    summary["notes"] = environment.notes;
    return summary;
}

}  // namespace cottonwing::loadtest
