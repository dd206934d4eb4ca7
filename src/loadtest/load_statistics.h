// What became of the requests of a run: each ends in one way, the ways add up,
// and the run says of itself how late it sent. Merged over workers; bounded
// whatever the run's length.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/latency_histogram.h"
#include "loadtest/request_schedule.h"

namespace cottonwing::loadtest {

enum class End { Completed, Late, Rejected, Failed, NoAnswer, ConnectionLost, NeverSent };
inline constexpr std::size_t kEnds = 7;
const char* nameOf(End end);

struct RequestClassStats {
    std::array<std::uint64_t, kEnds> ends{};
    std::uint64_t planned = 0, tries = 0;
    double value = 0, earned = 0;  // of all planned; of those completed
    LatencyHistogram fromSchedule,
        fromWrite;  // of what was completed: no coordinated omission; and as a plain
                    // client counts
    std::uint64_t ended() const;
    void add(const RequestClassStats& other);
};

// One stretch of the run, by the time at which a request was due.
struct Stretch {
    std::array<std::uint64_t, kEnds> ends{};
    std::uint64_t tries = 0, open = 0;  // open: the most at once, of one worker
    double earned = 0, value = 0;
    std::unique_ptr<LatencyHistogram> latencies;  // of what was completed
    void add(const Stretch& other);
};

// A run in stretches of equal width: a second each at first. Full, it joins two
// to one, so that its memory is bounded and it still covers all of the run.
class Series {
public:
    static constexpr std::size_t kMost = 600;
    Stretch& at(Duration time);
    void add(const Series& other);
    Duration width() const { return width_; }
    const std::vector<Stretch>& stretches() const { return stretches_; }

private:
    void widen();
    Duration width_{std::chrono::seconds(1)};
    std::vector<Stretch> stretches_;
};

// What no server may do, whatever its load.
struct Broken {
    std::uint64_t twice = 0;      // a second answer to one request
    std::uint64_t toNothing = 0;  // an answer to a sequence number that was never sent
    std::uint64_t unreadable = 0;
    std::uint64_t wrongResult = 0;      // 'completed' with what no run made for this request
    std::uint64_t lost = 0;             // no answer on a connection that stood, past the timeout
    std::vector<std::string> examples;  // the first few, with their ids
    std::uint64_t all() const { return twice + toNothing + unreadable + wrongResult + lost; }
    void note(std::uint64_t& count, const std::string& what);
    void add(const Broken& other);
};

struct Links {
    std::uint64_t opened = 0, refused = 0, reset = 0, closed = 0, goaways = 0, idleClosed = 0;
    std::uint64_t checks = 0, badChecks = 0, forgets = 0, sentAgain = 0;
    std::array<std::uint64_t, 6> notAgain{};  // by routing::RetryDecisionReason
    void add(const Links& other);
};

struct Tally {
    explicit Tally(const std::vector<RequestClassLoad>& requestClasses);
    std::vector<RequestClassStats> requestClasses;
    LatencyHistogram lag;  // from a request's time to the write of its first bytes, or to
                           // when it was found that it can't be
    Series series;
    Broken broken;
    Links links;
    std::uint64_t badLines = 0;
    void add(const Tally& other);
    std::uint64_t planned() const;
    std::uint64_t of(End end) const;
    double value() const;
    double earned() const;
    LatencyHistogram completed() const;
};

}  // namespace cottonwing::loadtest
