#include "loadtest/random_distributions.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::loadtest {

namespace {
constexpr double kP99 = 2.3263478740408408;  // standard deviations above the median
}

Chance chanceOf(std::uint64_t seed, Stream stream, std::uint64_t number) {
    return Chance(seed, static_cast<std::uint64_t>(stream) * 1000003 + number);
}

double unit(Chance& chance) {
    const std::uint64_t bits = static_cast<std::uint64_t>(chance()) << 21 ^ chance();
    return static_cast<double>(bits & ((1ULL << 53) - 1)) / static_cast<double>(1ULL << 53);
}

double drawExponential(Chance& chance) { return -std::log1p(-unit(chance)); }

double secondsOf(const kdl::Value& value) {
    return std::chrono::duration<double>(kdl::duration(value)).count();
}
double bytesOf(const kdl::Value& value) { return static_cast<double>(kdl::bytes(value)); }

Distribution Distribution::always(double value) {
    Distribution result;
    result.a_ = value;
    return result;
}

Distribution Distribution::of(kdl::NodeReader& node, const std::function<double(const kdl::Value&)>& reads) {
    const kdl::Value& first = node.argument(0, "a value or one of uniform, exponential, lognormal, pareto");
    static const std::vector<std::pair<std::string, Kind>> kKinds = {{"uniform", Kind::Uniform},
                                                                     {"exponential", Kind::Exponential},
                                                                     {"lognormal", Kind::Lognormal},
                                                                     {"pareto", Kind::Pareto}};
    const bool named = first.kind == kdl::Value::Kind::String && !first.text.empty() &&
                       std::isalpha(static_cast<unsigned char>(first.text.front()));
    if (!named) return always(reads(first));
    Distribution result;
    result.kind_ = kdl::NodeReader::choice(first, kKinds);
    const auto need = [&](const char* name) -> const kdl::Value& {
        if (const kdl::Value* value = node.property(name)) return *value;
        throw kdl::DocumentError(first.location, "'" + first.text + "' was found without '" + name + "='",
                                 "'" + std::string(name) + "=' was expected behind it");
    };
    const auto positive = [&](const kdl::Value& value, double number) {
        if (!(number > 0))
            throw kdl::DocumentError(value.location, "'" + value.text + "' was found",
                                     "a value above 0 was expected");
        return number;
    };
    switch (result.kind_) {
        case Kind::Uniform:
            result.a_ = reads(node.argument(1, "the least value"));
            result.b_ = reads(node.argument(2, "the largest value"));
            if (result.b_ < result.a_)
                throw kdl::DocumentError(node.argument(2, "").location,
                                         "the largest value was found below the least one",
                                         "the least one was expected first");
            break;
        case Kind::Exponential:
            result.a_ = positive(need("mean"), reads(need("mean")));
            break;
        case Kind::Lognormal: {
            const double median = positive(need("median"), reads(need("median"))), p99 = reads(need("p99"));
            if (p99 < median)
                throw kdl::DocumentError(need("p99").location, "a p99 below the median was found",
                                         "at least the median was expected");
            result.a_ = std::log(median);
            result.b_ = std::log(p99 / median) / kP99;
            break;
        }
        case Kind::Pareto:
            result.a_ = positive(need("least"), reads(need("least")));
            result.b_ = positive(need("shape"), kdl::number(need("shape")));
            result.most_ = reads(need("most"));
            if (result.most_ <= result.a_)
                throw kdl::DocumentError(need("most").location,
                                         "a largest value not above the least one was found",
                                         "a larger one was expected");
            break;
        case Kind::Always:
            break;
    }
    return result;
}

double Distribution::draw(Chance& chance) const {
    switch (kind_) {
        case Kind::Always:
            return a_;
        case Kind::Uniform:
            return a_ + (b_ - a_) * unit(chance);
        case Kind::Exponential:
            return a_ * drawExponential(chance);
        case Kind::Lognormal: {
            const double radius = std::sqrt(2 * drawExponential(chance)), angle = 2 * M_PI * unit(chance);
            return std::exp(a_ + b_ * radius * std::cos(angle));
        }
        case Kind::Pareto: {
            const double tail = std::pow(a_ / most_, b_);  // left out, so that nothing is above the largest
            return a_ / std::pow(1 - unit(chance) * (1 - tail), 1 / b_);
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
            const double tail = std::pow(a_ / most_, b_);
            if (std::abs(b_ - 1) < 1e-9) return a_ * std::log(most_ / a_) / (1 - tail);
            return b_ * a_ / (b_ - 1) * (1 - std::pow(a_ / most_, b_ - 1)) / (1 - tail);
        }
        default:
            return a_;
    }
}

// Rejection-inversion for monotone discrete distributions, as Hörmann and
// Derflinger published it (1996).
Zipf::Zipf(std::uint64_t count, double exponent)
    : count_(std::max<std::uint64_t>(count, 1)), exponent_(exponent) {
    hFirst_ = h(1.5) - 1;
    hLast_ = h(static_cast<double>(count_) + 0.5);
    shift_ = 2 - hInverse(h(2.5) - std::pow(2.0, -exponent_));
}

double Zipf::h(double x) const {
    const double log = std::log(x);
    if (std::abs(1 - exponent_) < 1e-9) return log;
    return std::expm1((1 - exponent_) * log) / (1 - exponent_);
}

double Zipf::hInverse(double x) const {
    if (std::abs(1 - exponent_) < 1e-9) return std::exp(x);
    return std::exp(std::log1p(std::max(-1.0, x * (1 - exponent_))) / (1 - exponent_));
}

std::uint64_t Zipf::draw(Chance& chance) const {
    if (count_ == 1) return 0;
    while (true) {
        const double u = hLast_ + unit(chance) * (hFirst_ - hLast_), x = hInverse(u);
        const double k = std::clamp(std::floor(x + 0.5), 1.0, static_cast<double>(count_));
        if (k - x <= shift_ || u >= h(k + 0.5) - std::pow(k, -exponent_))
            return static_cast<std::uint64_t>(k) - 1;
    }
}

}  // namespace cottonwing::loadtest
