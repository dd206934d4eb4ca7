#include "overload/call_time_model.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr double kOverloadMultiple = 3.0;  // of the usual time
constexpr double kRecentWeight = 0.1;
constexpr double kUsualWeightFaster = 0.1;   // the usual time follows quick calls at once
constexpr double kUsualWeightSlower = 0.01;  // and slow ones late, so that a slowdown stands out

}  // namespace

void CallTimeModel::recordRecent(double seconds) {
    recentSeconds_ += (seconds - recentSeconds_) * kRecentWeight;
}

void CallTimeModel::recordSuccess(Duration elapsed) {
    const double seconds = toSeconds(elapsed);
    recordRecent(seconds);
    if (usualSeconds_ == 0) {
        usualSeconds_ = seconds;
        return;
    }
    const double weight = seconds < usualSeconds_ ? kUsualWeightFaster : kUsualWeightSlower;
    usualSeconds_ += (seconds - usualSeconds_) * weight;
}

void CallTimeModel::recordTimeout(Duration elapsed) {
    recordRecent(std::min(toSeconds(elapsed), 2 * kOverloadMultiple * usualSeconds_));
}

void CallTimeModel::update(const CallsInFlight& calls) {
    const double withInFlight = (calls.totalAgeSeconds + recentSeconds_) / (calls.count + 1);
    presentSeconds_ = std::max(recentSeconds_, withInFlight);
}

bool CallTimeModel::dependencyOverloaded() const {
    return presentSeconds_ > kOverloadMultiple * usualSeconds_;
}

}  // namespace cottonwing::overload
