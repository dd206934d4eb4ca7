// Which of a group a request goes to. Pure; the cost of a choice does not grow with the group (but for
// Least and Fastest, which grow with its logarithm).
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
    LeastRequests,      // the fewest in flight for its weight
    PowerOfTwoChoices,  // of two at random, the one with less in flight and quicker of late
    ConsistentHash,     // the same one for the same subject, while that one is not overloaded
    LowestLatency,      // that answered fastest of late: a baseline, as all clients run to the same one
};

class LoadBalancer {
public:
    using Index = std::size_t;
    using IsUsable = std::function<bool(Index)>;

    explicit LoadBalancer(LoadBalancingPolicy policy) : policy_(policy) {}

    // Places are those of Members: given from outside and used again.
    void add(Index index, double weight = 1);
    void remove(Index index);
    void setWeight(Index index, double weight);  // above 0; what a server says of its free value goes in here

    // Nothing where none may be used. avoid: one that was tried before, taken only where no other may be
    // used.
    std::optional<Index> choose(std::uint64_t routingKey, std::optional<Index> avoid,
                                const IsUsable& isUsable, std::mt19937& random);
    void requestStarted(Index index);
    // took: nothing where it tells nothing of how quick the server is (a rejection or a failure may be very
    // fast).
    void requestEnded(Index index, std::optional<Duration> latency, Duration now);

    int inFlight(Index index) const { return endpoints_[index].inFlight; }
    double latencySeconds(Index index) const { return endpoints_[index].latencySeconds; }
    std::size_t size() const { return presentEndpoints_.size(); }

    static constexpr double kLoadBoundFactor = 1.25;   // of the mean, that one may carry for its subjects
    static constexpr int kRingPointsPerEndpoint = 64;  // on the ring of subjects

private:
    struct Endpoint {
        double weight = 1,
               latencySeconds = 0;  // seconds: quick to grow, slow to fall; 0 while nothing was seen
        Duration latencyUpdatedAt{0};
        int inFlight = 0;
        std::size_t orderPosition = 0;  // in order_
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
    std::vector<Endpoint> endpoints_;
    std::vector<Index> presentEndpoints_;                    // those present
    std::vector<std::pair<std::uint64_t, Index>> hashRing_;  // sorted; BySubject alone
    std::set<std::pair<double, Index>> ranking_;             // Least by load, Fastest by seconds
    std::size_t roundRobinPosition_ = 0;
    std::uint64_t totalInFlight_ = 0;
    double totalWeight_ = 0, meanLatencySeconds_ = 0;
};

// A good spread of any number over 64 bits.
std::uint64_t splitMix64(std::uint64_t value);

}  // namespace cottonwing::routing
