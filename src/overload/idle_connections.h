/// @file
/// The idle timeout of client connections.
#pragma once

#include <optional>

#include "overload/types.h"

namespace cottonwing::overload {

/// The state of the server on which the idle timeout depends.
struct ConnectionDemand {
    double requestsPerSecond = 0;
    double shedFraction = 0;            ///< Of the requests, from 0 to 1.
    bool dependencyOverloaded = false;  ///< Whether the dependency, not this server, is the bottleneck.
};

/// Chooses the time after which an idle connection is closed.
///
/// If the average client returns less often than the maximum idle time, an open connection is rarely reused
/// and only fills the connection table, which costs core time and keeps other clients out; idle connections
/// are then closed early. When most requests are shed because the cores are overloaded, a full table is the
/// cheapest rejection (no handshake, nothing read), so connections are kept.
class IdleConnections {
public:
    struct Config {
        Duration maxIdle{0};
        int clientCount = 0;
    };

    explicit IdleConnections(const Config& config);

    /// @return the new idle timeout, if it changed.
    std::optional<Duration> update(const ConnectionDemand& demand);

private:
    Config config_;
    double idleSeconds_;
};

}  // namespace cottonwing::overload
