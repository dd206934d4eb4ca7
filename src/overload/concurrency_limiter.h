/// @file
/// How many runs the server's own cores take at once.
#pragma once

namespace cottonwing::overload {

/// The load of the cores at one control tick.
struct CoreLoad {
    double demand = 0;  ///< Runnable requests and other work that ask for a core.
    int runsOnCores = 0;
    bool requestsQueued = false;
};

/// The runs in progress when another one is considered.
struct RunsInProgress {
    int onCores = 0;
    int total = 0;  ///< Including those that wait for the dependency.
};

/// Two limits: a learned one for the runs on the cores, which keeps them slightly more than busy, and a fixed
/// one for all runs, beyond which the server would collapse. Those that wait for the dependency count in the
/// second, as they may all come back at once.
class ConcurrencyLimiter {
public:
    struct Config {
        int cores = 1;
        double overloadFactor =
            1;  ///< Requests per core beyond which the server collapses, at full capacity.
    };

    explicit ConcurrencyLimiter(const Config& config) : config_(config), limit_(config.cores) {}

    /// Adapts the learned limit. Runs that wait for something else than a core, such as a disk, are visible
    /// only by the demand that is missing.
    void adapt(const CoreLoad& load);

    /// @return whether one more run may start.
    /// @param capacityFraction of the server, under 1 during slow start.
    bool admitsRun(const RunsInProgress& runs, double capacityFraction) const;

    /// @return the learned limit for runs on the cores.
    double limit() const { return limit_; }

private:
    Config config_;
    double limit_;
    double meanDemand_ = 0;
};

}  // namespace cottonwing::overload
