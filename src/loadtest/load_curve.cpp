#include "loadtest/load_curve.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace cottonwing::loadtest {

namespace {

constexpr double kSlice = 1e-3;  // seconds for which a rate is taken to stand still

double amount(const kdl::Value& value, bool factors) {
    if (factors && value.kind == kdl::Value::Kind::Number && (value.unit.empty() || value.unit == "%"))
        return kdl::fraction(value);
    return kdl::rate(value);
}

struct Drawn : Shape {
    explicit Drawn(std::function<double(double)> theCurve) : curve(std::move(theCurve)) {}
    double at(double seconds) override { return std::max(0.0, curve(seconds)); }
    std::function<double(double)> curve;
};

struct Bursts : Shape {
    double at(double seconds) override {
        while (seconds >= until) {
            on = !on;
            until += drawExponential(chance) * (on ? stayOn : stayOff);
        }
        return on ? high : low;
    }
    double high = 0, low = 0, stayOn = 1, stayOff = 1, until = 0;
    bool on = true;  // begins off: the first look turns it
    Chance chance;
};

struct Together : Shape {
    double at(double seconds) override {
        double result = multiplies ? 1 : 0;
        for (const auto& part : parts) {
            const double value = part->at(seconds);
            result = multiplies ? result * value : result + value;
        }
        return result;
    }
    std::vector<std::unique_ptr<Shape>> parts;
    bool multiplies = false;
};

std::unique_ptr<Shape> together(kdl::NodeReader& node, bool multiplies, bool factors, std::uint64_t seed,
                                std::uint64_t& number);

std::unique_ptr<Shape> one(const kdl::Node& node, bool factors, std::uint64_t seed, std::uint64_t& number) {
    kdl::NodeReader in(node);
    const auto need = [&](const char* name) -> const kdl::Value& {
        if (const kdl::Value* value = in.property(name)) return *value;
        throw kdl::DocumentError(node.location, "'" + node.name + "' was found without '" + name + "='",
                                 "'" + std::string(name) + "=' was expected behind it");
    };
    const auto rateOf = [&](const char* name) { return amount(need(name), factors); };
    const auto timeOf = [&](const char* name) { return secondsOf(need(name)); };
    const auto timeOr = [&](const char* name, double otherwise) {
        const kdl::Value* const value = in.property(name);
        return value == nullptr ? otherwise : secondsOf(*value);
    };
    std::unique_ptr<Shape> result;
    if (node.name == "steady") {
        const double rate = amount(in.argument(0, "a rate such as 200/s"), factors);
        result = std::make_unique<Drawn>([rate](double) { return rate; });
    } else if (node.name == "ramp" || node.name == "climb") {
        const double from = rateOf("from"), to = rateOf("to"), at = timeOr("at", 0),
                     over = std::max(timeOf("over"), 1e-9);
        const bool smooth = node.name == "climb";
        result = std::make_unique<Drawn>([=](double t) {
            const double x = std::clamp((t - at) / over, 0.0, 1.0);
            return from + (to - from) * (smooth ? x * x * (3 - 2 * x) : x);
        });
    } else if (node.name == "spike") {
        const double to = rateOf("to"), at = timeOf("at"), rise = timeOr("rise", 0), hold = timeOf("hold"),
                     fall = timeOr("fall", 0);
        result = std::make_unique<Drawn>([=](double t) {
            if (t < at || t >= at + rise + hold + fall) return 0.0;
            if (t < at + rise) return to * (t - at) / rise;
            return t < at + rise + hold ? to : to * (at + rise + hold + fall - t) / fall;
        });
    } else if (node.name == "wave") {
        const double mean = rateOf("mean"), swing = rateOf("swing"),
                     period = std::max(timeOf("period"), 1e-6);
        result =
            std::make_unique<Drawn>([=](double t) { return mean + swing * std::sin(2 * M_PI * t / period); });
    } else if (node.name == "steps") {
        std::vector<double> rates;
        for (const kdl::Value* value : in.remainingArguments(0)) rates.push_back(amount(*value, factors));
        if (rates.empty()) in.argument(0, "one rate or more");
        const double each = std::max(timeOf("each"), 1e-9);
        result = std::make_unique<Drawn>([=](double t) {
            return rates[std::min(static_cast<std::size_t>(std::max(0.0, t / each)), rates.size() - 1)];
        });
    } else if (node.name == "bursts") {
        auto bursts = std::make_unique<Bursts>();
        bursts->high = rateOf("on"), bursts->low = rateOf("off");
        bursts->stayOn = std::max(timeOf("stay-on"), 1e-6),
        bursts->stayOff = std::max(timeOf("stay-off"), 1e-6);
        bursts->chance = chanceOf(seed, Stream::Bursts, ++number);
        result = std::move(bursts);
    } else if (node.name == "plus") {
        result = together(in, false, factors, seed, number);
    } else if (node.name == "times") {
        result = together(in, true, factors, seed, number);
    } else {
        throw kdl::DocumentError(node.location, "'" + node.name + "' was found",
                                 "one of steady, ramp, climb, spike, wave, steps, "
                                 "bursts, plus, times was expected");
    }
    in.rejectUnknown();
    return result;
}

std::unique_ptr<Shape> together(kdl::NodeReader& node, bool multiplies, bool factors, std::uint64_t seed,
                                std::uint64_t& number) {
    auto result = std::make_unique<Together>();
    result->multiplies = multiplies;
    for (const kdl::Node* part : node.allChildren())
        result->parts.push_back(one(*part, factors || (multiplies && !result->parts.empty()), seed, number));
    if (result->parts.empty())
        throw kdl::DocumentError(node.node().location,
                                 "'" + node.node().name + "' was found with nothing in it",
                                 "one of steady, ramp, climb, spike, wave, steps, "
                                 "bursts, plus, times was expected in it");
    return result;
}

}  // namespace

std::unique_ptr<Shape> Shape::of(kdl::NodeReader& node, std::uint64_t seed) {
    std::uint64_t number = 0;
    return together(node, false, false, seed, number);
}

Arrivals::Arrivals(std::unique_ptr<Shape> shape, Spacing spacing, std::uint64_t seed, Duration length)
    : shape_(std::move(shape)),
      spacing_(spacing),
      chance_(chanceOf(seed, Stream::Times)),
      end_(std::chrono::duration<double>(length).count()) {
    owed_ = spacing_ == Spacing::Poisson ? drawExponential(chance_) : 0.5;
}

// The time at which the integral of the rate has grown by what is owed: 1 for
// even spacing, exponential for Poisson; piece by piece, each with the rate in
// its middle.
std::optional<Duration> Arrivals::next() {
    while (true) {
        if (at_ >= sliceEnd_) {
            if (at_ >= end_) return std::nullopt;
            sliceEnd_ = std::min(end_, at_ + kSlice);
            rate_ = shape_->at((at_ + sliceEnd_) / 2);
        }
        const double left = (sliceEnd_ - at_) * rate_;
        if (left < owed_) {
            owed_ -= left;
            at_ = sliceEnd_;
            continue;
        }
        at_ += owed_ / rate_;
        owed_ = spacing_ == Spacing::Poisson ? drawExponential(chance_) : 1;
        return Duration(static_cast<std::int64_t>(at_ * 1e9));
    }
}

}  // namespace cottonwing::loadtest
