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
using Chance = pcg32;
enum class Stream : std::uint64_t {
    Times,
    RequestClassLoads,
    Tenants,
    Subjects,
    Bodies,
    Work,
    Hints,
    Waits,
    Clients,
    Bursts
};
Chance chanceOf(std::uint64_t seed, Stream stream, std::uint64_t number = 0);
double unit(Chance& chance);             // from 0 to under 1
double drawExponential(Chance& chance);  // of mean 1

// One number, in the unit its reader gives: seconds, bytes or plain.
//   8ms                                  always
//   uniform 5ms 20ms
//   exponential mean=8ms
//   lognormal median=8ms p99=40ms
//   pareto least=1ms shape=1.5 most=1s
class Distribution {
public:
    enum class Kind { Always, Uniform, Exponential, Lognormal, Pareto };
    Distribution() = default;
    static Distribution always(double value);
    // The values of a node, read by `reads`; throws kdl::DocumentError.
    static Distribution of(kdl::NodeReader& node, const std::function<double(const kdl::Value&)>& reads);

    double draw(Chance& chance) const;
    double mean() const;

private:
    Kind kind_ = Kind::Always;
    double a_ = 0, b_ = 0, most_ = 0;
};

// Ranks from 0, the first drawn most often: rank r with a weight of 1 / (r +
// 1)^exponent. By rejection, at a cost that does not grow with the count.
class Zipf {
public:
    Zipf(std::uint64_t count, double exponent);
    std::uint64_t draw(Chance& chance) const;

private:
    double h(double x) const;
    double hInverse(double x) const;
    std::uint64_t count_;
    double exponent_, hFirst_, hLast_, shift_;
};

double secondsOf(const kdl::Value& value);  // a duration
double bytesOf(const kdl::Value& value);    // a size

}  // namespace cottonwing::loadtest
