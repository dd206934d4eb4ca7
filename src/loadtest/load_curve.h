/// @file
/// The offered load: request rates over time, which can be added and multiplied, and the arrival times that
/// are drawn from them in advance. The load is open-loop: responses do not influence arrival times.
#pragma once

#include <memory>
#include <vector>

#include "loadtest/random_distributions.h"
#include "overload/types.h"

namespace cottonwing::loadtest {

/// A rate over time.
class LoadCurve {
public:
    virtual ~LoadCurve() = default;
    /// The rate in requests per second, or a factor without a unit. Must be called with non-decreasing times.
    virtual double at(double seconds) = 0;
    /// Reads the children of a `rate` node; the curve is their sum. Throws kdl::DocumentError.
    ///
    ///     steady 200/s
    ///     ramp from=100/s to=800/s at=5s over=30s          linear, constant afterwards
    ///     climb from=100/s to=800/s at=5s over=30s         slow, steep, slow, such as an evening climb
    ///     spike to=900/s at=20s rise=1s hold=10s fall=5s   such as a sudden morning peak
    ///     wave mean=200/s swing=100/s period=20s           a sine
    ///     steps 100/s 200/s 400/s each=10s                 the last one remains
    ///     bursts on=800/s off=50/s stay-on=2s stay-off=8s  on and off for random times (Markov-modulated)
    ///     plus { … }                                       the sum of its parts
    ///     times { … }                                      the product: a rate first, factors after it
    ///
    /// Inside `times`, a value without a unit is a factor: steady 1.5, wave mean=1 swing=0.3 period=10s.
    static std::unique_ptr<LoadCurve> fromNode(kdl::NodeReader& node, std::uint64_t seed);
};

/// How arrivals are spaced at a given rate.
enum class Spacing { Even, Poisson };

/// Generates the arrival times from the start of a run up to its end.
class ArrivalGenerator {
public:
    ArrivalGenerator(std::unique_ptr<LoadCurve> curve, Spacing spacing, std::uint64_t seed, Duration length);
    /// The next arrival time from the start of the run, with nanosecond resolution; nothing after the last.
    std::optional<Duration> next();

private:
    std::unique_ptr<LoadCurve> curve_;
    Spacing spacing_;
    RandomGenerator random_;
    double endSeconds_, seconds_ = 0, sliceEndSeconds_ = 0, rate_ = 0, remainingIntegral_ = 0;
};

}  // namespace cottonwing::loadtest
