/// @file
/// Reads the configuration of the server program: the one place where its environment and its JSON file are
/// read, checked and given defaults.
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

/// How the limits of the process are divided: the one place that every bound comes from. Connections in use,
/// all rings and all bodies together stay below the limits by what the program needs besides.
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
    std::optional<net::Address> dependency;  ///< Where calls go; none where the settings have no dependency.
    Duration shutdownTimeout{0};             ///< From the shutdown notice to the end of the process.
    ResourceLimits limits;
    telemetry::Level level = telemetry::Level::Info;
    ControllerConfig controller;
    NameTables nameTables;
    std::vector<std::string> gaugeNames;   ///< In the order in which the worker pool sends the gauges.
    bool deregisterWhenUnhealthy = false;  ///< The registry's list follows the health of this instance.
    bool clientsSendTimeout = false;  ///< Each request says how long its client waits; else the class does.
    std::map<std::string, std::string> restartOnlyKeys;  ///< The file's JSON under keys that need a restart.
};

/// A variable of the environment by its name, or null, as std::getenv has it.
using Environment = std::function<const char*(const char*)>;

/// Reads the environment and the file that it names. Called again, by the same rules, at each reload.
/// @throws ConfigError with the variable or key that is missing, malformed or contradicts another
ProcessConfig readProcessConfig(const Environment& environment);

}  // namespace cottonwing::config
