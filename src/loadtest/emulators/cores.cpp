#include "loadtest/emulators/cores.h"

#include <algorithm>
#include <utility>

namespace cottonwing::loadtest {

namespace {

constexpr Duration kWarmUpStep = std::chrono::milliseconds(20);  // while warming up the speed is constant
constexpr double kWorkTolerance = 1e-9;                          // seconds of work that count as done

double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

void Cores::start(Duration now) {
    endAt_.clear();
    order_.clear();
    ended_.clear();
    workPerRun_ = 0;
    last_ = started_ = now;
}

// Seconds of work per second that one run gets.
double Cores::rate(Duration now) const {
    const double runs = static_cast<double>(endAt_.size());
    if (runs == 0 || slow_ <= 0) return 0;
    double warm = 1;
    if (terms_.coldPart < 1 && terms_.warmsOver > Duration(0))
        warm = std::min(1.0, terms_.coldPart +
                                 (1 - terms_.coldPart) * seconds(now - started_) / seconds(terms_.warmsOver));
    const double runsPerCore = runs / terms_.cores;
    double efficiency = 1;
    if (runsPerCore > terms_.thrashAt)
        efficiency = std::max(terms_.thrashTo,
                              1 - (1 - terms_.thrashTo) * (runsPerCore - terms_.thrashAt) / terms_.thrashAt);
    return terms_.speed * warm * efficiency * std::min(1.0, terms_.cores / runs) / slow_;
}

// One end after the other: each leaves more of the cores to the rest.
void Cores::advance(Duration now) {
    for (auto next = nextChange(); next && *next <= now; next = nextChange()) {
        passTime(*next);
        endDueRuns();
    }
    passTime(now);
    endDueRuns();
}

void Cores::passTime(Duration now) {
    if (now <= last_) return;
    const double gain = rate(last_) * seconds(now - last_);
    workPerRun_ += gain;
    done_ += gain * static_cast<double>(endAt_.size());
    last_ = now;
}

void Cores::endDueRuns() {
    while (!order_.empty() && order_.begin()->first <= workPerRun_ + kWorkTolerance) {
        const std::uint64_t id = order_.begin()->second;
        order_.erase(order_.begin());
        endAt_.erase(id);
        ended_.push_back(id);
    }
}

void Cores::setSlow(double factor, Duration now) {
    advance(now);
    slow_ = factor;
}

void Cores::add(std::uint64_t id, double work, Duration now) {
    advance(now);
    const double end = workPerRun_ + std::max(work, kWorkTolerance);
    endAt_[id] = end;
    order_.emplace(end, id);
}

double Cores::remove(std::uint64_t id, Duration now) {
    advance(now);
    const auto at = endAt_.find(id);
    if (at == endAt_.end()) {
        std::erase(ended_, id);
        return 0;
    }
    const double left = std::max(0.0, at->second - workPerRun_);
    order_.erase({at->second, id});
    endAt_.erase(at);
    return left;
}

std::vector<std::uint64_t> Cores::ended(Duration now) {
    advance(now);
    return std::exchange(ended_, {});
}

std::optional<Duration> Cores::nextEnd() const {
    if (!ended_.empty()) return last_;
    return nextChange();
}

// When the next run ends, or earlier where the speed changes.
std::optional<Duration> Cores::nextChange() const {
    if (order_.empty()) return std::nullopt;
    const double speed = rate(last_);
    if (speed <= 0) return std::nullopt;
    constexpr double kFarthestSeconds = 1e6;
    const double left = std::max(0.0, order_.begin()->first - workPerRun_);
    const Duration wait(1 + static_cast<std::int64_t>(std::min(left / speed, kFarthestSeconds) * 1e9));
    const bool warming = terms_.coldPart < 1 && last_ - started_ < terms_.warmsOver;
    return last_ + (warming ? std::min(wait, kWarmUpStep) : wait);
}

double Cores::busy() const { return std::min(1.0, static_cast<double>(endAt_.size()) / terms_.cores); }

}  // namespace cottonwing::loadtest
