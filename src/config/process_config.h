/// @file
/// Reads the configuration of the server program. Its environment and its JSON file are read, validated and
/// completed with defaults only here.
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

/// How the resource limits of the process are divided. All connection and memory limits in the program come
/// from here. Their sum stays below the limits of the process, which leaves a reserve for everything else
/// that the program needs.
struct ResourceLimits {
    std::size_t thriftConnections = 0;
    std::size_t dependencyConnections = 0;
    // Bytes, each in total.
    std::size_t thriftBytes = 0;
    std::size_t dependencyBytes = 0;
    std::size_t requestBytes = 0;
    std::size_t workerPoolBytes = 0;
    std::size_t idempotencyKeyBytes = 0;
};

/// Everything that the server program is configured with.
struct ProcessConfig {
    std::string name;  ///< Of this instance, as the registry knows it.
    net::Address listen;
    net::Address workerPool;
    net::Address registry;
    std::optional<net::Address> dependency;  ///< Absent if the settings have no dependency.
    Duration shutdownTimeout{0};             ///< From the shutdown notice to the end of the process.
    ResourceLimits limits;
    telemetry::Level level = telemetry::Level::Info;
    ControllerConfig controller;
    NameTables nameTables;
    std::vector<std::string> gaugeNames;   ///< In the order in which the worker pool sends the gauges.
    bool deregisterWhenUnhealthy = false;  ///< Report this instance as draining while it is unhealthy.
    bool clientsSendTimeout = false;       ///< Each request carries its timeout; otherwise the class sets it.
    std::map<std::string, std::string> restartOnlyKeys;  ///< JSON of the keys whose change needs a restart.
};

/// Looks up an environment variable by name; returns null if it is not set, like std::getenv.
using Environment = std::function<const char*(const char*)>;

/// Reads the environment and the file that it names. Called again, with the same rules, on each reload.
/// @throws ConfigError naming the variable or key that is missing, malformed or contradicts another
ProcessConfig readProcessConfig(const Environment& environment);

}  // namespace cottonwing::config
