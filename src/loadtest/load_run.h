// A run of load: what a file says, several workers that send it, and one result
// that judges itself.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "loadtest/load_clients.h"

namespace cottonwing::loadtest {

struct LoadConfig {
    RequestScheduleConfig schedule;
    ClientConfig client;
    int workers = 1;
    // The run is invalid where more than the rest of this share was sent later
    // than this after its time.
    Duration maxSendDelay{std::chrono::milliseconds(1)};
    double minPunctualFraction = 0.99;
    std::vector<kdl::Node> document;  // what plan.rateNode points into
};

// The `load` node of a file. targets: false where an experiment says them.
// Throws kdl::DocumentError.
std::unique_ptr<LoadConfig> readLoadConfig(const std::vector<kdl::Node>& document, const std::string& file,
                                           bool readTargets);

struct LoadResult {
    LoadStatistics statistics;
    Duration length{0};  // as it was played
    std::uint64_t seed = 0;
    bool stopped = false;  // by the user
    bool valid = true;
    std::string invalidReason;  // it is not valid
    double punctualFraction = 1;
};

// JSON with all figures, and the same as text for a person.
nlohmann::json toJson(const LoadResult& result, const LoadConfig& config);
std::string toText(const LoadResult& result, const LoadConfig& config);

class LoadRun {
public:
    // watchers: one a worker, or none.
    explicit LoadRun(const LoadConfig& config, std::vector<RequestObserver*> observers = {},
                     Clocks clocks = {});
    ~LoadRun();
    // Starts the workers; the plan's time 0 is `at` on the steady clock.
    void start(Duration startTime);
    void stop();   // nothing more is sent
    void abort();  // nothing more is waited for
    bool done() const;
    std::uint64_t scheduled() const;
    std::uint64_t ended() const;
    std::uint64_t completed() const;
    LoadResult finish();  // waits for the workers

private:
    struct Worker;
    const LoadConfig& config_;
    std::vector<std::unique_ptr<Worker>> workers_;
    Duration startedAt_{0};
    bool stopped_ = false;
};

}  // namespace cottonwing::loadtest
