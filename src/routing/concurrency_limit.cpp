#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::routing {

namespace {
double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
}  // namespace

// Latencies of single responses of one server differ by factors; the mean over some tens of them is stable.
void ConcurrencyLimit::recordSuccess(Duration latency, int inFlight, Duration now) {
    if (samplesToSkip_ > 0) {  // sent before the measurement of the baseline began
        --samplesToSkip_;
        return;
    }
    const double sample = std::max(1e-6, seconds(latency));
    sampleCount_ = std::min(sampleCount_ + 1, kSampleCount);
    meanLatency_ += (sample - meanLatency_) / sampleCount_;
    if (sampleCount_ < kSampleCount) {
        // No baseline is known yet: while the server responds, the limit grows by one per round of responses.
        if (baselineLatency_ == 0 && 2 * inFlight >= static_cast<int>(limit_)) increase();
        return;
    }
    if (measuringBaseline_) {
        baselineLatency_ = baselineLatency_ == 0 ? meanLatency_ : (baselineLatency_ + meanLatency_) / 2;
        measuringBaseline_ = false;
        limit_ = limitBeforeMeasurement_;
        nextMeasurement_ = now + config_.baselineInterval;
        return;
    }
    // A baseline taken under load would rise with the congestion that it has to reveal.
    if (baselineLatency_ == 0 || now >= nextMeasurement_) return beginBaselineMeasurement(inFlight);
    if (meanLatency_ > config_.congestedLatencyRatio * baselineLatency_) return decrease(now);
    // Low latency shows spare capacity only while at least half of the limit is in use.
    if (meanLatency_ < config_.uncongestedLatencyRatio * baselineLatency_ &&
        2 * inFlight >= static_cast<int>(limit_))
        increase();
}

void ConcurrencyLimit::increase() { limit_ = std::min(config_.maxLimit, limit_ + 1 / std::max(1.0, limit_)); }

void ConcurrencyLimit::beginBaselineMeasurement(int inFlight) {
    measuringBaseline_ = true;
    limitBeforeMeasurement_ = limit_;
    limit_ = std::max(1.0, limit_ / 2);
    samplesToSkip_ = inFlight;
    sampleCount_ = 0;
    meanLatency_ = 0;
}

void ConcurrencyLimit::recordFailure(Duration now) { decrease(now); }

// At most once for all requests that were in flight together.
void ConcurrencyLimit::decrease(Duration now) {
    const double roundTrip = std::max(meanLatency_, 0.01);
    if (lastDecrease_ > Duration(0) && seconds(now - lastDecrease_) < roundTrip) return;
    lastDecrease_ = now;
    limit_ = std::max(1.0, limit_ * config_.decreaseFactor);
    limitBeforeMeasurement_ = std::max(1.0, limitBeforeMeasurement_ * config_.decreaseFactor);
}

void ConcurrencyLimit::restart() {
    limit_ = std::min({config_.initialLimit, config_.maxLimit, std::max(1.0, limit_)});
    meanLatency_ = baselineLatency_ = 0;
    sampleCount_ = samplesToSkip_ = 0;
    measuringBaseline_ = false;
    lastDecrease_ = Duration(0);
}

}  // namespace cottonwing::routing
