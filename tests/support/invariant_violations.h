/// @file
/// Collects violated invariants and fails the test with them.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cottonwing::testing {

/// The violations found. Those still listed at destruction fail the running test.
class InvariantViolations {
public:
    InvariantViolations() = default;
    InvariantViolations(const InvariantViolations&) = delete;
    InvariantViolations& operator=(const InvariantViolations&) = delete;
    ~InvariantViolations() {
        for (const std::string& violation : violations) ADD_FAILURE() << violation;
    }

    /// Lists the violation unless the invariant holds.
    void check(bool holds, const std::string& violation) {
        if (!holds) violations.push_back(violation);
    }

    std::vector<std::string> violations;
};

}  // namespace cottonwing::testing
