// How many requests a server may have in flight, learned from its own latency and errors. Pure.
//
// The latency without a crowd, the floor, is looked at on purpose: every now and then half of the limit is
// used for some tens of answers, and their mean is taken. While answers take no more than a multiple of it
// and the limit is used, the limit grows by one for each round of answers; when they take longer, or fail, it
// falls by a part. Between the two it stands, so that under steady load it does not swing. Never above the
// operator's limit, never below one: one request is always let through, or nothing would tell that the server
// is well again.
#pragma once

#include <chrono>

#include "overload/types.h"

namespace cottonwing::routing {

struct ConcurrencyLimitConfig {
    double maxLimit = 100;                 // the operator's
    double initialLimit = 10;              // to begin with, and after a return
    double congestedLatencyRatio = 2.0;    // this multiple of the floor is a crowd
    double uncongestedLatencyRatio = 1.5;  // under this multiple there is room
    double decreaseFactor = 0.85;          // what is left after a crowd, once a round
    Duration baselineInterval{std::chrono::seconds(10)};
};

class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitConfig& config)
        : config_(config),
          limit_(config.initialLimit < config.maxLimit ? config.initialLimit : config.maxLimit) {}
    bool allows(int inFlight) const { return inFlight < static_cast<int>(limit_); }
    double limit() const { return limit_; }
    double steadyLimit() const {
        return measuringBaseline_ ? limitBeforeMeasurement_ : limit_;
    }                                                            // without the dip of a look at the floor
    double baselineLatency() const { return baselineLatency_; }  // seconds; 0 while nothing was seen
    // inFlight: with this one.
    void recordSuccess(Duration latency, int inFlight, Duration now);
    void recordFailure(Duration now);
    void restart();  // after a return: slowly

private:
    void decrease(Duration now);
    void increase();
    void beginBaselineMeasurement(int inFlight);

    ConcurrencyLimitConfig config_;
    static constexpr int kSampleCount = 50;  // answers that a mean is of
    double limit_, limitBeforeMeasurement_ = 1, baselineLatency_ = 0, meanLatency_ = 0;
    int sampleCount_ = 0, samplesToSkip_ = 0;
    bool measuringBaseline_ = false;
    Duration nextMeasurement_{0}, lastDecrease_{0};
};

}  // namespace cottonwing::routing
