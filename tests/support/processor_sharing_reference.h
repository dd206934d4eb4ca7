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
    explicit ProcessorSharingReference(const loadtest::CoreTerms& terms) : terms_(terms) {}

    void add(std::uint64_t id, double work) { left_[id] = work; }
    void remove(std::uint64_t id) { left_.erase(id); }
    /// @param factor above 1: all work takes this many times as long; 0: it stands still.
    void setSlow(double factor) { slow_ = factor; }

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
        if (left_.empty() || rate() <= 0) return std::nullopt;
        const auto least = std::min_element(left_.begin(), left_.end(),
                                            [](auto& a, auto& b) { return a.second < b.second; });
        return now_ + least->second / rate();
    }

    const std::map<std::uint64_t, long double>& left() const { return left_; }
    const std::map<std::uint64_t, long double>& ends() const { return ends_; }

private:
    static constexpr long double kNoWork = 1e-12L;  // seconds; what rounding may leave of a run at its end

    long double rate() const {
        if (slow_ <= 0) return 0;
        const long double runs = left_.size(), cores = terms_.cores, runsPerCore = runs / cores;
        long double efficiency = 1;
        if (runsPerCore > terms_.thrashAt)
            efficiency = std::max<long double>(
                terms_.thrashTo,
                1 - (1 - terms_.thrashTo) * (runsPerCore - terms_.thrashAt) / terms_.thrashAt);
        return efficiency * std::min(1.0L, cores / runs) / slow_;
    }
    void passTime(long double elapsed) {
        const long double work = left_.empty() ? 0 : rate() * elapsed;
        for (auto& [id, left] : left_) left -= work;
        now_ += elapsed;
    }
    void endRunsWithoutWork() {
        for (auto at = left_.begin(); at != left_.end();) {
            if (at->second > kNoWork) {
                ++at;
                continue;
            }
            ends_[at->first] = now_;
            at = left_.erase(at);
        }
    }

    const loadtest::CoreTerms terms_;
    long double now_ = 0;
    long double slow_ = 1;
    std::map<std::uint64_t, long double> left_;  // seconds of work by run
    std::map<std::uint64_t, long double> ends_;  // by run, in seconds
};

}  // namespace cottonwing::testing
