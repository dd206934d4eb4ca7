/// @file
/// A run of the load generator: its configuration from a file, the worker threads that send the load, and the
/// result, which says whether the run is valid.
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

/// The `load` node of a file.
struct LoadConfig {
    RequestScheduleConfig schedule;
    ClientConfig client;
    int workers = 1;
    /// The run is invalid if less than minPunctualFraction of its requests were sent within this time after
    /// their scheduled time.
    Duration maxSendDelay{std::chrono::milliseconds(1)};
    double minPunctualFraction = 0.99;
    std::vector<kdl::Node> document;  ///< Owns the node that schedule.rateNode points to.
};

/// Reads the `load` node of a file; throws kdl::DocumentError.
/// @param readTargets false if the experiment sets the targets; the file must not name any then.
std::unique_ptr<LoadConfig> readLoadConfig(const std::vector<kdl::Node>& document, const std::string& file,
                                           bool readTargets);

/// The result of a run, merged over its workers.
struct LoadResult {
    LoadStatistics statistics;
    Duration length{0};  ///< The time that it ran, at most that of the schedule.
    std::uint64_t seed = 0;
    bool stopped = false;  ///< Stopped or aborted before its end.
    bool valid = true;
    std::string invalidReason;
    double punctualFraction = 1;  ///< Of the requests that were sent within maxSendDelay.
};

/// @return all figures as JSON, and a summary as text.
nlohmann::json toJson(const LoadResult& result, const LoadConfig& config);
std::string toText(const LoadResult& result, const LoadConfig& config);

/// Runs the clients on one thread for each worker.
class LoadRun {
public:
    /// @param observers assigned to the workers in turn; may be empty.
    explicit LoadRun(const LoadConfig& config, std::vector<RequestObserver*> observers = {},
                     Clocks clocks = {});
    ~LoadRun();
    /// Starts the workers.
    /// @param startTime time 0 of the schedule, on the steady clock.
    void start(Duration startTime);
    /// Starts no further requests; open requests may still end.
    void stop();
    /// Ends all open requests at once.
    void abort();
    bool done() const;
    std::uint64_t scheduled() const;
    std::uint64_t ended() const;
    std::uint64_t completed() const;
    /// Waits for the workers and merges their statistics.
    LoadResult finish();

private:
    struct Worker;
    const LoadConfig& config_;
    std::vector<std::unique_ptr<Worker>> workers_;
    Duration startedAt_{0};
    bool stopped_ = false;
};

}  // namespace cottonwing::loadtest
