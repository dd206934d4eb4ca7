// The settings object that operators give a backend, read into the module's start terms. One decoder for
// the simulator's adapter and for the program.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

#include "overload/types.h"

namespace cottonwing::config {

// What can't be read; the message names the key.
class ConfigError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct NameTables {
    std::map<std::string, int, std::less<>> requestClasses, tenants;
};

ControllerConfig readControllerConfig(const nlohmann::json& all, std::uint64_t seed, NameTables& names);

}  // namespace cottonwing::config
