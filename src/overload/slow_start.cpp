#include "overload/slow_start.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

double SlowStart::capacityFraction(Timestamp now) const {
    if (!config_.startsCold || config_.warmUpTime <= Duration::zero()) return 1;
    const double cold = config_.coldCapacityFraction;
    return std::min(1.0, cold + (1 - cold) * toSeconds(now - startedAt_) / toSeconds(config_.warmUpTime));
}

}  // namespace cottonwing::overload
