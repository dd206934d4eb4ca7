// How many requests a second come, and when each of them does: rates over time,
// added up and multiplied, and arrivals drawn from them ahead of time. Nothing
// that comes back changes an arrival.
#pragma once

#include <memory>
#include <vector>

#include "loadtest/random_distributions.h"
#include "overload/types.h"

namespace cottonwing::loadtest {

// A rate over time. Asked at times that never go back.
class LoadCurve {
public:
    virtual ~LoadCurve() = default;
    virtual double at(double seconds) = 0;  // requests a second, or a plain factor
    // The parts of a `rate` node, added up; throws kdl::DocumentError.
    //   steady 200/s
    //   ramp from=100/s to=800/s at=5s over=30s          a straight line, held
    //   after it climb from=100/s to=800/s at=5s over=30s         an evening
    //   climb: slow, steep, slow spike to=900/s at=20s rise=1s hold=10s fall=5s
    //   a sudden morning wave mean=200/s swing=100/s period=20s steps 100/s 200/s
    //   400/s each=10s                 the last one stays bursts on=800/s
    //   off=50/s stay-on=2s stay-off=8s  on and off for random times
    //   (Markov-modulated) plus { … }                                       its
    //   parts added up times { … }                                      its parts
    //   multiplied; the first is a rate, factors follow
    // Inside `times` a value without unit is a factor: steady 1.5, wave mean=1
    // swing=0.3 period=10s.
    static std::unique_ptr<LoadCurve> fromNode(kdl::NodeReader& node, std::uint64_t seed);
};

enum class Spacing { Even, Poisson };

// The times of arrivals, in nanoseconds from the start, up to the end.
class ArrivalGenerator {
public:
    ArrivalGenerator(std::unique_ptr<LoadCurve> curve, Spacing spacing, std::uint64_t seed, Duration length);
    // Nothing after the last one.
    std::optional<Duration> next();

private:
    std::unique_ptr<LoadCurve> curve_;
    Spacing spacing_;
    RandomGenerator random_;
    double endSeconds_, seconds_ = 0, sliceEndSeconds_ = 0, rate_ = 0, remainingIntegral_ = 0;
};

}  // namespace cottonwing::loadtest
