/// @file
/// How long client connections may stay unused.
#pragma once

#include <optional>

#include "overload/types.h"

namespace cottonwing::overload {

/// The state of the server that bears on its idle connections.
struct ConnectionDemand {
    double requestsPerSecond = 0;
    double shedFraction = 0;            ///< Of the requests, from 0 to 1.
    bool dependencyOverloaded = false;  ///< Whether the dependency, not this server, is the bottleneck.
};

/// Chooses the time after which an unused connection is closed.
///
/// Where the average client comes back more seldom than connections live, an open one is hardly used again
/// and only fills the connection table, which takes core time and keeps other clients out: they are closed
/// early. When most requests are shed because of the cores, a full table is the cheapest rejection there is
/// (no handshake, nothing read), so connections are kept.
class IdleConnections {
public:
    struct Config {
        Duration maxIdle{0};
        int clientCount = 0;
    };

    explicit IdleConnections(const Config& config);

    /// @return the new time after which unused connections are to be closed, if it changed.
    std::optional<Duration> update(const ConnectionDemand& demand);

private:
    Config config_;
    double idleSeconds_;
};

}  // namespace cottonwing::overload
