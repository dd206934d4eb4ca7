#include "routing/load_balancer.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::routing {

std::uint64_t spread(std::uint64_t number) {
    number += 0x9E3779B97F4A7C15ULL;
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9ULL;
    number = (number ^ number >> 27) * 0x94D049BB133111EBULL;
    return number ^ number >> 31;
}

void Choice::add(Index at, double weight) {
    if (at >= all_.size()) all_.resize(at + 1);
    Member& member = all_[at];
    if (member.present) return setWeight(at, weight);
    member = Member{};
    member.present = true;
    member.weight = weight;
    member.place = order_.size();
    order_.push_back(at);
    weights_ += weight;
    rank(at, true);
    if (way_ != Way::BySubject) return;
    const auto middle = static_cast<std::ptrdiff_t>(ring_.size());
    for (int point = 0; point < kPointsEach; ++point)
        ring_.emplace_back(spread(spread(at + 1) + static_cast<std::uint64_t>(point)), at);
    std::sort(ring_.begin() + middle, ring_.end());
    std::inplace_merge(ring_.begin(), ring_.begin() + middle, ring_.end());
}

void Choice::remove(Index at) {
    if (at >= all_.size() || !all_[at].present) return;
    Member& member = all_[at];
    rank(at, false);
    weights_ -= member.weight;
    flying_ -= static_cast<std::uint64_t>(member.inFlight);
    order_[member.place] = order_.back();
    all_[order_.back()].place = member.place;
    order_.pop_back();
    member = Member{};
    std::erase_if(ring_, [at](const auto& point) { return point.second == at; });
}

void Choice::setWeight(Index at, double weight) {
    rank(at, false);
    weights_ += weight - all_[at].weight;
    all_[at].weight = weight;
    rank(at, true);
}

void Choice::rank(Index at, bool in) {
    if (way_ != Way::Least && way_ != Way::Fastest) return;
    const std::pair<double, Index> key{way_ == Way::Least ? load(all_[at]) : all_[at].seconds, at};
    if (in)
        ranked_.insert(key);
    else
        ranked_.erase(key);
}

void Choice::began(Index at) {
    if (at >= all_.size() || !all_[at].present) return;
    rank(at, false);
    ++all_[at].inFlight;
    ++flying_;
    rank(at, true);
}

void Choice::ended(Index at, std::optional<Duration> took, Duration now) {
    if (at >= all_.size() || !all_[at].present || all_[at].inFlight == 0) return;  // removed meanwhile
    rank(at, false);
    Member& member = all_[at];
    --member.inFlight;
    --flying_;
    if (took) {
        const double seconds = std::chrono::duration<double>(*took).count();
        // A slow answer counts at once, quick ones win the trust back over about a second.
        const double passed = std::chrono::duration<double>(now - member.seenAt).count();
        if (member.seconds == 0 || seconds > member.seconds)
            member.seconds = seconds;
        else
            member.seconds += (seconds - member.seconds) * (1 - std::exp(-std::max(0.01, passed)));
        member.seenAt = now;
        usual_ += (seconds - usual_) * (usual_ == 0 ? 1 : 0.02);
    }
    rank(at, true);
}

// What one more request there would wait for; of one not seen yet what is usual in the group is expected.
double Choice::cost(const Member& member) const {
    const double each = member.seconds > 0 ? member.seconds : std::max(usual_, 1e-6);
    return load(member) * each;
}

std::optional<Choice::Index> Choice::choose(std::uint64_t subject, std::optional<Index> avoid,
                                            const Usable& usable, std::mt19937& chance) {
    if (order_.empty()) return std::nullopt;
    switch (way_) {
        case Way::RoundRobin:
            return robin(avoid, usable);
        case Way::TwoChoices:
            return two(avoid, usable, chance);
        case Way::BySubject:
            return bySubject(subject, avoid, usable);
        case Way::Least:
        case Way::Fastest:
            return ranked(avoid, usable, chance);
    }
    return std::nullopt;
}

std::optional<Choice::Index> Choice::robin(std::optional<Index> avoid, const Usable& usable) {
    std::optional<Index> last;
    for (std::size_t n = 0; n < order_.size(); ++n) {
        const Index at = order_[next_++ % order_.size()];
        if (!usable(at)) continue;
        if (avoid != at) return at;
        last = at;
    }
    return last;
}

std::optional<Choice::Index> Choice::two(std::optional<Index> avoid, const Usable& usable,
                                         std::mt19937& chance) {
    std::uniform_int_distribution<std::size_t> any(0, order_.size() - 1);
    std::optional<Index> best;
    int found = 0;
    // With most of the group usable two draws are enough; a group that is mostly out is walked in the end.
    for (int n = 0; n < 12 && found < 2; ++n) {
        const Index at = order_[any(chance)];
        if (avoid == at || best == at || !usable(at)) continue;
        ++found;
        if (!best || cost(all_[at]) < cost(all_[*best])) best = at;
    }
    if (best) return best;
    next_ = any(chance);
    return robin(avoid, usable);
}

// Clockwise from the subject's point, past those that carry more than their bounded share.
std::optional<Choice::Index> Choice::bySubject(std::uint64_t subject, std::optional<Index> avoid,
                                               const Usable& usable) {
    const double mean = (static_cast<double>(flying_) + 1) / std::max(weights_, 1e-9);
    const auto from =
        std::lower_bound(ring_.begin(), ring_.end(), std::pair<std::uint64_t, Index>{spread(subject), 0});
    const auto first = static_cast<std::size_t>(from - ring_.begin());
    std::optional<Index> fallback;
    // A few full turns past distinct members are enough to find one under the bound, as not all are above the
    // mean.
    for (std::size_t n = 0; n < ring_.size(); ++n) {
        const Index at = ring_[(first + n) % ring_.size()].second;
        if (avoid == at || !usable(at)) continue;
        if (!fallback) fallback = at;
        if (all_[at].inFlight + 1 <= std::ceil(kBoundedLoad * mean * all_[at].weight)) return at;
    }
    if (fallback) return fallback;
    return avoid && *avoid < all_.size() && all_[*avoid].present && usable(*avoid) ? avoid : std::nullopt;
}

std::optional<Choice::Index> Choice::ranked(std::optional<Index> avoid, const Usable& usable,
                                            std::mt19937& chance) {
    std::optional<Index> last;
    // Among equals one by chance, or every client of a fleet would begin with the same one.
    std::vector<Index> equals;
    double value = 0;
    for (const auto& [score, at] : ranked_) {
        if (!equals.empty() && (score > value || equals.size() >= 16)) break;
        if (!usable(at)) continue;
        if (avoid == at) {
            last = at;
            continue;
        }
        value = score;
        equals.push_back(at);
    }
    if (equals.empty()) return last;
    return equals[std::uniform_int_distribution<std::size_t>(0, equals.size() - 1)(chance)];
}

}  // namespace cottonwing::routing
