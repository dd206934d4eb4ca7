/// @file
/// Reads the `settings` object that operators give an instance into the configuration of the overload
/// controller. The simulator's adapter and the server program share this reader.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "config/config_error.h"
#include "overload/types.h"

namespace cottonwing::config {

/// The names of request classes and tenants, each with its index in ControllerConfig.
struct NameTables {
    std::map<std::string, int, std::less<>> requestClasses;
    std::map<std::string, int, std::less<>> tenants;
};

/// Reads the settings. Keys that are unknown are ignored, as platforms add new ones; keys that are missing
/// take the default of the field.
/// @param settings  the object; it is not kept
/// @param seed      of the controller's random numbers
/// @param names     receives the names of request classes and tenants
/// @throws ConfigError on a value of a wrong type, an unknown word or a list without classes
ControllerConfig readControllerConfig(const nlohmann::json& settings, std::uint64_t seed, NameTables& names);

}  // namespace cottonwing::config
