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

struct ServeTerms {
    std::string name;
    double memoryMb = 192, sockets = 1024;
    Duration stopAfter{std::chrono::milliseconds(3200)}, grace{std::chrono::milliseconds(800)};
    std::uint64_t seed = 0;  // 0: from the system
    std::optional<net::Address> thrift;
    std::optional<scgi::ScgiServerConfig> scgi;
    std::vector<routing::Route> routes;  // their targets are places in scgi->routeTargets
    std::vector<scgi::GroupTerms> groups;
    std::vector<std::size_t> groupOf;  // by request class
    scgi::GroupBounds groupBounds;
    ControllerConfig terms;
    config::NameTables names;
    std::vector<std::string> requestClassNames;
    config::ResourceLimits shares;
};

// Throws kdl::DocumentError.
ServeTerms readServe(const std::string& path);

}  // namespace cottonwing::serve
