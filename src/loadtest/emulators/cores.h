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
    double speed = 1;               // of a core, beside the usual one
    double thrashingThreshold = 4;  // runs a core, past which the work done falls
    double minEfficiency = 0.4;     // part of the work that is left at twice that crowd, and never less
    double coldSpeedFraction = 1;   // of the speed right after a start
    Duration warmUpTime{0};
};

/// Cores shared by runs: each run gets an equal part, up to a whole core; beyond a number of runs all of them
/// together do less. Pure: the time is an argument, which never decreases. The state is the work that one run
/// present all the time would have got, so that a change in the number of runs costs nothing for each run.
///
/// Each call first takes in all ends up to its time, each at the moment it fell due, however long ago the
/// last call was. An end stays due for ended() until that is called.
class Cores {
public:
    explicit Cores(const CoresConfig& config) : config_(config) {}
    /// Empties the cores; they are cold where the terms say so.
    void start(Duration now);
    /// From now on all work takes this many times as long; 0 or less pauses it.
    void setSlowdown(double factor, Duration now);
    /// @param work in seconds on one core of the usual speed.
    void add(std::uint64_t id, double work, Duration now);
    /// Removes a run; an end of it that ended() has not returned yet is forgotten.
    /// @return the work that was left, in seconds; 0 for a run that has ended.
    double remove(std::uint64_t id, Duration now);
    /// @return whether the run is on the cores, as of the last call.
    bool has(std::uint64_t id) const { return endWork_.contains(id); }
    /// @return the runs that have ended by now and were not returned before, in order.
    std::vector<std::uint64_t> ended(Duration now);
    /// @return when ended() has something to return, or earlier where the speed may change; nothing while no
    /// run progresses.
    std::optional<Duration> nextEnd() const;
    std::size_t running() const { return endWork_.size(); }
    /// Seconds of work done on all cores.
    double workDone() const { return workDone_; }
    /// The fraction of the cores that is at work.
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
    double workPerRun_ = 0;  // seconds of work that a run present all the time would have got
    double workDone_ = 0;
    double slowdown_ = 1;
    std::unordered_map<std::uint64_t, double> endWork_;    // by run: workPerRun_ at its end
    std::set<std::pair<double, std::uint64_t>> endOrder_;  // the same, ordered by end
    std::vector<std::uint64_t> ended_;                     // not returned yet
};

}  // namespace cottonwing::loadtest
