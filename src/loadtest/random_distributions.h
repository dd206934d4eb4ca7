/// @file
/// Random distributions that are defined in KDL files, and the random number streams that they draw from.
#pragma once

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>

#include "kdl/node_reader.h"

namespace cottonwing::loadtest {

using RandomGenerator = pcg32;
/// The independent random number streams of a run. Each quantity draws from its own stream, so that a change
/// in the draws of one does not affect the others. The order of the values determines the stream numbers.
enum class RandomStream : std::uint64_t {
    ArrivalTimes,
    RequestClasses,
    Tenants,
    Subjects,
    Bodies,
    Work,
    Hints,
    AttemptTimeouts,
    Clients,
    Bursts
};
/// Creates the generator of a stream; `number` selects one of several generators of the same stream.
RandomGenerator makeRandomGenerator(std::uint64_t seed, RandomStream stream, std::uint64_t number = 0);
/// Draws from the uniform distribution on [0, 1).
double drawUniform(RandomGenerator& random);
/// Draws from the exponential distribution with mean 1.
double drawExponential(RandomGenerator& random);

/// The distribution of a number, in the unit that the value reader returns: seconds, bytes or none. In a
/// file:
///
///     8ms                                 constant
///     uniform 5ms 20ms
///     exponential mean=8ms
///     lognormal median=8ms p99=40ms
///     pareto least=1ms shape=1.5 most=1s  truncated at `most`
class Distribution {
public:
    enum class Kind { Constant, Uniform, Exponential, Lognormal, Pareto };
    Distribution() = default;
    static Distribution constant(double value);
    /// Reads the distribution from the arguments and properties of a node; `readValue` converts each value.
    /// Throws kdl::DocumentError.
    static Distribution fromNode(kdl::NodeReader& node,
                                 const std::function<double(const kdl::Value&)>& readValue);

    double draw(RandomGenerator& random) const;
    double mean() const;

private:
    Kind kind_ = Kind::Constant;
    // Constant: the value. Uniform: minimum and maximum. Exponential: the mean. Lognormal: mean and standard
    // deviation of the logarithm. Pareto: minimum, shape and maximum.
    double a_ = 0, b_ = 0, max_ = 0;
};

/// A Zipf distribution over the ranks from 0 to count - 1: rank r has a weight of 1 / (r + 1)^exponent. Draws
/// by rejection, at a cost that does not grow with the count.
class Zipf {
public:
    Zipf(std::uint64_t count, double exponent);
    std::uint64_t draw(RandomGenerator& random) const;

private:
    double integral(double x) const;
    double integralInverse(double x) const;
    std::uint64_t count_;
    double exponent_, integralFirst_, integralLast_, acceptanceShift_;
};

/// Reads a duration and returns it in seconds.
double secondsOf(const kdl::Value& value);
/// Reads a size in bytes.
double bytesOf(const kdl::Value& value);

}  // namespace cottonwing::loadtest
