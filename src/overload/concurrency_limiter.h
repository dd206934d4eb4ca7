/// @file
/// How many runs may be in progress on this server.
#pragma once

namespace cottonwing::overload {

/// The load of the cores at one control tick.
struct CoreLoad {
    double demand = 0;  ///< Number of runnable requests and other tasks that need a core.
    int runsOnCores = 0;
    bool requestsQueued = false;
};

/// The runs in progress when another one is considered.
struct RunsInProgress {
    int onCores = 0;
    int total = 0;  ///< Including those that wait for the dependency.
};

/// Applies two limits: an adaptive one for the runs on the cores, which keeps the demand slightly above the
/// number of cores, and a fixed one for all runs, beyond which the server would collapse. Runs that wait for
/// the dependency count towards the second, as they may all resume at once.
class ConcurrencyLimiter {
public:
    struct Config {
        int cores = 1;
        /// Running requests per core beyond which the server collapses, at full capacity.
        double overloadFactor = 1;
    };

    explicit ConcurrencyLimiter(const Config& config) : config_(config), limit_(config.cores) {}

    /// Updates the adaptive limit. Runs that wait for something other than a core, such as a disk, show only
    /// as missing demand.
    void adapt(const CoreLoad& load);

    /// @return whether one more run may start.
    /// @param capacityFraction of the server, under 1 during slow start.
    bool admitsRun(const RunsInProgress& runs, double capacityFraction) const;

    /// @return the adaptive limit for runs on the cores.
    double limit() const { return limit_; }

private:
    Config config_;
    double limit_;
    double meanDemand_ = 0;
};

}  // namespace cottonwing::overload
