/// @file
/// Slow start: the capacity of a server that has just been started.
#pragma once

#include "overload/types.h"

namespace cottonwing::overload {

/// The capacity of a server as a fraction of the full one. After a cold start it grows linearly from a
/// configured fraction to 1; otherwise it is 1 from the start.
class SlowStart {
public:
    struct Config {
        bool startsCold = false;
        double coldCapacityFraction = 1;
        Duration warmUpTime{0};
    };

    explicit SlowStart(const Config& config) : config_(config) {}

    void begin(Timestamp now) { startedAt_ = now; }

    /// @return from coldCapacityFraction to 1.
    double capacityFraction(Timestamp now) const;

private:
    Config config_;
    Timestamp startedAt_{0};
};

}  // namespace cottonwing::overload
