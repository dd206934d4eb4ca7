#include "overload/call_time_model.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kOverloadMultiple = 3.0;  // of the baseline
constexpr double kRecentWeight = 0.1;
constexpr double kBaselineWeightFaster = 0.1;   // the baseline adapts quickly to faster calls
constexpr double kBaselineWeightSlower = 0.01;  // and slowly to slower ones, so that a slowdown is noticed

}  // namespace

void CallTimeModel::recordRecent(double seconds) {
    recentSeconds_ += (seconds - recentSeconds_) * kRecentWeight;
}

void CallTimeModel::recordSuccess(Duration elapsed) {
    const double seconds = toSeconds(elapsed);
    recordRecent(seconds);
    if (baselineSeconds_ == 0) {
        baselineSeconds_ = seconds;
        return;
    }
    const double weight = seconds < baselineSeconds_ ? kBaselineWeightFaster : kBaselineWeightSlower;
    baselineSeconds_ += (seconds - baselineSeconds_) * weight;
}

void CallTimeModel::recordTimeout(Duration elapsed) {
    recordRecent(std::min(toSeconds(elapsed), 2 * kOverloadMultiple * baselineSeconds_));
}

void CallTimeModel::update(const CallsInFlight& calls) {
    const double meanWithInFlight = (calls.totalAgeSeconds + recentSeconds_) / (calls.count + 1);
    currentSeconds_ = std::max(recentSeconds_, meanWithInFlight);
}

bool CallTimeModel::dependencyOverloaded() const {
    return currentSeconds_ > kOverloadMultiple * baselineSeconds_;
}

}  // namespace cottonwing::overload
