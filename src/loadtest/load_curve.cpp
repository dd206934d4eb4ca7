#include "loadtest/load_curve.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace cottonwing::loadtest {

namespace {

constexpr double kSliceSeconds = 1e-3;  // the rate is taken as constant within a slice

double readRateOrFactor(const kdl::Value& value, bool allowFactors) {
    if (allowFactors && value.kind == kdl::Value::Kind::Number && (value.unit.empty() || value.unit == "%"))
        return kdl::fraction(value);
    return kdl::rate(value);
}

struct FormulaCurve : LoadCurve {
    explicit FormulaCurve(std::function<double(double)> formula) : formula_(std::move(formula)) {}
    double at(double seconds) override { return std::max(0.0, formula_(seconds)); }
    std::function<double(double)> formula_;
};

struct BurstCurve : LoadCurve {
    double at(double seconds) override {
        while (seconds >= stateEndSeconds) {
            on = !on;
            stateEndSeconds += drawExponential(random) * (on ? meanOnSeconds : meanOffSeconds);
        }
        return on ? onRate : offRate;
    }
    double onRate = 0, offRate = 0, meanOnSeconds = 1, meanOffSeconds = 1, stateEndSeconds = 0;
    bool on = true;  // the first call of at() toggles it, so a burst curve begins in the off state
    RandomGenerator random;
};

struct CombinedCurve : LoadCurve {
    double at(double seconds) override {
        double result = multiply ? 1 : 0;
        for (const auto& part : parts) {
            const double value = part->at(seconds);
            result = multiply ? result * value : result + value;
        }
        return result;
    }
    std::vector<std::unique_ptr<LoadCurve>> parts;
    bool multiply = false;
};

std::unique_ptr<LoadCurve> readCombined(kdl::NodeReader& node, bool multiply, bool allowFactors,
                                        std::uint64_t seed, std::uint64_t& burstCount);

std::unique_ptr<LoadCurve> readCurve(const kdl::Node& node, bool allowFactors, std::uint64_t seed,
                                     std::uint64_t& burstCount) {
    kdl::NodeReader in(node);
    const auto requireProperty = [&](const char* name) -> const kdl::Value& {
        if (const kdl::Value* value = in.property(name)) return *value;
        throw kdl::DocumentError(node.location, "'" + node.name + "' was found without '" + name + "='",
                                 "'" + std::string(name) + "=' was expected after it");
    };
    const auto requireRate = [&](const char* name) {
        return readRateOrFactor(requireProperty(name), allowFactors);
    };
    const auto requireSeconds = [&](const char* name) { return secondsOf(requireProperty(name)); };
    const auto secondsOr = [&](const char* name, double fallback) {
        const kdl::Value* const value = in.property(name);
        return value == nullptr ? fallback : secondsOf(*value);
    };
    std::unique_ptr<LoadCurve> result;
    if (node.name == "steady") {
        const double rate = readRateOrFactor(in.argument(0, "a rate such as 200/s"), allowFactors);
        result = std::make_unique<FormulaCurve>([rate](double) { return rate; });
    } else if (node.name == "ramp" || node.name == "climb") {
        const double from = requireRate("from"), to = requireRate("to"), at = secondsOr("at", 0),
                     over = std::max(requireSeconds("over"), 1e-9);
        const bool smooth = node.name == "climb";
        result = std::make_unique<FormulaCurve>([=](double t) {
            const double x = std::clamp((t - at) / over, 0.0, 1.0);
            return from + (to - from) * (smooth ? x * x * (3 - 2 * x) : x);
        });
    } else if (node.name == "spike") {
        const double to = requireRate("to"), at = requireSeconds("at"), rise = secondsOr("rise", 0),
                     hold = requireSeconds("hold"), fall = secondsOr("fall", 0);
        result = std::make_unique<FormulaCurve>([=](double t) {
            if (t < at || t >= at + rise + hold + fall) return 0.0;
            if (t < at + rise) return to * (t - at) / rise;
            return t < at + rise + hold ? to : to * (at + rise + hold + fall - t) / fall;
        });
    } else if (node.name == "wave") {
        const double mean = requireRate("mean"), swing = requireRate("swing"),
                     period = std::max(requireSeconds("period"), 1e-6);
        result = std::make_unique<FormulaCurve>(
            [=](double t) { return mean + swing * std::sin(2 * M_PI * t / period); });
    } else if (node.name == "steps") {
        std::vector<double> rates;
        for (const kdl::Value* value : in.remainingArguments(0))
            rates.push_back(readRateOrFactor(*value, allowFactors));
        if (rates.empty()) in.argument(0, "one rate or more");
        const double stepSeconds = std::max(requireSeconds("each"), 1e-9);
        result = std::make_unique<FormulaCurve>([=](double t) {
            return rates[std::min(static_cast<std::size_t>(std::max(0.0, t / stepSeconds)),
                                  rates.size() - 1)];
        });
    } else if (node.name == "bursts") {
        auto bursts = std::make_unique<BurstCurve>();
        bursts->onRate = requireRate("on"), bursts->offRate = requireRate("off");
        bursts->meanOnSeconds = std::max(requireSeconds("stay-on"), 1e-6),
        bursts->meanOffSeconds = std::max(requireSeconds("stay-off"), 1e-6);
        bursts->random = makeRandomGenerator(seed, RandomStream::Bursts, ++burstCount);
        result = std::move(bursts);
    } else if (node.name == "plus") {
        result = readCombined(in, false, allowFactors, seed, burstCount);
    } else if (node.name == "times") {
        result = readCombined(in, true, allowFactors, seed, burstCount);
    } else {
        throw kdl::DocumentError(
            node.location, "'" + node.name + "' was found",
            "one of steady, ramp, climb, spike, wave, steps, bursts, plus, times was expected");
    }
    in.rejectUnknown();
    return result;
}

std::unique_ptr<LoadCurve> readCombined(kdl::NodeReader& node, bool multiply, bool allowFactors,
                                        std::uint64_t seed, std::uint64_t& burstCount) {
    auto result = std::make_unique<CombinedCurve>();
    result->multiply = multiply;
    for (const kdl::Node* part : node.allChildren())
        result->parts.push_back(
            readCurve(*part, allowFactors || (multiply && !result->parts.empty()), seed, burstCount));
    if (result->parts.empty())
        throw kdl::DocumentError(
            node.node().location, "'" + node.node().name + "' was found without children",
            "one of steady, ramp, climb, spike, wave, steps, bursts, plus, times was expected in it");
    return result;
}

}  // namespace

std::unique_ptr<LoadCurve> LoadCurve::fromNode(kdl::NodeReader& node, std::uint64_t seed) {
    std::uint64_t burstCount = 0;
    return readCombined(node, false, false, seed, burstCount);
}

ArrivalGenerator::ArrivalGenerator(std::unique_ptr<LoadCurve> curve, Spacing spacing, std::uint64_t seed,
                                   Duration length)
    : curve_(std::move(curve)),
      spacing_(spacing),
      random_(makeRandomGenerator(seed, RandomStream::ArrivalTimes)),
      endSeconds_(std::chrono::duration<double>(length).count()) {
    remainingIntegral_ = spacing_ == Spacing::Poisson ? drawExponential(random_) : 0.5;
}

// An arrival occurs each time the integral of the rate has grown by 1 (even spacing) or by an exponentially
// distributed amount of mean 1 (Poisson). The integral is computed slice by slice with the rate at the middle
// of the slice.
std::optional<Duration> ArrivalGenerator::next() {
    while (true) {
        if (seconds_ >= sliceEndSeconds_) {
            if (seconds_ >= endSeconds_) return std::nullopt;
            sliceEndSeconds_ = std::min(endSeconds_, seconds_ + kSliceSeconds);
            rate_ = curve_->at((seconds_ + sliceEndSeconds_) / 2);
        }
        const double sliceIntegral = (sliceEndSeconds_ - seconds_) * rate_;
        if (sliceIntegral < remainingIntegral_) {
            remainingIntegral_ -= sliceIntegral;
            seconds_ = sliceEndSeconds_;
            continue;
        }
        seconds_ += remainingIntegral_ / rate_;
        remainingIntegral_ = spacing_ == Spacing::Poisson ? drawExponential(random_) : 1;
        return Duration(static_cast<std::int64_t>(seconds_ * 1e9));
    }
}

}  // namespace cottonwing::loadtest
