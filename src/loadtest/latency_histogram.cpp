#include "loadtest/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::loadtest {

namespace bh = boost::histogram;

Latencies::Latencies()
    : table_(bh::make_histogram_with(bh::dense_storage<std::uint32_t>(), Axis(kBins, kLeast, kMost))) {}

void Latencies::add(Duration time) {
    const double seconds = std::max(0.0, std::chrono::duration<double>(time).count());
    // Below the first bin it is told from nothing all the same; above the last
    // one the most tells.
    table_(std::clamp(seconds, kLeast, kMost * (1 - 1e-9)));
    ++count_;
    sum_ += seconds;
    least_ = std::min(least_, seconds);
    most_ = std::max(most_, seconds);
}

void Latencies::add(const Latencies& other) {
    table_ += other.table_;
    count_ += other.count_;
    sum_ += other.sum_;
    least_ = std::min(least_, other.least_);
    most_ = std::max(most_, other.most_);
}

double Latencies::middle(int bin) const {
    const auto edges = table_.axis(0).bin(bin);
    return std::clamp(std::sqrt(edges.lower() * edges.upper()), least(), most());
}

double Latencies::quantile(double part) const {
    if (count_ == 0) return 0;
    const auto wanted =
        static_cast<std::uint64_t>(std::ceil(std::clamp(part, 0.0, 1.0) * static_cast<double>(count_)));
    if (wanted >= count_) return most_;
    std::uint64_t seen = 0;
    for (int bin = 0; bin < kBins; ++bin) {
        seen += table_.at(bin);
        if (seen >= std::max<std::uint64_t>(wanted, 1)) return middle(bin);
    }
    return most_;
}

std::uint64_t Latencies::above(double seconds) const {
    std::uint64_t result = 0;
    for (int bin = kBins - 1; bin >= 0 && table_.axis(0).bin(bin).lower() >= seconds; --bin)
        result += table_.at(bin);
    return result;
}

std::vector<std::pair<double, double>> Latencies::tail() const {
    std::vector<std::pair<double, double>> points;
    if (count_ == 0) return points;
    for (double part = 1; part * static_cast<double>(count_) >= 1; part *= std::pow(10, -0.125))
        points.emplace_back(part, quantile(1 - part));
    points.emplace_back(1 / static_cast<double>(count_), most_);
    return points;
}

}  // namespace cottonwing::loadtest
