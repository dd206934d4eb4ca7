/// @file
/// Collects what a test finds broken, and fails the test with it.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cottonwing::testing {

/// The rules found broken. What is still listed at the end fails the running test.
class InvariantViolations {
public:
    InvariantViolations() = default;
    InvariantViolations(const InvariantViolations&) = delete;
    InvariantViolations& operator=(const InvariantViolations&) = delete;
    ~InvariantViolations() {
        for (const std::string& violation : broken) ADD_FAILURE() << violation;
    }

    /// Lists the violation unless the rule was kept.
    void rule(bool kept, const std::string& violation) {
        if (!kept) broken.push_back(violation);
    }

    std::vector<std::string> broken;
};

}  // namespace cottonwing::testing
