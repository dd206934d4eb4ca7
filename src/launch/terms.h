// The settings object that operators give a backend, read into the module's start terms. One decoder for
// the simulator's adapter and for the program.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

#include "logic.h"

namespace cottonwing::launch {

// What can't be read; the message names the key.
class BadKey : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct Names {
    std::map<std::string, int, std::less<>> profiles, customers;
};

StartTerms readTerms(const nlohmann::json& all, std::uint64_t seed, Names& names);

}  // namespace cottonwing::launch
