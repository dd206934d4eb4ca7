// A histogram of times: logarithmic bins that are 0.4% wide, from a microsecond
// to a thousand seconds, in bounded memory. Least, most, count and sum are
// exact.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <utility>
#include <vector>

#include "overload/types.h"

namespace cottonwing::loadtest {

class LatencyHistogram {
public:
    static constexpr double kMinSeconds = 1e-6, kMaxSeconds = 1e3;  // seconds
    static constexpr int kBins = 5190;                              // so that a bin is 0.4% wide

    LatencyHistogram();
    void add(Duration time);
    void add(const LatencyHistogram& other);
    std::uint64_t count() const { return count_; }
    // In seconds; 0 where nothing was added. A quantile is off by half a bin at
    // most.
    double quantile(double fraction) const;
    double min() const { return count_ == 0 ? 0 : min_; }
    double max() const { return max_; }
    double mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
    // How many took longer than that, to the width of a bin.
    std::uint64_t countAbove(double seconds) const;
    // For a tail curve: (part of all that took longer, seconds), a point a
    // quarter of a decade or less.
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
