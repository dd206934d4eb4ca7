#include "loadtest/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::loadtest {

namespace bh = boost::histogram;

LatencyHistogram::LatencyHistogram()
    : histogram_(bh::make_histogram_with(bh::dense_storage<std::uint32_t>(),
                                         Axis(kBins, kMinSeconds, kMaxSeconds))) {}

void LatencyHistogram::add(Duration time) {
    const double seconds = std::max(0.0, std::chrono::duration<double>(time).count());
    // Values outside the range are counted in the first and the last bin. Below the first bin they are
    // indistinguishable from 0 anyway; above the last bin, the exact maximum is kept.
    histogram_(std::clamp(seconds, kMinSeconds, kMaxSeconds * (1 - 1e-9)));
    ++count_;
    sum_ += seconds;
    min_ = std::min(min_, seconds);
    max_ = std::max(max_, seconds);
}

void LatencyHistogram::add(const LatencyHistogram& other) {
    histogram_ += other.histogram_;
    count_ += other.count_;
    sum_ += other.sum_;
    min_ = std::min(min_, other.min_);
    max_ = std::max(max_, other.max_);
}

double LatencyHistogram::binCenter(int bin) const {
    const auto edges = histogram_.axis(0).bin(bin);
    return std::clamp(std::sqrt(edges.lower() * edges.upper()), min(), max());
}

double LatencyHistogram::quantile(double fraction) const {
    if (count_ == 0) return 0;
    const auto targetRank =
        static_cast<std::uint64_t>(std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(count_)));
    if (targetRank >= count_) return max_;
    std::uint64_t cumulativeCount = 0;
    for (int bin = 0; bin < kBins; ++bin) {
        cumulativeCount += histogram_.at(bin);
        if (cumulativeCount >= std::max<std::uint64_t>(targetRank, 1)) return binCenter(bin);
    }
    return max_;
}

std::uint64_t LatencyHistogram::countAbove(double seconds) const {
    std::uint64_t result = 0;
    for (int bin = kBins - 1; bin >= 0 && histogram_.axis(0).bin(bin).lower() >= seconds; --bin)
        result += histogram_.at(bin);
    return result;
}

std::vector<std::pair<double, double>> LatencyHistogram::tail() const {
    std::vector<std::pair<double, double>> points;
    if (count_ == 0) return points;
    for (double fraction = 1; fraction * static_cast<double>(count_) >= 1; fraction *= std::pow(10, -0.125))
        points.emplace_back(fraction, quantile(1 - fraction));
    points.emplace_back(1 / static_cast<double>(count_), max_);
    return points;
}

}  // namespace cottonwing::loadtest
