#include "lab/emulate/cores.h"

#include <algorithm>

namespace cottonwing::lab {

namespace {
constexpr Duration kLook =
    std::chrono::milliseconds(20);  // while it warms up its speed is looked at this often
double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
}  // namespace

void Cores::start(Duration now) {
    ends_.clear();
    order_.clear();
    each_ = 0;
    last_ = started_ = now;
}

double Cores::rate(Duration now) const {
    const double n = static_cast<double>(ends_.size());
    if (n == 0 || slow_ <= 0) return 0;
    double warm = 1;
    if (terms_.coldPart < 1 && terms_.warmsOver > Duration(0))
        warm = std::min(1.0, terms_.coldPart +
                                 (1 - terms_.coldPart) * seconds(now - started_) / seconds(terms_.warmsOver));
    const double crowd = n / terms_.cores;
    double sane = 1;
    if (crowd > terms_.thrashAt)
        sane = std::max(terms_.thrashTo,
                        1 - (1 - terms_.thrashTo) * (crowd - terms_.thrashAt) / terms_.thrashAt);
    return terms_.speed * warm * sane * std::min(1.0, terms_.cores / n) / slow_;
}

void Cores::advance(Duration now) {
    if (now <= last_) return;
    const double gain = rate(last_) * seconds(now - last_);
    each_ += gain;
    done_ += gain * static_cast<double>(ends_.size());
    last_ = now;
}

void Cores::setSlow(double factor, Duration now) {
    advance(now);
    slow_ = factor;
}

void Cores::add(std::uint64_t id, double work, Duration now) {
    advance(now);
    const double end = each_ + std::max(work, 1e-9);
    ends_[id] = end;
    order_.emplace(end, id);
}

double Cores::remove(std::uint64_t id, Duration now) {
    advance(now);
    const auto at = ends_.find(id);
    if (at == ends_.end()) return 0;
    const double left = std::max(0.0, at->second - each_);
    order_.erase({at->second, id});
    ends_.erase(at);
    return left;
}

// One after the other: each end leaves more of the cores to the rest.
std::vector<std::uint64_t> Cores::ended(Duration now) {
    std::vector<std::uint64_t> result;
    while (!order_.empty()) {
        const auto next = nextEnd();
        if (!next || *next > now) break;
        advance(*next);
        if (order_.begin()->first > each_ + 1e-9) continue;  // only a look at the speed
        const std::uint64_t id = order_.begin()->second;
        order_.erase(order_.begin());
        ends_.erase(id);
        result.push_back(id);
    }
    advance(now);
    return result;
}

std::optional<Duration> Cores::nextEnd() const {
    if (order_.empty()) return std::nullopt;
    const double speed = rate(last_);
    if (speed <= 0) return std::nullopt;
    const double left = std::max(0.0, order_.begin()->first - each_);
    const Duration end = last_ + Duration(1 + static_cast<std::int64_t>(std::min(left / speed, 1e6) * 1e9));
    const bool warming = terms_.coldPart < 1 && last_ - started_ < terms_.warmsOver;
    return warming ? std::min(end, last_ + kLook) : end;
}

double Cores::busy() const { return std::min(1.0, static_cast<double>(ends_.size()) / terms_.cores); }

}  // namespace cottonwing::lab
