/// @file
/// The configuration of `cottonwing serve FILE`: the operator's KDL file, read, validated and completed with
/// defaults.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/process_config.h"
#include "kdl/node_reader.h"
#include "scgi/scgi_server.h"
#include "scgi/upstream_groups.h"

namespace cottonwing::serve {

/// Configuration of the gateway, defaults included.
struct GatewayConfig {
    std::string name;
    double memoryMb = 192, maxSockets = 1024;
    Duration shutdownTimeout{std::chrono::milliseconds(3200)}, drainGrace{std::chrono::milliseconds(800)};
    std::uint64_t seed = 0;  // 0: taken from the operating system
    std::optional<net::Address> thriftAddress;
    std::optional<scgi::ScgiServerConfig> scgiServer;
    std::vector<routing::Route> routes;  // Route::target is an index of scgiServer->routeTargets
    std::vector<scgi::UpstreamGroupConfig> groups;
    std::vector<std::size_t> groupByRequestClass;  // index of groups
    scgi::UpstreamLimits upstreamLimits;
    ControllerConfig controller;
    config::NameTables nameTables;
    std::vector<std::string> requestClassNames;
    config::ResourceLimits limits;
};

/// Reads a configuration file. Throws kdl::DocumentError.
GatewayConfig readGatewayConfig(const std::string& path);

}  // namespace cottonwing::serve
