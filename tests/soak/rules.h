/// @file
/// Judges what a soak run saw by the rules of the users' pages, from outside alone.
#pragma once

#include <string>
#include <vector>

#include "soak/observations.h"

namespace cottonwing::soak {

/// The rules, by the names that the pages give them.
enum class Rule {
    Lost,       ///< a request without its one readable final answer in time
    Duplicate,  ///< a second answer, a second effect, or a refusal of what has run
    Drain,      ///< a run of what arrived after the drain grace
    Limits,     ///< memory, descriptors, the worker pool's memory or its cores
    Lifecycle,  ///< a crash, a start that was refused or too slow, an end that was not in order
    Sanitizer
};

const char* nameOfRule(Rule rule);

/// One broken rule.
struct Violation {
    Rule rule;
    std::string what;
    std::string attempt;  ///< the attempt concerned; empty where the process is concerned
};

/// @return every broken rule, in the order of the rules.
std::vector<Violation> checkRules(const Observations& observations);

}  // namespace cottonwing::soak
