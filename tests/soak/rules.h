/// @file
/// Checks the observations of a soak run against the rules of the service's specification (PROTOCOL.md,
/// WIRE). It uses nothing but what is visible outside the server.
#pragma once

#include <string>
#include <vector>

#include "soak/observations.h"

namespace cottonwing::soak {

/// The rules, by the names in the specification.
enum class Rule {
    Lost,       ///< a request without exactly one readable final answer in time
    Duplicate,  ///< a second answer, a second effect, or a rejection after a run
    Drain,      ///< a run of a request that arrived after the drain grace
    Limits,     ///< memory, descriptors, memory or cores of the worker pool
    Lifecycle,  ///< a crash, a failed or slow start, or an end that was not graceful
    Sanitizer
};

const char* nameOfRule(Rule rule);

/// A violation of a rule.
struct Violation {
    Rule rule;
    std::string what;
    std::string attempt;  ///< id of the attempt concerned; empty if it concerns the process
};

/// @return all violations, in the order of the rules.
std::vector<Violation> checkRules(const Observations& observations);

}  // namespace cottonwing::soak
