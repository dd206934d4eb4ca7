// What `cottonwing serve FILE` is told: the operator's own file in KDL, read, checked and given defaults.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/process_config.h"
#include "kdl/fields.h"
#include "scgi/scgi_server.h"
#include "scgi/upstream_groups.h"

namespace cottonwing::serve {

struct GatewayConfig {
    std::string name;
    double memoryMb = 192, maxSockets = 1024;
    Duration shutdownTimeout{std::chrono::milliseconds(3200)}, drainGrace{std::chrono::milliseconds(800)};
    std::uint64_t seed = 0;  // 0: from the system
    std::optional<net::Address> thriftAddress;
    std::optional<scgi::ScgiServerConfig> scgiServer;
    std::vector<routing::Route> routes;  // their targets are places in scgiServer->routeTargets
    std::vector<scgi::GroupTerms> groups;
    std::vector<std::size_t> groupByRequestClass;  // by request class
    scgi::GroupBounds upstreamLimits;
    ControllerConfig controller;
    config::NameTables nameTables;
    std::vector<std::string> requestClassNames;
    config::ResourceLimits limits;
};

// Throws kdl::DocumentError.
GatewayConfig readGatewayConfig(const std::string& path);

}  // namespace cottonwing::serve
