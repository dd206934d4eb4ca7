/// @file
/// Reads the `settings` object of an instance into the configuration of the overload controller. Used by the
/// server program and by the simulator adapter.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "config/config_error.h"
#include "overload/types.h"

namespace cottonwing::config {

/// Maps the names of request classes and tenants to their indices in ControllerConfig.
struct NameTables {
    std::map<std::string, int, std::less<>> requestClasses;
    std::map<std::string, int, std::less<>> tenants;
};

/// Reads the settings. Unknown keys are ignored, because platforms add new ones; missing keys take the
/// default of their field.
/// @param settings  the object; not referenced after the call
/// @param seed      of the controller's random generator
/// @param names     receives the names of request classes and tenants
/// @throws ConfigError on a value of the wrong type, an unknown enumeration value or an empty list of classes
ControllerConfig readControllerConfig(const nlohmann::json& settings, std::uint64_t seed, NameTables& names);

}  // namespace cottonwing::config
