// What the program is told at its start: the one place where the environment and the JSON file are read,
// checked and given defaults.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "launch/terms.h"
#include "net/connection.h"
#include "report/log.h"

namespace cottonwing::launch {

struct Start {
    std::string name;
    net::Address listen, pool, registry, records;
    Nanos stopAfter{0};  // from the notice to leave to the end of the process
    int descriptors = 0;
    report::Level level = report::Level::Info;
    StartTerms terms;
    Names names;
    std::vector<std::string> gauges;  // as the pool orders them
    bool listFollowsHealth = false;
};

using Environment = std::function<const char*(const char*)>;

// Throws BadKey, which names the key and what was expected.
Start readStart(const Environment& environment);

}  // namespace cottonwing::launch
