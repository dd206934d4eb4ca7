/// @file
/// The random numbers of one controller.
#pragma once

#include <cstdint>
#include <random>

namespace cottonwing::overload {

/// A reproducible sequence of random numbers. The rules of a controller share one source, so the order in
/// which they draw is part of the behaviour that a seed reproduces.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed)
        : generator_(static_cast<std::mt19937::result_type>(seed ^ (seed >> 32U))) {}

    /// @return the next number, uniformly distributed in [0, 1).
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(generator_); }

private:
    std::mt19937 generator_;
};

}  // namespace cottonwing::overload
