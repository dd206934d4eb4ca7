/// @file
/// Statistics of a run. Each scheduled request has exactly one outcome, so that the counts add up, and the
/// generator records its own delay in sending. Workers keep their own statistics, which are merged at the
/// end; their memory does not grow with the length of the run.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/latency_histogram.h"
#include "loadtest/request_schedule.h"

namespace cottonwing::loadtest {

/// How a request ended.
enum class RequestOutcome { Completed, Late, Rejected, Failed, NoAnswer, ConnectionLost, NeverSent };
inline constexpr std::size_t kOutcomeCount = 7;
/// @return the name used in results, such as "handled late".
const char* nameOf(RequestOutcome outcome);

struct RequestClassStatistics {
    std::array<std::uint64_t, kOutcomeCount> outcomes{};
    std::uint64_t scheduled = 0, attempts = 0;
    double offeredValue = 0;  ///< Of all scheduled requests.
    double earnedValue = 0;   ///< Of the completed ones.
    /// Of completed requests, from the scheduled time: free of coordinated omission.
    LatencyHistogram latencyFromSchedule;
    /// Of completed requests, from the first send, as a simple client measures it.
    LatencyHistogram latencyFromWrite;
    /// @return the sum of all outcomes.
    std::uint64_t ended() const;
    void add(const RequestClassStatistics& other);
};

/// The requests that were scheduled in one interval of a run.
struct Interval {
    std::array<std::uint64_t, kOutcomeCount> outcomes{};
    std::uint64_t attempts = 0;
    std::uint64_t maxOpenRequests = 0;  ///< At once, of one worker; merging workers adds their maxima.
    double earnedValue = 0, offeredValue = 0;
    std::unique_ptr<LatencyHistogram> latencies;  ///< Of completed requests; null if there are none.
    void add(const Interval& other);
};

/// A run in intervals of equal width, at first one second. When a time lies beyond the last one allowed, each
/// two are merged, so that the memory is bounded and the series still covers the whole run.
class TimeSeries {
public:
    static constexpr std::size_t kMaxIntervals = 600;
    /// @return the interval of a time since the start of the run; negative times belong to the first one.
    Interval& at(Duration time);
    void add(const TimeSeries& other);
    Duration width() const { return width_; }
    const std::vector<Interval>& intervals() const { return intervals_; }

private:
    void mergeIntervalPairs();
    Duration width_{std::chrono::seconds(1)};
    std::vector<Interval> intervals_;
};

/// Faults that no server may show, under any load.
struct ProtocolViolations {
    std::uint64_t duplicateResponses = 0;  ///< Second responses to one attempt.
    std::uint64_t unknownSequences = 0;    ///< Responses with a sequence number that was never sent.
    std::uint64_t unreadableResponses = 0;
    std::uint64_t wrongResults = 0;     ///< Successful responses with a result that no run produced for them.
    std::uint64_t lostResponses = 0;    ///< Timeouts on connections that were still open.
    std::vector<std::string> examples;  ///< The first few, with trace ids or sequence numbers.
    std::uint64_t total() const {
        return duplicateResponses + unknownSequences + unreadableResponses + wrongResults + lostResponses;
    }
    /// @param count the counter to increment, one of the members above.
    void record(std::uint64_t& count, const std::string& what);
    void add(const ProtocolViolations& other);
};

/// Connections and the messages on them.
struct ConnectionStatistics {
    std::uint64_t opened = 0, connectFailures = 0, reset = 0, closedByPeer = 0, goaways = 0, closedUnused = 0;
    std::uint64_t healthChecks = 0, failedHealthChecks = 0, cancelMessages = 0;
    std::uint64_t resent = 0;  ///< Attempts sent again because they may have crossed a close.
    /// After failed attempts, by routing::RetryDecisionReason.
    std::array<std::uint64_t, 6> retryDecisions{};
    void add(const ConnectionStatistics& other);
};

/// All statistics of one worker, or of a whole run after merging.
struct LoadStatistics {
    explicit LoadStatistics(const std::vector<RequestClassLoad>& loads);
    std::vector<RequestClassStatistics> requestClasses;
    /// From the scheduled time of a request to its first send, or to the decision that it is never sent.
    LatencyHistogram sendDelay;
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
