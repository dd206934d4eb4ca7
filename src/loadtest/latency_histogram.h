/// @file
/// A latency histogram with bounded memory: logarithmic bins that are 0.4% wide, from 1 µs to 1000 s.
/// Minimum, maximum, count and sum are exact.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <utility>
#include <vector>

#include "overload/types.h"

namespace cottonwing::loadtest {

/// All quantiles and bounds are in seconds; they are 0 if the histogram is empty.
class LatencyHistogram {
public:
    static constexpr double kMinSeconds = 1e-6, kMaxSeconds = 1e3;
    static constexpr int kBins = 5190;  // makes a bin 0.4% wide

    LatencyHistogram();
    void add(Duration time);
    void add(const LatencyHistogram& other);
    std::uint64_t count() const { return count_; }
    /// The error is at most half the width of a bin.
    double quantile(double fraction) const;
    double min() const { return count_ == 0 ? 0 : min_; }
    double max() const { return max_; }
    double mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
    /// The number of latencies above a limit, accurate to the width of a bin.
    std::uint64_t countAbove(double seconds) const;
    /// The points of a tail curve: (fraction of all latencies that were longer, seconds), at most a quarter
    /// of a decade apart.
    std::vector<std::pair<double, double>> tail() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>>;
    double binCenter(int bin) const;

    Histogram histogram_;
    std::uint64_t count_ = 0;
    double min_ = 1e300, max_ = 0, sum_ = 0;
};

}  // namespace cottonwing::loadtest
