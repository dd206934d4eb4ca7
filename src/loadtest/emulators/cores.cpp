#include "loadtest/emulators/cores.h"

#include <algorithm>
#include <utility>

namespace cottonwing::loadtest {

namespace {

// The speed is constant within a step of the warm-up.
constexpr Duration kWarmUpStep = std::chrono::milliseconds(20);
constexpr double kWorkTolerance = 1e-9;  // remaining seconds of work that count as done

double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

void Cores::start(Duration now) {
    endWork_.clear();
    endOrder_.clear();
    ended_.clear();
    workPerRun_ = 0;
    lastUpdate_ = startedAt_ = now;
}

// Seconds of work per second that one run receives.
double Cores::rate(Duration now) const {
    const double runs = static_cast<double>(endWork_.size());
    if (runs == 0 || slowdown_ <= 0) return 0;
    double warm = 1;
    if (config_.coldSpeedFraction < 1 && config_.warmUpTime > Duration(0))
        warm = std::min(1.0, config_.coldSpeedFraction + (1 - config_.coldSpeedFraction) *
                                                             seconds(now - startedAt_) /
                                                             seconds(config_.warmUpTime));
    const double runsPerCore = runs / config_.cores;
    double efficiency = 1;
    if (runsPerCore > config_.thrashingThreshold)
        efficiency = std::max(config_.minEfficiency, 1 - (1 - config_.minEfficiency) *
                                                             (runsPerCore - config_.thrashingThreshold) /
                                                             config_.thrashingThreshold);
    return config_.speed * warm * efficiency * std::min(1.0, config_.cores / runs) / slowdown_;
}

// Processes one end at a time, as each gives the remaining runs a larger share of the cores.
void Cores::advance(Duration now) {
    for (auto next = nextChange(); next && *next <= now; next = nextChange()) {
        passTime(*next);
        endDueRuns();
    }
    passTime(now);
    endDueRuns();
}

void Cores::passTime(Duration now) {
    if (now <= lastUpdate_) return;
    const double gain = rate(lastUpdate_) * seconds(now - lastUpdate_);
    workPerRun_ += gain;
    workDone_ += gain * static_cast<double>(endWork_.size());
    lastUpdate_ = now;
}

void Cores::endDueRuns() {
    while (!endOrder_.empty() && endOrder_.begin()->first <= workPerRun_ + kWorkTolerance) {
        const std::uint64_t id = endOrder_.begin()->second;
        endOrder_.erase(endOrder_.begin());
        endWork_.erase(id);
        ended_.push_back(id);
    }
}

void Cores::setSlowdown(double factor, Duration now) {
    advance(now);
    slowdown_ = factor;
}

void Cores::add(std::uint64_t id, double work, Duration now) {
    advance(now);
    const double end = workPerRun_ + std::max(work, kWorkTolerance);
    endWork_[id] = end;
    endOrder_.emplace(end, id);
}

double Cores::remove(std::uint64_t id, Duration now) {
    advance(now);
    const auto at = endWork_.find(id);
    if (at == endWork_.end()) {
        std::erase(ended_, id);
        return 0;
    }
    const double remaining = std::max(0.0, at->second - workPerRun_);
    endOrder_.erase({at->second, id});
    endWork_.erase(at);
    return remaining;
}

std::vector<std::uint64_t> Cores::ended(Duration now) {
    advance(now);
    return std::exchange(ended_, {});
}

std::optional<Duration> Cores::nextEnd() const {
    if (!ended_.empty()) return lastUpdate_;
    return nextChange();
}

// When the next run ends, or earlier if the speed changes.
std::optional<Duration> Cores::nextChange() const {
    if (endOrder_.empty()) return std::nullopt;
    const double speed = rate(lastUpdate_);
    if (speed <= 0) return std::nullopt;
    constexpr double kMaxWaitSeconds = 1e6;
    const double remaining = std::max(0.0, endOrder_.begin()->first - workPerRun_);
    const Duration wait(1 + static_cast<std::int64_t>(std::min(remaining / speed, kMaxWaitSeconds) * 1e9));
    const bool warming = config_.coldSpeedFraction < 1 && lastUpdate_ - startedAt_ < config_.warmUpTime;
    return lastUpdate_ + (warming ? std::min(wait, kWarmUpStep) : wait);
}

double Cores::utilisation() const {
    return std::min(1.0, static_cast<double>(endWork_.size()) / config_.cores);
}

}  // namespace cottonwing::loadtest
