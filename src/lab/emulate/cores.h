// Cores shared by what runs: each run gets an equal part, up to a whole core;
// past a crowd all of them together do less. Pure: time comes in as an
// argument. Kept by the work that one run would have had so far, so that a
// change in the crowd costs nothing for each run.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "overload/types.h"

namespace cottonwing::lab {

struct CoreTerms {
    double cores = 4;
    double speed = 1;       // of a core, beside the usual one
    double thrashAt = 4;    // runs a core, past which the work done falls
    double thrashTo = 0.4;  // part of the work that is left at twice that crowd, and never less
    double coldPart = 1;    // of the speed right after a start
    Duration warmsOver{0};
};

class Cores {
public:
    explicit Cores(const CoreTerms& terms) : terms_(terms) {}
    void start(Duration now);  // empty, and cold where it starts cold
    void setSlow(double factor,
                 Duration now);  // all takes that many times as long; 0 or less: a pause
    void add(std::uint64_t id, double work, Duration now);
    // The work that was left.
    double remove(std::uint64_t id, Duration now);
    bool has(std::uint64_t id) const { return ends_.contains(id); }
    // Those that have ended by now, in order.
    std::vector<std::uint64_t> ended(Duration now);
    std::optional<Duration> nextEnd() const;  // when the next one ends, or sooner where the speed may change
    std::size_t running() const { return ends_.size(); }
    double workDone() const { return done_; }
    double busy() const;  // part of the cores at work

private:
    double rate(Duration now) const;  // work a second that one run gets
    void advance(Duration now);

    const CoreTerms terms_;
    Duration last_{0}, started_{0};
    double each_ = 0, done_ = 0,
           slow_ = 1;  // each_: work that a run there all the time would have had
    std::unordered_map<std::uint64_t, double> ends_;  // by id: each_ at its end; emptied by ends and removals
    std::set<std::pair<double, std::uint64_t>> order_;  // the same, in order
};

}  // namespace cottonwing::lab
