// What is drawn by chance: distributions as a file gives them, and the streams
// of chance they draw from.
#pragma once

#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>

#include "kdl/node_reader.h"

namespace cottonwing::loadtest {

// A stream of its own for each matter, by number, so that a change in one moves
// nothing in another.
using RandomGenerator = pcg32;
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
RandomGenerator makeRandomGenerator(std::uint64_t seed, RandomStream stream, std::uint64_t number = 0);
double drawUniform(RandomGenerator& random);      // from 0 to under 1
double drawExponential(RandomGenerator& random);  // of mean 1

// One number, in the unit its reader gives: seconds, bytes or plain.
//   8ms                                  always
//   uniform 5ms 20ms
//   exponential mean=8ms
//   lognormal median=8ms p99=40ms
//   pareto least=1ms shape=1.5 most=1s
class Distribution {
public:
    enum class Kind { Constant, Uniform, Exponential, Lognormal, Pareto };
    Distribution() = default;
    static Distribution constant(double value);
    // The values of a node, read by `readValue`; throws kdl::DocumentError.
    static Distribution fromNode(kdl::NodeReader& node,
                                 const std::function<double(const kdl::Value&)>& readValue);

    double draw(RandomGenerator& random) const;
    double mean() const;

private:
    Kind kind_ = Kind::Constant;
    double a_ = 0, b_ = 0, max_ = 0;
};

// Ranks from 0, the first drawn most often: rank r with a weight of 1 / (r +
// 1)^exponent. By rejection, at a cost that does not grow with the count.
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

double secondsOf(const kdl::Value& value);  // a duration
double bytesOf(const kdl::Value& value);    // a size

}  // namespace cottonwing::loadtest
