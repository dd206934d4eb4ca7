/// @file
/// Experiments: runs the backends of a build in an emulated environment, under load and a timeline of faults,
/// and reports the results together with all violated invariants.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/emulators/http_services.h"
#include "loadtest/emulators/scgi_server.h"
#include "loadtest/emulators/worker_pool.h"
#include "loadtest/load_run.h"

namespace cottonwing::loadtest {

/// A fault of the timeline; the comments name its property in the experiment file where that differs.
struct Fault {
    enum class Kind {
        Dependency,
        WorkerPool,
        Stall,
        Crash,
        PoolDisconnect,
        Reload,
        RollingRestart,
        Registry,
        ScgiServer
    } kind = Kind::Dependency;
    Duration at{0};                      // from the start of the load
    Duration duration{0};                // `for`; 0: the fault has no end of its own
    Duration restartInterval{0};         // `each`: between two instances of a rolling restart (`release`)
    double slowdown = 1;                 // `slow`: factor on the service time
    double hangFraction = 0;             // `hang`: dependency calls that are never answered
    double malformedFraction = 0;        // `spoil`: dependency calls whose response can't be parsed
    double instanceFraction = 1;         // `share`: instances that are affected, at least one
    bool down = false;                   // the dependency refuses connections
    bool coldStart = true;               // `cold`: a crashed worker pool has to warm up again
    bool silent = false;                 // the registry or SCGI server accepts requests and does not respond
    bool failsFast = false;              // `fails`: the SCGI server responds with 503 at once
    std::vector<std::size_t> instances;  // `on`; empty: instanceFraction of all
    std::string text;                    // as written in the file, for reports
};

/// Emulated SCGI servers; with them the backends are gateways and use no worker pools.
struct ScgiServersConfig {
    std::size_t count = 0;  // 0: the backends use worker pools
    int slots = 4;          // requests that a server processes concurrently
    int maxInFlight = 16;   // requests of one gateway in flight at one server
    std::string loadBalancingPolicy = "two-choices";
    Duration healthCheckInterval{0};  // 0: no health checks
};

/// Configuration of an experiment, defaults included.
struct ExperimentConfig {
    ScgiServersConfig servers;
    std::string name = "experiment", description;
    std::size_t backends = 1;
    double cores = 1, memoryMb = 192, sockets = 1024;  // resource limits of each backend
    Duration shutdownTimeout{std::chrono::milliseconds(3200)}, drainGrace{std::chrono::milliseconds(800)};
    bool retryAfterAllowed = true;
    Duration maxRetryAfter{std::chrono::seconds(1)};
    WorkerPoolConfig workerPool;
    DependencyConfig dependency;
    double runMemoryFactor = 4;  // a request takes this many times its memory while it runs
    Duration registryDelay{0};   // of the registry's responses
    std::vector<Fault> faults;
    std::unique_ptr<LoadConfig> load;
};

/// Reads an experiment file. Throws kdl::DocumentError.
std::unique_ptr<ExperimentConfig> readExperimentConfig(const std::string& path);

/// Measurements of one backend, taken once a second and at the end.
struct BackendSample {
    double atSeconds = 0;                      // from the start of the load
    double memoryMb = 0, cpuSeconds = 0;       // CPU time since the previous sample
    double runsOnCores = 0, runsInFlight = 0;  // of its worker pool
    bool running = false;                      // the process exists
};

/// Results of a run: `metrics` is an entry of `plays` in results.json; the other members repeat values of it.
struct ExperimentResult {
    nlohmann::json metrics;
    double earnedFraction = 0;     // of the value of all requests
    std::uint64_t violations = 0;  // of invariants, crashes included
    bool valid = true;             // false: a load worker failed, or too many requests were sent late
};

/// Starts the backends and the emulators, applies load and faults, and collects the results.
class Experiment {
public:
    /// @param program executable of the backends.
    /// @param folder for logs and configuration files; created if missing.
    /// @throws std::runtime_error if a backend can't be started.
    Experiment(const ExperimentConfig& config, std::string program, std::string folder);
    ~Experiment();
    /// @param progress called ten times a second with the seconds since the start and the load.
    /// @param interrupted once true, no further requests are sent.
    /// @throws std::runtime_error if a backend does not come up.
    ExperimentResult run(const std::function<void(double, const LoadRun&)>& progress = {},
                         const bool* interrupted = nullptr);

private:
    struct Backend;
    struct EmulatedEnvironment;
    nlohmann::json backendConfig(std::size_t index) const;
    void applyFault(const Fault& fault, bool starts);
    std::string gatewayConfig(std::size_t index) const;
    void startBackend(std::size_t index);
    bool isUp(const Backend& backend) const;
    void sampleBackends(double atSeconds);
    nlohmann::json summarize(LoadResult& result);
    std::vector<std::size_t> targetInstances(const Fault& fault) const;

    const ExperimentConfig& config_;
    const std::string program_, folder_;
    std::unique_ptr<EmulatedEnvironment> environment_;
};

}  // namespace cottonwing::loadtest
