/// @file
/// Reference for the emulated cores: processor sharing, event by event, with the remaining work tracked for
/// each run separately.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "loadtest/emulators/cores.h"

namespace cottonwing::testing {

/// Exact except for rounding: the rate is constant between two events, and every end of a run is an event.
/// Time is in seconds, as sums of `double` nanoseconds would not be exact to the last digit.
class ProcessorSharingReference {
public:
    explicit ProcessorSharingReference(const loadtest::CoresConfig& config) : config_(config) {}

    void add(std::uint64_t id, double work) { remainingWork_[id] = work; }
    void remove(std::uint64_t id) { remainingWork_.erase(id); }
    /// @param factor all work takes this many times as long; 0 pauses it.
    void setSlowdown(double factor) { slowdown_ = factor; }

    /// Advances the time; records the time of each end on the way.
    void advanceTo(long double then) {
        while (const auto end = nextEnd()) {
            if (*end > then) break;
            passTime(*end - now_);
            endRunsWithoutWork();
        }
        passTime(then - now_);
        endRunsWithoutWork();
    }
    /// @return when the next run ends, in seconds; no value while no run makes progress.
    std::optional<long double> nextEnd() const {
        if (remainingWork_.empty() || rate() <= 0) return std::nullopt;
        const auto smallest = std::min_element(remainingWork_.begin(), remainingWork_.end(),
                                               [](auto& a, auto& b) { return a.second < b.second; });
        return now_ + smallest->second / rate();
    }

    const std::map<std::uint64_t, long double>& remainingWork() const { return remainingWork_; }
    const std::map<std::uint64_t, long double>& ends() const { return ends_; }

private:
    // Seconds; rounding may leave up to this much work at the end of a run.
    static constexpr long double kNoWork = 1e-12L;

    long double rate() const {
        if (slowdown_ <= 0) return 0;
        const long double runs = remainingWork_.size(), cores = config_.cores, runsPerCore = runs / cores;
        long double efficiency = 1;
        if (runsPerCore > config_.thrashingThreshold)
            efficiency = std::max<long double>(config_.minEfficiency,
                                               1 - (1 - config_.minEfficiency) *
                                                       (runsPerCore - config_.thrashingThreshold) /
                                                       config_.thrashingThreshold);
        return efficiency * std::min(1.0L, cores / runs) / slowdown_;
    }
    void passTime(long double elapsed) {
        const long double work = remainingWork_.empty() ? 0 : rate() * elapsed;
        for (auto& [id, remaining] : remainingWork_) remaining -= work;
        now_ += elapsed;
    }
    void endRunsWithoutWork() {
        for (auto at = remainingWork_.begin(); at != remainingWork_.end();) {
            if (at->second > kNoWork) {
                ++at;
                continue;
            }
            ends_[at->first] = now_;
            at = remainingWork_.erase(at);
        }
    }

    const loadtest::CoresConfig config_;
    long double now_ = 0;
    long double slowdown_ = 1;
    std::map<std::uint64_t, long double> remainingWork_;  // seconds of work by run
    std::map<std::uint64_t, long double> ends_;           // by run, in seconds
};

}  // namespace cottonwing::testing
