#include "loadtest/random_distributions.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::loadtest {

namespace {
constexpr double kP99StandardDeviations =
    2.3263478740408408;  // the 99th percentile of the standard normal distribution
}

RandomGenerator makeRandomGenerator(std::uint64_t seed, RandomStream stream, std::uint64_t number) {
    return RandomGenerator(seed, static_cast<std::uint64_t>(stream) * 1000003 + number);
}

double drawUniform(RandomGenerator& random) {
    const std::uint64_t bits = static_cast<std::uint64_t>(random()) << 21 ^ random();
    return static_cast<double>(bits & ((1ULL << 53) - 1)) / static_cast<double>(1ULL << 53);
}

double drawExponential(RandomGenerator& random) { return -std::log1p(-drawUniform(random)); }

double secondsOf(const kdl::Value& value) {
    return std::chrono::duration<double>(kdl::duration(value)).count();
}
double bytesOf(const kdl::Value& value) { return static_cast<double>(kdl::bytes(value)); }

Distribution Distribution::constant(double value) {
    Distribution result;
    result.a_ = value;
    return result;
}

Distribution Distribution::fromNode(kdl::NodeReader& node,
                                    const std::function<double(const kdl::Value&)>& readValue) {
    const kdl::Value& first = node.argument(0, "a value or one of uniform, exponential, lognormal, pareto");
    static const std::vector<std::pair<std::string, Kind>> kKinds = {{"uniform", Kind::Uniform},
                                                                     {"exponential", Kind::Exponential},
                                                                     {"lognormal", Kind::Lognormal},
                                                                     {"pareto", Kind::Pareto}};
    const bool named = first.kind == kdl::Value::Kind::String && !first.text.empty() &&
                       std::isalpha(static_cast<unsigned char>(first.text.front()));
    if (!named) return constant(readValue(first));
    Distribution result;
    result.kind_ = kdl::NodeReader::choice(first, kKinds);
    const auto requireProperty = [&](const char* name) -> const kdl::Value& {
        if (const kdl::Value* value = node.property(name)) return *value;
        throw kdl::DocumentError(first.location, "'" + first.text + "' was found without '" + name + "='",
                                 "'" + std::string(name) + "=' was expected after it");
    };
    const auto positive = [&](const kdl::Value& value, double number) {
        if (!(number > 0))
            throw kdl::DocumentError(value.location, "'" + value.text + "' was found",
                                     "a value above 0 was expected");
        return number;
    };
    switch (result.kind_) {
        case Kind::Uniform:
            result.a_ = readValue(node.argument(1, "the minimum"));
            result.b_ = readValue(node.argument(2, "the maximum"));
            if (result.b_ < result.a_)
                throw kdl::DocumentError(node.argument(2, "").location,
                                         "a maximum below the minimum was found",
                                         "the minimum was expected first");
            break;
        case Kind::Exponential:
            result.a_ = positive(requireProperty("mean"), readValue(requireProperty("mean")));
            break;
        case Kind::Lognormal: {
            const double median = positive(requireProperty("median"), readValue(requireProperty("median"))),
                         p99 = readValue(requireProperty("p99"));
            if (p99 < median)
                throw kdl::DocumentError(requireProperty("p99").location, "a p99 below the median was found",
                                         "at least the median was expected");
            result.a_ = std::log(median);
            result.b_ = std::log(p99 / median) / kP99StandardDeviations;
            break;
        }
        case Kind::Pareto:
            result.a_ = positive(requireProperty("least"), readValue(requireProperty("least")));
            result.b_ = positive(requireProperty("shape"), kdl::number(requireProperty("shape")));
            result.max_ = readValue(requireProperty("most"));
            if (result.max_ <= result.a_)
                throw kdl::DocumentError(requireProperty("most").location,
                                         "'most' was found not above 'least'",
                                         "a larger 'most' was expected");
            break;
        case Kind::Constant:
            break;
    }
    return result;
}

double Distribution::draw(RandomGenerator& random) const {
    switch (kind_) {
        case Kind::Constant:
            return a_;
        case Kind::Uniform:
            return a_ + (b_ - a_) * drawUniform(random);
        case Kind::Exponential:
            return a_ * drawExponential(random);
        case Kind::Lognormal: {
            const double radius = std::sqrt(2 * drawExponential(random)),
                         angle = 2 * M_PI * drawUniform(random);
            return std::exp(a_ + b_ * radius * std::cos(angle));
        }
        case Kind::Pareto: {
            const double tail = std::pow(a_ / max_, b_);  // the part above the maximum, which is cut off
            return a_ / std::pow(1 - drawUniform(random) * (1 - tail), 1 / b_);
        }
    }
    return a_;
}

double Distribution::mean() const {
    switch (kind_) {
        case Kind::Uniform:
            return (a_ + b_) / 2;
        case Kind::Lognormal:
            return std::exp(a_ + b_ * b_ / 2);
        case Kind::Pareto: {
            const double tail = std::pow(a_ / max_, b_);
            if (std::abs(b_ - 1) < 1e-9) return a_ * std::log(max_ / a_) / (1 - tail);
            return b_ * a_ / (b_ - 1) * (1 - std::pow(a_ / max_, b_ - 1)) / (1 - tail);
        }
        default:
            return a_;
    }
}

// Rejection-inversion for monotone discrete distributions (Hörmann and Derflinger, 1996).
Zipf::Zipf(std::uint64_t count, double exponent)
    : count_(std::max<std::uint64_t>(count, 1)), exponent_(exponent) {
    integralFirst_ = integral(1.5) - 1;
    integralLast_ = integral(static_cast<double>(count_) + 0.5);
    acceptanceShift_ = 2 - integralInverse(integral(2.5) - std::pow(2.0, -exponent_));
}

double Zipf::integral(double x) const {
    const double log = std::log(x);
    if (std::abs(1 - exponent_) < 1e-9) return log;
    return std::expm1((1 - exponent_) * log) / (1 - exponent_);
}

double Zipf::integralInverse(double x) const {
    if (std::abs(1 - exponent_) < 1e-9) return std::exp(x);
    return std::exp(std::log1p(std::max(-1.0, x * (1 - exponent_))) / (1 - exponent_));
}

std::uint64_t Zipf::draw(RandomGenerator& random) const {
    if (count_ == 1) return 0;
    while (true) {
        const double u = integralLast_ + drawUniform(random) * (integralFirst_ - integralLast_),
                     x = integralInverse(u);
        const double k = std::clamp(std::floor(x + 0.5), 1.0, static_cast<double>(count_));
        if (k - x <= acceptanceShift_ || u >= integral(k + 0.5) - std::pow(k, -exponent_))
            return static_cast<std::uint64_t>(k) - 1;
    }
}

}  // namespace cottonwing::loadtest
