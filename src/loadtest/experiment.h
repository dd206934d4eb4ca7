// An experiment: backends of a build, the emulated world around them, load, and
// a timeline of faults; what came of it, judged.
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
    Duration at{0}, duration{0}, restartInterval{0};  // each: between two instances, of a release
    double slowdown = 1, hangFraction = 0, malformedFraction = 0, instanceFraction = 1;
    bool down = false, coldStart = true, silent = false, failsFast = false;
    std::vector<std::size_t> instances;  // instances; all where it is empty
    std::string text;                    // as it stands in the file, for reports
};

// Where the backends are gateways before SCGI servers, in place of pools.
struct ScgiServersConfig {
    std::size_t count = 0;  // 0: the backends have pools
    int slots = 4;          // requests that one serves at once
    int maxInFlight = 16;   // that a gateway may have in flight there
    std::string loadBalancingPolicy = "two-choices";
    Duration healthCheckInterval{0};
};

struct ExperimentConfig {
    ScgiServersConfig servers;
    std::string name = "experiment", description;
    std::size_t backends = 1;
    double cores = 1, memoryMb = 192, sockets = 1024;  // limits of the program
    Duration shutdownTimeout{std::chrono::milliseconds(3200)}, drainGrace{std::chrono::milliseconds(800)};
    bool retryAfterAllowed = true;
    Duration maxRetryAfter{std::chrono::seconds(1)};
    PoolTerms workerPool;
    RecordsTerms dependency;
    double runMemoryFactor = 4;
    Duration registryDelay{0};  // its answers
    std::vector<Fault> faults;
    std::unique_ptr<LoadConfig> load;
};

// Throws kdl::DocumentError.
std::unique_ptr<ExperimentConfig> readExperimentConfig(const std::string& path);

struct BackendSample {
    double atSeconds = 0;  // seconds from the start of the load
    double memoryMb = 0, cpuSeconds = 0;
    double runsOnCores = 0, runsInFlight = 0;
    bool running = false;
};

struct ExperimentResult {
    nlohmann::json metrics;
    double earnedFraction = 0;
    std::uint64_t violations = 0;
    bool valid = true;
};

class Experiment {
public:
    // build: the program; folder: where its logs and files go, made where it is
    // not there. Throws std::runtime_error where a backend can't be started or
    // does not come up.
    Experiment(const ExperimentConfig& config, std::string program, std::string folder);
    ~Experiment();
    // progress: seconds from the start, the load, called ten times a second.
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
