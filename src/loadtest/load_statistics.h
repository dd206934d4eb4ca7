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

enum class RequestOutcome { Completed, Late, Rejected, Failed, NoAnswer, ConnectionLost, NeverSent };
inline constexpr std::size_t kOutcomeCount = 7;
const char* nameOf(RequestOutcome outcome);

struct RequestClassStatistics {
    std::array<std::uint64_t, kOutcomeCount> outcomes{};
    std::uint64_t scheduled = 0, attempts = 0;
    double offeredValue = 0, earnedValue = 0;  // of all planned; of those completed
    LatencyHistogram latencyFromSchedule,
        latencyFromWrite;  // of what was completed: no coordinated omission; and as a plain
                           // client counts
    std::uint64_t ended() const;
    void add(const RequestClassStatistics& other);
};

// One stretch of the run, by the time at which a request was due.
struct Interval {
    std::array<std::uint64_t, kOutcomeCount> outcomes{};
    std::uint64_t attempts = 0, maxOpenRequests = 0;  // open: the most at once, of one worker
    double earnedValue = 0, offeredValue = 0;
    std::unique_ptr<LatencyHistogram> latencies;  // of what was completed
    void add(const Interval& other);
};

// A run in stretches of equal width: a second each at first. Full, it joins two
// to one, so that its memory is bounded and it still covers all of the run.
class TimeSeries {
public:
    static constexpr std::size_t kMaxIntervals = 600;
    Interval& at(Duration time);
    void add(const TimeSeries& other);
    Duration width() const { return width_; }
    const std::vector<Interval>& intervals() const { return intervals_; }

private:
    void mergeIntervalPairs();
    Duration width_{std::chrono::seconds(1)};
    std::vector<Interval> intervals_;
};

// What no server may do, whatever its load.
struct ProtocolViolations {
    std::uint64_t duplicateResponses = 0;  // a second answer to one request
    std::uint64_t unknownSequences = 0;    // an answer to a sequence number that was never sent
    std::uint64_t unreadableResponses = 0;
    std::uint64_t wrongResults = 0;     // 'completed' with what no run made for this request
    std::uint64_t lostResponses = 0;    // no answer on a connection that stood, past the timeout
    std::vector<std::string> examples;  // the first few, with their ids
    std::uint64_t total() const {
        return duplicateResponses + unknownSequences + unreadableResponses + wrongResults + lostResponses;
    }
    void record(std::uint64_t& count, const std::string& what);
    void add(const ProtocolViolations& other);
};

struct ConnectionStatistics {
    std::uint64_t opened = 0, connectFailures = 0, reset = 0, closedByPeer = 0, goaways = 0, closedUnused = 0;
    std::uint64_t healthChecks = 0, failedHealthChecks = 0, cancelMessages = 0, resent = 0;
    std::array<std::uint64_t, 6> retryDecisions{};  // by routing::RetryDecisionReason
    void add(const ConnectionStatistics& other);
};

struct LoadStatistics {
    explicit LoadStatistics(const std::vector<RequestClassLoad>& requestClasses);
    std::vector<RequestClassStatistics> requestClasses;
    LatencyHistogram sendDelay;  // from a request's time to the write of its first bytes, or to
                                 // when it was found that it can't be
    TimeSeries series;
    ProtocolViolations violations;
    ConnectionStatistics connections;
    std::uint64_t unreadableTraceLines = 0;
    void add(const LoadStatistics& other);
    std::uint64_t scheduled() const;
    std::uint64_t count(RequestOutcome outcome) const;
    double offeredValue() const;
    double earnedValue() const;
    LatencyHistogram completedLatencies() const;
};

}  // namespace cottonwing::loadtest
