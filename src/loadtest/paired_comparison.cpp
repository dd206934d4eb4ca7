#include "loadtest/paired_comparison.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <limits>

namespace cottonwing::loadtest {

PairedRatio compareInPairs(const std::vector<double>& a, const std::vector<double>& b) {
    constexpr double kMinValue = 1e-9;  // a result of 0 must not make the ratio undefined
    PairedRatio ratio;
    ratio.pairs = std::min(a.size(), b.size());
    if (ratio.pairs == 0) return ratio;
    std::vector<double> logs;
    double mean = 0;
    for (std::size_t at = 0; at < ratio.pairs; ++at) {
        logs.push_back(std::log(std::max(a[at], kMinValue) / std::max(b[at], kMinValue)));
        mean += logs.back() / static_cast<double>(ratio.pairs);
    }
    ratio.mean = std::exp(mean);
    if (ratio.pairs < 2) {
        ratio.low = 0;
        ratio.high = std::numeric_limits<double>::infinity();
        return ratio;
    }
    double squaredDeviations = 0;
    for (const double value : logs) squaredDeviations += (value - mean) * (value - mean);
    const double n = static_cast<double>(ratio.pairs);
    const boost::math::students_t student(n - 1);
    const double halfWidth =
        boost::math::quantile(student, 0.975) * std::sqrt(squaredDeviations / (n - 1) / n);
    ratio.low = std::exp(mean - halfWidth);
    ratio.high = std::exp(mean + halfWidth);
    ratio.significant = ratio.low > 1 || ratio.high < 1;
    return ratio;
}

}  // namespace cottonwing::loadtest
