// What the program is told at its start: the one place where the environment and the JSON file are read,
// checked and given defaults.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "launch/terms.h"
#include "net/connection.h"
#include "report/log.h"

namespace cottonwing::launch {

// What the limits are divided into: the one place that every bound comes from. Connections in use, all rings
// and all bodies together stay below the limits by what the program needs besides.
struct Shares {
    std::size_t sidecars = 0, calls = 0;  // connections
    std::size_t sidecarBytes = 0, callBytes = 0, commandBytes = 0, poolBytes = 0, keyBytes = 0;  // in total
};

struct Start {
    std::string name;
    net::Address listen, pool, registry;
    std::optional<net::Address> records;  // where calls go; none where the settings have nothing below
    Nanos stopAfter{0};                   // from the notice to leave to the end of the process
    Shares shares;
    report::Level level = report::Level::Info;
    StartTerms terms;
    Names names;
    std::vector<std::string> gauges;  // as the pool orders them
    bool listFollowsHealth = false;
    // Whether each command says how long its caller waits; else that is the profile's hard stop.
    bool patienceTold = false;
    std::map<std::string, std::string> fixed;  // what stands in the file under keys that need a new start
};

using Environment = std::function<const char*(const char*)>;

// Throws BadKey, which names the key and what was expected. Read again while the program runs, by the same
// rules.
Start readStart(const Environment& environment);

}  // namespace cottonwing::launch
