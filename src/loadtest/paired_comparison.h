// Two builds on the same seeds, in turn: what one earns beside the other, and
// how sure that is.
#pragma once

#include <string>
#include <vector>

namespace cottonwing::loadtest {

struct PairedRatio {
    double mean = 1, low = 1,
           high = 1;  // of A over B: the geometric mean and its 95% interval
    std::size_t pairs = 0;
    bool significant = false;  // 1 lies outside the interval
};

// Pairs in the same order, each above 0; with one pair the interval is all
// there is. By Student's t on the logarithms, as the days differ by factors.
PairedRatio compareInPairs(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace cottonwing::loadtest
