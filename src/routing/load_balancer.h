/// @file
/// Selects the endpoint of a group that a request is sent to. Pure: time and random numbers come in as
/// arguments. The cost of a selection does not grow with the size of the group, except for LeastRequests and
/// LowestLatency, where it grows with its logarithm.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "overload/types.h"

namespace cottonwing::routing {

enum class LoadBalancingPolicy {
    RoundRobin,
    LeastRequests,      ///< The endpoint with the fewest requests in flight for its weight.
    PowerOfTwoChoices,  ///< Of two random endpoints, the one with fewer requests in flight and lower latency.
    ConsistentHash,     ///< The same endpoint for the same routing key, unless that endpoint is overloaded.
    LowestLatency,  ///< The endpoint with the lowest recent latency; a baseline, as all clients choose it.
};

/// The load balancer of one endpoint group.
class LoadBalancer {
public:
    /// Slot of an endpoint, as assigned by OutlierDetector::add.
    using Index = std::size_t;
    using IsUsable = std::function<bool(Index)>;

    explicit LoadBalancer(LoadBalancingPolicy policy) : policy_(policy) {}

    /// Slots are assigned by the caller and reused after remove.
    void add(Index index, double weight = 1);
    void remove(Index index);

    /// @param weight above 0. Also takes the free capacity that a server advertises.
    void setWeight(Index index, double weight);

    /// @param routingKey used by ConsistentHash only.
    /// @param avoid the endpoint of the previous attempt; chosen only if no other is usable.
    /// @return no value if no endpoint is usable.
    std::optional<Index> choose(std::uint64_t routingKey, std::optional<Index> avoid,
                                const IsUsable& isUsable, std::mt19937& random);

    void requestStarted(Index index);

    /// @param latency no value if it does not show how fast the server is: a rejection or a failure may be
    /// very fast.
    void requestEnded(Index index, std::optional<Duration> latency, Duration now);

    int inFlight(Index index) const { return endpoints_[index].inFlight; }

    /// @return the estimated latency in seconds; 0 before the first response.
    double latencySeconds(Index index) const { return endpoints_[index].latencySeconds; }

    std::size_t size() const { return presentEndpoints_.size(); }

    /// Multiple of the mean load up to which ConsistentHash gives an endpoint the requests of its keys.
    static constexpr double kLoadBoundFactor = 1.25;
    static constexpr int kRingPointsPerEndpoint = 64;

private:
    struct Endpoint {
        /// latencySeconds rises at once and falls slowly; 0 before the first response.
        double weight = 1, latencySeconds = 0;
        Duration latencyUpdatedAt{0};
        int inFlight = 0;
        std::size_t orderPosition = 0;  ///< Index into presentEndpoints_.
        bool present = false;
    };
    double load(const Endpoint& endpoint) const { return (endpoint.inFlight + 1) / endpoint.weight; }
    double cost(const Endpoint& endpoint) const;
    void updateRanking(Index index, bool present);
    std::optional<Index> chooseRoundRobin(std::optional<Index> avoid, const IsUsable& isUsable);
    std::optional<Index> chooseOfTwo(std::optional<Index> avoid, const IsUsable& isUsable,
                                     std::mt19937& random);
    std::optional<Index> chooseByHash(std::uint64_t routingKey, std::optional<Index> avoid,
                                      const IsUsable& isUsable);
    std::optional<Index> chooseRanked(std::optional<Index> avoid, const IsUsable& isUsable,
                                      std::mt19937& random);

    LoadBalancingPolicy policy_;
    std::vector<Endpoint> endpoints_;  ///< By slot.
    std::vector<Index> presentEndpoints_;
    std::vector<std::pair<std::uint64_t, Index>> hashRing_;  ///< Sorted; ConsistentHash only.
    /// By load for LeastRequests, by latency for LowestLatency; empty for the other policies.
    std::set<std::pair<double, Index>> ranking_;
    std::size_t roundRobinPosition_ = 0;
    std::uint64_t totalInFlight_ = 0;
    double totalWeight_ = 0, meanLatencySeconds_ = 0;
};

/// The SplitMix64 mixing function: a bijection that spreads any number over 64 bits.
std::uint64_t splitMix64(std::uint64_t value);

}  // namespace cottonwing::routing
