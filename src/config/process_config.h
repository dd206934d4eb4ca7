// What the program is told at its start: the one place where the environment and the JSON file are read,
// checked and given defaults.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/controller_config.h"
#include "net/connection.h"
#include "telemetry/log.h"

namespace cottonwing::config {

// What the limits are divided into: the one place that every bound comes from. Connections in use, all rings
// and all bodies together stay below the limits by what the program needs besides.
struct ResourceLimits {
    std::size_t thriftConnections = 0, dependencyConnections = 0;  // connections
    std::size_t thriftBytes = 0, dependencyBytes = 0, requestBytes = 0, workerPoolBytes = 0,
                idempotencyKeyBytes = 0;  // in total
};

struct ProcessConfig {
    std::string name;
    net::Address listen, workerPool, registry;
    std::optional<net::Address> dependency;  // where calls go; none where the settings have nothing below
    Duration shutdownTimeout{0};             // from the notice to leave to the end of the process
    ResourceLimits limits;
    telemetry::Level level = telemetry::Level::Info;
    ControllerConfig controller;
    NameTables nameTables;
    std::vector<std::string> gaugeNames;  // as the pool orders them
    bool deregisterWhenUnhealthy = false;
    // Whether each command says how long its caller waits; else that is the profile's hard stop.
    bool clientsSendTimeout = false;
    std::map<std::string, std::string>
        restartOnlyKeys;  // what stands in the file under keys that need a new start
};

using Environment = std::function<const char*(const char*)>;

// Throws BadKey, which names the key and what was expected. Read again while the program runs, by the same
// rules.
ProcessConfig readProcessConfig(const Environment& environment);

}  // namespace cottonwing::config
