/// @file
/// The plan of one soak run, generated from a seed: the same seed gives the same plan. The outcome of the run
/// also depends on the timing of the machine.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "overload/types.h"

namespace cottonwing::soak {

/// The random generator of a soak run.
class RandomGenerator {
public:
    explicit RandomGenerator(std::uint64_t seed) : engine_(seed) {}
    /// @return a uniformly distributed value from `min` to `max`, both included.
    std::int64_t between(std::int64_t min, std::int64_t max);
    Duration between(Duration min, Duration max);
    /// @return true with probability 1/number.
    bool oneIn(int number) { return between(1, number) == 1; }
    /// @return true with a probability of `number` percent.
    bool withPercent(int number) { return between(1, 100) <= number; }
    /// @param rate arrivals per second
    /// @return an exponentially distributed time between two arrivals.
    Duration nextInterarrivalTime(double rate);

private:
    std::mt19937_64 engine_;
};

/// A signal to the server, at a time relative to the first SIGTERM.
struct PlannedSignal {
    Duration at{0};
    int number = 0;
    /// The content of the configuration file at that time.
    enum class File { Same, OtherAddresses, Malformed };
    File file = File::Same;
};

/// The plan for one incarnation of the server process.
struct IncarnationPlan {
    Duration poolStartsAfter{0};
    bool poolStartsCold = false;
    bool poolRestarts = false;  ///< with the server; otherwise its runs continue
    Duration traffic{0};        ///< from the first successful health check to the end phase
    bool endsBeforeReady = false;
    enum class End { Drain, Kill };
    End end = End::Drain;
    std::vector<PlannedSignal> signals;  ///< of a drain; the first SIGTERM starts the shutdown timeout
    bool registrySilent = false;
    Duration registryDelay{0};
    Duration pausedAt{0};            ///< time of SIGSTOP after the first successful health check
    Duration pauseDuration{0};       ///< 0: no SIGSTOP
    Duration connectionBreaksAt{0};  ///< when the worker pool closes its connection; 0: never
};

/// The plan of a complete run.
struct SoakPlan {
    std::uint64_t seed = 0;
    std::vector<IncarnationPlan> incarnations;
    // Configuration.
    Duration shutdownTimeout{0};  ///< `stop_ms`
    Duration drainGrace{0};       ///< `drain_grace_us`
    int sockets = 256;
    // Load.
    bool overload = false;  ///< three to five times the capacity, and idle connections up to the limit
    int idleConnections = 0;
    double requestsPerSecond = 0;
    int clients = 4;
    int connectionsPerClient = 3;
    int slowReaders = 0;            ///< clients that pause reading
    int clientsIgnoringGoaway = 0;  ///< clients that use their connections until the kill
    bool poolSplitsNotices = false;
    bool dependencyHangs = false;

    /// @return a description of the plan for the test's output.
    std::string describe() const;
};

/// @return the plan that the seed determines.
SoakPlan generatePlan(std::uint64_t seed);

}  // namespace cottonwing::soak
