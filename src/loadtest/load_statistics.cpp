#include "loadtest/load_statistics.h"

#include <algorithm>
#include <numeric>

namespace cottonwing::loadtest {

namespace {

template <typename Array>
void addEach(Array& to, const Array& from) {
    for (std::size_t at = 0; at < to.size(); ++at) to[at] += from[at];
}

constexpr std::size_t kMaxExamples = 10;

}  // namespace

const char* nameOf(RequestOutcome outcome) {
    static constexpr const char* kNames[kOutcomeCount] = {
        "handled", "handled late", "bounced", "scrapped", "no answer", "connection lost", "never sent"};
    return kNames[static_cast<std::size_t>(outcome)];
}

std::uint64_t RequestClassStatistics::ended() const {
    return std::accumulate(outcomes.begin(), outcomes.end(), std::uint64_t{0});
}

void RequestClassStatistics::add(const RequestClassStatistics& other) {
    addEach(outcomes, other.outcomes);
    scheduled += other.scheduled, attempts += other.attempts;
    offeredValue += other.offeredValue, earnedValue += other.earnedValue;
    latencyFromSchedule.add(other.latencyFromSchedule);
    latencyFromWrite.add(other.latencyFromWrite);
}

void Interval::add(const Interval& other) {
    addEach(outcomes, other.outcomes);
    attempts += other.attempts, maxOpenRequests += other.maxOpenRequests;
    earnedValue += other.earnedValue, offeredValue += other.offeredValue;
    if (!other.latencies) return;
    if (!latencies) latencies = std::make_unique<LatencyHistogram>();
    latencies->add(*other.latencies);
}

Interval& TimeSeries::at(Duration time) {
    while (true) {
        const auto index = static_cast<std::size_t>(std::max(time, Duration(0)) / width_);
        if (index < kMaxIntervals) {
            if (index >= intervals_.size()) intervals_.resize(index + 1);
            return intervals_[index];
        }
        mergeIntervalPairs();
    }
}

void TimeSeries::mergeIntervalPairs() {
    width_ *= 2;
    for (std::size_t at = 0; at < intervals_.size(); ++at) {
        if (at % 2 == 0) {
            if (at > 0) intervals_[at / 2] = std::move(intervals_[at]);
        } else {
            const std::uint64_t maxOpenRequests =
                std::max(intervals_[at / 2].maxOpenRequests, intervals_[at].maxOpenRequests);
            intervals_[at / 2].add(intervals_[at]);
            intervals_[at / 2].maxOpenRequests = maxOpenRequests;  // a maximum, so not added over time
        }
    }
    intervals_.resize((intervals_.size() + 1) / 2);
}

void TimeSeries::add(const TimeSeries& other) {
    while (width_ < other.width_) mergeIntervalPairs();
    for (std::size_t at = 0; at < other.intervals_.size(); ++at)
        this->at(other.width_ * static_cast<std::int64_t>(at)).add(other.intervals_[at]);
}

void ProtocolViolations::record(std::uint64_t& count, const std::string& what) {
    ++count;
    if (examples.size() < kMaxExamples) examples.push_back(what);
}

void ProtocolViolations::add(const ProtocolViolations& other) {
    duplicateResponses += other.duplicateResponses, unknownSequences += other.unknownSequences,
        unreadableResponses += other.unreadableResponses;
    wrongResults += other.wrongResults, lostResponses += other.lostResponses;
    for (const std::string& example : other.examples)
        if (examples.size() < kMaxExamples) examples.push_back(example);
}

void ConnectionStatistics::add(const ConnectionStatistics& other) {
    opened += other.opened, connectFailures += other.connectFailures, reset += other.reset,
        closedByPeer += other.closedByPeer;
    goaways += other.goaways, closedUnused += other.closedUnused, healthChecks += other.healthChecks,
        failedHealthChecks += other.failedHealthChecks;
    cancelMessages += other.cancelMessages, resent += other.resent;
    addEach(retryDecisions, other.retryDecisions);
}

LoadStatistics::LoadStatistics(const std::vector<RequestClassLoad>& loads) : requestClasses(loads.size()) {}

void LoadStatistics::add(const LoadStatistics& other) {
    for (std::size_t at = 0; at < requestClasses.size(); ++at)
        requestClasses[at].add(other.requestClasses[at]);
    sendDelay.add(other.sendDelay);
    series.add(other.series);
    violations.add(other.violations);
    connections.add(other.connections);
    // Every worker reads the whole trace, so the counts are not added.
    unreadableTraceLines = std::max(unreadableTraceLines, other.unreadableTraceLines);
}

std::uint64_t LoadStatistics::scheduled() const {
    std::uint64_t sum = 0;
    for (const RequestClassStatistics& requestClass : requestClasses) sum += requestClass.scheduled;
    return sum;
}
std::uint64_t LoadStatistics::count(RequestOutcome outcome) const {
    std::uint64_t sum = 0;
    for (const RequestClassStatistics& requestClass : requestClasses)
        sum += requestClass.outcomes[static_cast<std::size_t>(outcome)];
    return sum;
}
double LoadStatistics::offeredValue() const {
    double sum = 0;
    for (const RequestClassStatistics& requestClass : requestClasses) sum += requestClass.offeredValue;
    return sum;
}
double LoadStatistics::earnedValue() const {
    double sum = 0;
    for (const RequestClassStatistics& requestClass : requestClasses) sum += requestClass.earnedValue;
    return sum;
}
LatencyHistogram LoadStatistics::completedLatencies() const {
    LatencyHistogram all;
    for (const RequestClassStatistics& requestClass : requestClasses)
        all.add(requestClass.latencyFromSchedule);
    return all;
}

}  // namespace cottonwing::loadtest
