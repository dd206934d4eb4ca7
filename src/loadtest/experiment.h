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
        Records,
        Pool,
        Stall,
        Crash,
        LinkBreak,
        Reload,
        Release,
        Registry,
        Server
    } kind = Kind::Records;
    Duration at{0}, lasts{0}, each{0};  // each: between two instances, of a release
    double slow = 1, hang = 0, spoil = 0, share = 1;
    bool down = false, cold = true, silent = false, fails = false;
    std::vector<std::size_t> on;  // instances; all where it is empty
    std::string text;             // as it stands in the file, for reports
};

// Where the backends are gateways before SCGI servers, in place of pools.
struct ServersTerms {
    std::size_t count = 0;  // 0: the backends have pools
    int slots = 4;          // requests that one serves at once
    int most = 16;          // that a gateway may have in flight there
    std::string choose = "two-choices";
    Duration checks{0};
};

struct WorldTerms {
    ServersTerms servers;
    std::string name = "experiment", about;
    std::size_t backends = 1;
    double cores = 1, memoryMb = 192, sockets = 1024;  // limits of the program
    Duration stop{std::chrono::milliseconds(3200)}, grace{std::chrono::milliseconds(800)};
    bool retryAfter = true;
    Duration maxRetryAfter{std::chrono::seconds(1)};
    PoolTerms pool;
    RecordsTerms records;
    double runFactor = 4;
    Duration registryLate{0};  // its answers
    std::vector<Fault> faults;
    std::unique_ptr<LoadConfig> load;
};

// Throws kdl::DocumentError.
std::unique_ptr<WorldTerms> readExperiment(const std::string& path);

struct Sample {
    double at = 0;  // seconds from the start of the load
    double memoryMb = 0, cpu = 0;
    double onCores = 0, inHand = 0;
    bool there = false;
};

struct ExperimentResult {
    nlohmann::json figures;
    double earnedShare = 0;
    std::uint64_t broken = 0;
    bool valid = true;
};

class Experiment {
public:
    // build: the program; folder: where its logs and files go, made where it is
    // not there. Throws std::runtime_error where a backend can't be started or
    // does not come up.
    Experiment(const WorldTerms& terms, std::string build, std::string folder);
    ~Experiment();
    // progress: seconds from the start, the load, called ten times a second.
    ExperimentResult run(const std::function<void(double, const LoadRun&)>& progress = {},
                         const bool* interrupted = nullptr);

private:
    struct Backend;
    struct World;
    nlohmann::json configOf(std::size_t at) const;
    void play(const Fault& fault, bool begins);
    std::string gatewayOf(std::size_t at) const;
    void startBackend(std::size_t at);
    bool isUp(const Backend& backend) const;
    void sample(double at);
    nlohmann::json judged(LoadResult& result);
    std::vector<std::size_t> meant(const Fault& fault) const;

    const WorldTerms& terms_;
    const std::string build_, folder_;
    std::unique_ptr<World> world_;
};

}  // namespace cottonwing::loadtest
