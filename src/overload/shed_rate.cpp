#include "overload/shed_rate.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::overload {

namespace {

constexpr double kFractionWeight = 0.1;
constexpr double kOverloadStarts = 0.15;
constexpr double kOverloadEnds = 0.02;

}  // namespace

void ShedRate::update(double elapsedSeconds) {
    const double decay = std::exp(-elapsedSeconds);
    recentArrivals_ *= decay;
    recentlyShed_ *= decay;
    const double present = std::min(1.0, recentlyShed_ / std::max(1.0, recentArrivals_));
    fraction_ += (present - fraction_) * kFractionWeight;
}

bool ShedRate::updateOverloaded() {
    const bool changes = overloaded_ ? fraction_ < kOverloadEnds : fraction_ > kOverloadStarts;
    if (changes) overloaded_ = !overloaded_;
    return changes;
}

}  // namespace cottonwing::overload
