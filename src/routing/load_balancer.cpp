#include "routing/load_balancer.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::routing {

std::uint64_t splitMix64(std::uint64_t value) {
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ value >> 27) * 0x94D049BB133111EBULL;
    return value ^ value >> 31;
}

void LoadBalancer::add(Index index, double weight) {
    if (index >= endpoints_.size()) endpoints_.resize(index + 1);
    Endpoint& endpoint = endpoints_[index];
    if (endpoint.present) return setWeight(index, weight);
    endpoint = Endpoint{};
    endpoint.present = true;
    endpoint.weight = weight;
    endpoint.orderPosition = presentEndpoints_.size();
    presentEndpoints_.push_back(index);
    totalWeight_ += weight;
    updateRanking(index, true);
    if (policy_ != LoadBalancingPolicy::ConsistentHash) return;
    const auto oldEnd = static_cast<std::ptrdiff_t>(hashRing_.size());
    for (int point = 0; point < kRingPointsPerEndpoint; ++point)
        hashRing_.emplace_back(splitMix64(splitMix64(index + 1) + static_cast<std::uint64_t>(point)), index);
    std::sort(hashRing_.begin() + oldEnd, hashRing_.end());
    std::inplace_merge(hashRing_.begin(), hashRing_.begin() + oldEnd, hashRing_.end());
}

void LoadBalancer::remove(Index index) {
    if (index >= endpoints_.size() || !endpoints_[index].present) return;
    Endpoint& endpoint = endpoints_[index];
    updateRanking(index, false);
    totalWeight_ -= endpoint.weight;
    totalInFlight_ -= static_cast<std::uint64_t>(endpoint.inFlight);
    presentEndpoints_[endpoint.orderPosition] = presentEndpoints_.back();
    endpoints_[presentEndpoints_.back()].orderPosition = endpoint.orderPosition;
    presentEndpoints_.pop_back();
    endpoint = Endpoint{};
    std::erase_if(hashRing_, [index](const auto& point) { return point.second == index; });
}

void LoadBalancer::setWeight(Index index, double weight) {
    updateRanking(index, false);
    totalWeight_ += weight - endpoints_[index].weight;
    endpoints_[index].weight = weight;
    updateRanking(index, true);
}

void LoadBalancer::updateRanking(Index index, bool present) {
    if (policy_ != LoadBalancingPolicy::LeastRequests && policy_ != LoadBalancingPolicy::LowestLatency)
        return;
    const std::pair<double, Index> key{policy_ == LoadBalancingPolicy::LeastRequests
                                           ? load(endpoints_[index])
                                           : endpoints_[index].latencySeconds,
                                       index};
    if (present)
        ranking_.insert(key);
    else
        ranking_.erase(key);
}

void LoadBalancer::requestStarted(Index index) {
    if (index >= endpoints_.size() || !endpoints_[index].present) return;
    updateRanking(index, false);
    ++endpoints_[index].inFlight;
    ++totalInFlight_;
    updateRanking(index, true);
}

void LoadBalancer::requestEnded(Index index, std::optional<Duration> latency, Duration now) {
    if (index >= endpoints_.size() || !endpoints_[index].present || endpoints_[index].inFlight == 0)
        return;  // removed in the meantime
    updateRanking(index, false);
    Endpoint& endpoint = endpoints_[index];
    --endpoint.inFlight;
    --totalInFlight_;
    if (latency) {
        const double seconds = std::chrono::duration<double>(*latency).count();
        // A slower response counts at once; faster ones lower the estimate over about a second.
        const double sinceLastUpdate = std::chrono::duration<double>(now - endpoint.latencyUpdatedAt).count();
        if (endpoint.latencySeconds == 0 || seconds > endpoint.latencySeconds)
            endpoint.latencySeconds = seconds;
        else
            endpoint.latencySeconds +=
                (seconds - endpoint.latencySeconds) * (1 - std::exp(-std::max(0.01, sinceLastUpdate)));
        endpoint.latencyUpdatedAt = now;
        meanLatencySeconds_ += (seconds - meanLatencySeconds_) * (meanLatencySeconds_ == 0 ? 1 : 0.02);
    }
    updateRanking(index, true);
}

// The expected wait of one more request. An endpoint without a response so far is assumed to have the mean
// latency of the group.
double LoadBalancer::cost(const Endpoint& endpoint) const {
    const double expectedLatency =
        endpoint.latencySeconds > 0 ? endpoint.latencySeconds : std::max(meanLatencySeconds_, 1e-6);
    return load(endpoint) * expectedLatency;
}

std::optional<LoadBalancer::Index> LoadBalancer::choose(std::uint64_t routingKey, std::optional<Index> avoid,
                                                        const IsUsable& isUsable, std::mt19937& random) {
    if (presentEndpoints_.empty()) return std::nullopt;
    switch (policy_) {
        case LoadBalancingPolicy::RoundRobin:
            return chooseRoundRobin(avoid, isUsable);
        case LoadBalancingPolicy::PowerOfTwoChoices:
            return chooseOfTwo(avoid, isUsable, random);
        case LoadBalancingPolicy::ConsistentHash:
            return chooseByHash(routingKey, avoid, isUsable);
        case LoadBalancingPolicy::LeastRequests:
        case LoadBalancingPolicy::LowestLatency:
            return chooseRanked(avoid, isUsable, random);
    }
    return std::nullopt;
}

std::optional<LoadBalancer::Index> LoadBalancer::chooseRoundRobin(std::optional<Index> avoid,
                                                                  const IsUsable& isUsable) {
    std::optional<Index> avoidedEndpoint;
    for (std::size_t step = 0; step < presentEndpoints_.size(); ++step) {
        const Index index = presentEndpoints_[roundRobinPosition_++ % presentEndpoints_.size()];
        if (!isUsable(index)) continue;
        if (avoid != index) return index;
        avoidedEndpoint = index;
    }
    return avoidedEndpoint;
}

std::optional<LoadBalancer::Index> LoadBalancer::chooseOfTwo(std::optional<Index> avoid,
                                                             const IsUsable& isUsable, std::mt19937& random) {
    std::uniform_int_distribution<std::size_t> anyPosition(0, presentEndpoints_.size() - 1);
    std::optional<Index> chosen;
    int candidates = 0;
    // Two draws are enough while most of the group is usable. If twelve find no endpoint, as in a group that
    // is mostly ejected, all are walked in turn from a random position.
    for (int step = 0; step < 12 && candidates < 2; ++step) {
        const Index index = presentEndpoints_[anyPosition(random)];
        if (avoid == index || chosen == index || !isUsable(index)) continue;
        ++candidates;
        if (!chosen || cost(endpoints_[index]) < cost(endpoints_[*chosen])) chosen = index;
    }
    if (chosen) return chosen;
    roundRobinPosition_ = anyPosition(random);
    return chooseRoundRobin(avoid, isUsable);
}

// Clockwise from the point of the routing key, past endpoints that carry more than their bounded load.
std::optional<LoadBalancer::Index> LoadBalancer::chooseByHash(std::uint64_t routingKey,
                                                              std::optional<Index> avoid,
                                                              const IsUsable& isUsable) {
    const double mean = (static_cast<double>(totalInFlight_) + 1) / std::max(totalWeight_, 1e-9);
    const auto start = std::lower_bound(hashRing_.begin(), hashRing_.end(),
                                        std::pair<std::uint64_t, Index>{splitMix64(routingKey), 0});
    const auto startPosition = static_cast<std::size_t>(start - hashRing_.begin());
    std::optional<Index> fallback;
    // Not all endpoints are above the mean, so that one turn of the ring finds one under the bound if all are
    // usable.
    for (std::size_t step = 0; step < hashRing_.size(); ++step) {
        const Index index = hashRing_[(startPosition + step) % hashRing_.size()].second;
        if (avoid == index || !isUsable(index)) continue;
        if (!fallback) fallback = index;
        if (endpoints_[index].inFlight + 1 <= std::ceil(kLoadBoundFactor * mean * endpoints_[index].weight))
            return index;
    }
    if (fallback) return fallback;
    return avoid && *avoid < endpoints_.size() && endpoints_[*avoid].present && isUsable(*avoid)
               ? avoid
               : std::nullopt;
}

std::optional<LoadBalancer::Index> LoadBalancer::chooseRanked(std::optional<Index> avoid,
                                                              const IsUsable& isUsable,
                                                              std::mt19937& random) {
    std::optional<Index> avoidedEndpoint;
    // A random one of equal endpoints, or all clients of a fleet would begin with the same one.
    std::vector<Index> ties;
    double bestScore = 0;
    for (const auto& [score, index] : ranking_) {
        if (!ties.empty() && (score > bestScore || ties.size() >= 16)) break;
        if (!isUsable(index)) continue;
        if (avoid == index) {
            avoidedEndpoint = index;
            continue;
        }
        bestScore = score;
        ties.push_back(index);
    }
    if (ties.empty()) return avoidedEndpoint;
    return ties[std::uniform_int_distribution<std::size_t>(0, ties.size() - 1)(random)];
}

}  // namespace cottonwing::routing
