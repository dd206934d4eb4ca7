#include "overload/load_advertiser.h"

#include <algorithm>

namespace cottonwing::overload {

namespace {

constexpr double kToleratedShedFraction = 0.05;
constexpr double kReductionPerShedFraction = 0.1;
constexpr double kIncrease = 0.02;
constexpr double kMinShare = 0.4;

}  // namespace

std::optional<double> LoadAdvertiser::update(double shedFraction) {
    if (signal_ != LoadSignal::Share) return std::nullopt;
    const bool sheds = shedFraction > kToleratedShedFraction;
    const double change = sheds ? -kReductionPerShedFraction * shedFraction : kIncrease;
    const double share = std::clamp(share_ + change, kMinShare, 1.0);
    if (share == share_) return std::nullopt;
    share_ = share;
    return share_;
}

}  // namespace cottonwing::overload
