/// @file
/// Adaptive limit on the requests that one server may have in flight, learned from its latency and its
/// failures. Pure: time and measurements come in as arguments.
///
/// The latency of the unloaded server, the baseline, is measured on purpose: every baselineInterval the limit
/// is halved for ConcurrencyLimit::kSampleCount responses, and their mean latency is taken. The limit grows
/// by one per round of responses while it is in use and the mean latency stays under a multiple of the
/// baseline. It is multiplied by decreaseFactor when responses take longer than a larger multiple, or fail.
/// Between the two multiples it stays, so that it does not oscillate under steady load. It never exceeds the
/// operator's limit and never falls below one: one request is always allowed, or nothing would show that the
/// server has recovered.
#pragma once

#include <chrono>

#include "overload/types.h"

namespace cottonwing::routing {

struct ConcurrencyLimitConfig {
    double maxLimit = 100;                 ///< Set by the operator.
    double initialLimit = 10;              ///< At the start and after a server was ejected.
    double congestedLatencyRatio = 2.0;    ///< Mean latency above this multiple of the baseline: congested.
    double uncongestedLatencyRatio = 1.5;  ///< Below this multiple of the baseline the limit may grow.
    double decreaseFactor = 0.85;          ///< Applied to the limit, at most once per round of responses.
    /// Time from one measurement of the baseline to the next.
    Duration baselineInterval{std::chrono::seconds(10)};
};

/// The concurrency limit of one server.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitConfig& config)
        : config_(config),
          limit_(config.initialLimit < config.maxLimit ? config.initialLimit : config.maxLimit) {}

    /// @return whether one more request may be sent beside those in flight.
    bool allows(int inFlight) const { return inFlight < static_cast<int>(limit_); }

    double limit() const { return limit_; }

    /// @return the limit without its reduction during a measurement of the baseline.
    double steadyLimit() const { return measuringBaseline_ ? limitBeforeMeasurement_ : limit_; }

    /// @return the latency of the unloaded server in seconds; 0 before the first measurement.
    double baselineLatency() const { return baselineLatency_; }

    /// @param inFlight requests at the server, the completed one included.
    void recordSuccess(Duration latency, int inFlight, Duration now);

    void recordFailure(Duration now);

    /// Begins again at the initial limit (slow start), for a server that was ejected.
    void restart();

private:
    void decrease(Duration now);
    void increase();
    void beginBaselineMeasurement(int inFlight);

    ConcurrencyLimitConfig config_;
    static constexpr int kSampleCount = 50;  ///< Responses over which a mean latency is taken.
    double limit_, limitBeforeMeasurement_ = 1, baselineLatency_ = 0, meanLatency_ = 0;
    int sampleCount_ = 0, samplesToSkip_ = 0;
    bool measuringBaseline_ = false;
    Duration nextMeasurement_{0}, lastDecrease_{0};
};

}  // namespace cottonwing::routing
