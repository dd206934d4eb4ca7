/// @file
/// What one run of the soak does, drawn from one seed: the same seed draws the same plan again. What comes of
/// it depends on the machine's timing.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "overload/types.h"

namespace cottonwing::soak {

/// The chance of a run.
class RandomGenerator {
public:
    explicit RandomGenerator(std::uint64_t seed) : engine_(seed) {}
    /// @return from `least` to `most`, both included.
    std::int64_t between(std::int64_t least, std::int64_t most);
    Duration between(Duration least, Duration most);
    bool oneIn(int number) { return between(1, number) == 1; }
    bool withPercent(int number) { return between(1, 100) <= number; }
    /// @return a time between two arrivals of this rate a second.
    Duration nextInterarrivalTime(double rate);

private:
    std::mt19937_64 engine_;
};

/// A signal to the server, at a time counted from the end's first signal.
struct PlannedSignal {
    Duration at{0};
    int number = 0;
    /// What lies in the configuration file by then.
    enum class File { Same, OtherAddresses, Malformed };
    File file = File::Same;
};

/// One incarnation of the server process.
struct IncarnationPlan {
    Duration poolStartsAfter{0};
    bool poolStartsCold = false;
    bool poolRestarts = false;  ///< together with the server; else its runs go on
    Duration traffic{0};        ///< from the first good health check to the end's first signal
    bool endsBeforeReady = false;
    enum class End { Drain, Kill };
    End end = End::Drain;
    std::vector<PlannedSignal> signals;  ///< of a drain; its first SIGTERM starts the time to the kill
    bool registrySilent = false;
    Duration registryDelay{0};
    Duration pausedAt{0};            ///< SIGSTOP, from the first good health check
    Duration pauseDuration{0};       ///< 0: not stopped
    Duration connectionBreaksAt{0};  ///< the worker pool closes its connection; 0: it does not
};

/// One whole run.
struct SoakPlan {
    std::uint64_t seed = 0;
    std::vector<IncarnationPlan> incarnations;
    // Configuration.
    Duration shutdownTimeout{0};  ///< `stop_ms`
    Duration drainGrace{0};       ///< of the settings
    int sockets = 256;
    // Load.
    bool overload = false;
    int idleConnections = 0;
    double requestsPerSecond = 0;
    int clients = 4;
    int connectionsPerClient = 3;
    int slowReaders = 0;            ///< of the clients
    int clientsIgnoringGoaway = 0;  ///< of the clients: they use their connections until the kill
    bool poolSplitsNotices = false;
    bool dependencyHangs = false;

    /// One line that tells what was drawn.
    std::string describe() const;
};

/// Draws the plan of a seed.
SoakPlan generatePlan(std::uint64_t seed);

}  // namespace cottonwing::soak
