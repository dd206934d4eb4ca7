/// @file
/// The reference of the emulated cores: processor sharing, event by event, with the work that is left of each
/// run counted by itself.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

#include "loadtest/emulators/cores.h"

namespace cottonwing::testing {

/// Exact but for rounding: the rate is constant between two events, and every end is an event. Time is in
/// seconds, as `double` nanoseconds would not add up to the last digit.
class ProcessorSharingReference {
public:
    explicit ProcessorSharingReference(const loadtest::CoresConfig& config) : config_(config) {}

    void add(std::uint64_t id, double work) { remainingWork_[id] = work; }
    void remove(std::uint64_t id) { remainingWork_.erase(id); }
    /// @param factor above 1: all work takes this many times as long; 0: it stands still.
    void setSlowdown(double factor) { slowdown_ = factor; }

    /// Passes the time until then; each end on the way is noted with its moment.
    void advanceTo(long double then) {
        while (const auto end = nextEnd()) {
            if (*end > then) break;
            passTime(*end - now_);
            endRunsWithoutWork();
        }
        passTime(then - now_);
        endRunsWithoutWork();
    }
    /// @return when the next run ends, in seconds; nothing while none progresses.
    std::optional<long double> nextEnd() const {
        if (remainingWork_.empty() || rate() <= 0) return std::nullopt;
        const auto smallest = std::min_element(remainingWork_.begin(), remainingWork_.end(),
                                               [](auto& a, auto& b) { return a.second < b.second; });
        return now_ + smallest->second / rate();
    }

    const std::map<std::uint64_t, long double>& remainingWork() const { return remainingWork_; }
    const std::map<std::uint64_t, long double>& ends() const { return ends_; }

private:
    static constexpr long double kNoWork = 1e-12L;  // seconds; what rounding may leave of a run at its end

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
