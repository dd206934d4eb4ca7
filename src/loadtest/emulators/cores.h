/// @file
/// Emulated processor cores under processor sharing.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "overload/types.h"

namespace cottonwing::loadtest {

struct CoresConfig {
    double cores = 4;
    double speed = 1;               // of a core, relative to the standard core
    double thrashingThreshold = 4;  // runs per core above which the throughput falls
    double minEfficiency = 0.4;     // fraction of the throughput at twice the threshold and above
    double coldSpeedFraction = 1;   // of the full speed, right after a start
    Duration warmUpTime{0};
};

/// Cores shared by runs: each run gets an equal share, up to a whole core; above the thrashing threshold the
/// total throughput falls. Deterministic: the time is an argument, which never decreases. The state is the
/// work that a run present since the start would have received, so that a change in the number of runs needs
/// no update of each run.
///
/// Each call first processes all ends of runs up to its time, each at the time it was due, however long ago
/// the last call was. An end is kept until ended() returns it.
class Cores {
public:
    explicit Cores(const CoresConfig& config) : config_(config) {}
    /// Removes all runs and starts the warm-up, if one is configured.
    void start(Duration now);
    /// From now on all work takes this many times as long; a factor of 0 or less pauses it.
    void setSlowdown(double factor, Duration now);
    /// @param work in seconds on one standard core.
    void add(std::uint64_t id, double work, Duration now);
    /// Removes a run; if it has ended, ended() will not return it.
    /// @return the remaining work in seconds; 0 for a run that has ended.
    double remove(std::uint64_t id, Duration now);
    /// @return whether the run is on the cores, as of the last call.
    bool has(std::uint64_t id) const { return endWork_.contains(id); }
    /// @return the runs that have ended by now and were not returned before, in order.
    std::vector<std::uint64_t> ended(Duration now);
    /// @return when ended() next has a run to return, or earlier if the speed may change; no value while no
    /// run makes progress.
    std::optional<Duration> nextEnd() const;
    std::size_t running() const { return endWork_.size(); }
    /// @return seconds of work done on all cores.
    double workDone() const { return workDone_; }
    /// @return the fraction of the cores that is busy.
    double utilisation() const;

private:
    double rate(Duration now) const;
    std::optional<Duration> nextChange() const;
    void advance(Duration now);
    void passTime(Duration now);
    void endDueRuns();

    const CoresConfig config_;
    Duration lastUpdate_{0};
    Duration startedAt_{0};
    double workPerRun_ = 0;  // seconds of work that a run present since the start would have received
    double workDone_ = 0;
    double slowdown_ = 1;
    std::unordered_map<std::uint64_t, double> endWork_;    // by run: workPerRun_ at its end
    std::set<std::pair<double, std::uint64_t>> endOrder_;  // the same, in order of the ends
    std::vector<std::uint64_t> ended_;                     // not yet returned by ended()
};

}  // namespace cottonwing::loadtest
