#include "loadtest/paired_comparison.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <limits>

namespace cottonwing::loadtest {

Ratio ratioOf(const std::vector<double>& a, const std::vector<double>& b) {
    constexpr double kLeast = 1e-9;  // nothing earned is no reason for no figure
    Ratio ratio;
    ratio.pairs = std::min(a.size(), b.size());
    if (ratio.pairs == 0) return ratio;
    std::vector<double> logs;
    double mean = 0;
    for (std::size_t at = 0; at < ratio.pairs; ++at) {
        logs.push_back(std::log(std::max(a[at], kLeast) / std::max(b[at], kLeast)));
        mean += logs.back() / static_cast<double>(ratio.pairs);
    }
    ratio.mean = std::exp(mean);
    if (ratio.pairs < 2) {
        ratio.low = 0;
        ratio.high = std::numeric_limits<double>::infinity();
        return ratio;
    }
    double square = 0;
    for (const double value : logs) square += (value - mean) * (value - mean);
    const double n = static_cast<double>(ratio.pairs);
    const boost::math::students_t student(n - 1);
    const double half = boost::math::quantile(student, 0.975) * std::sqrt(square / (n - 1) / n);
    ratio.low = std::exp(mean - half);
    ratio.high = std::exp(mean + half);
    ratio.told = ratio.low > 1 || ratio.high < 1;
    return ratio;
}

}  // namespace cottonwing::loadtest
