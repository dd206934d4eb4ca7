/// @file
/// Compares two builds that ran alternately with the same seeds: the ratio of their results and its
/// confidence interval.
#pragma once

#include <string>
#include <vector>

namespace cottonwing::loadtest {

/// The ratio of A to B over pairs of runs.
struct PairedRatio {
    double mean = 1;           ///< The geometric mean.
    double low = 1, high = 1;  ///< The bounds of the 95% confidence interval.
    std::size_t pairs = 0;
    bool significant = false;  ///< The interval does not contain 1.
};

/// Compares values above 0 that are paired by index. Uses Student's t on the logarithms, because the results
/// of different runs differ by factors. With a single pair, the interval is unbounded: from 0 to infinity.
PairedRatio compareInPairs(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace cottonwing::loadtest
