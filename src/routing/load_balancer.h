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

enum class Way {
    RoundRobin,
    Least,       // the fewest in flight for its weight
    TwoChoices,  // of two at random, the one with less in flight and quicker of late
    BySubject,   // the same one for the same subject, while that one is not overloaded
    Fastest,     // that answered fastest of late: a baseline, as all clients run to the same one
};

class Choice {
public:
    using Index = std::size_t;
    using Usable = std::function<bool(Index)>;

    explicit Choice(Way way) : way_(way) {}

    // Places are those of Members: given from outside and used again.
    void add(Index at, double weight = 1);
    void remove(Index at);
    void setWeight(Index at, double weight);  // above 0; what a server says of its free value goes in here

    // Nothing where none may be used. avoid: one that was tried before, taken only where no other may be
    // used.
    std::optional<Index> choose(std::uint64_t subject, std::optional<Index> avoid, const Usable& usable,
                                std::mt19937& chance);
    void began(Index at);
    // took: nothing where it tells nothing of how quick the server is (a rejection or a failure may be very
    // fast).
    void ended(Index at, std::optional<Duration> took, Duration now);

    int inFlight(Index at) const { return all_[at].inFlight; }
    double seconds(Index at) const { return all_[at].seconds; }
    std::size_t size() const { return order_.size(); }

    static constexpr double kBoundedLoad = 1.25;  // of the mean, that one may carry for its subjects
    static constexpr int kPointsEach = 64;        // on the ring of subjects

private:
    struct Member {
        double weight = 1, seconds = 0;  // seconds: quick to grow, slow to fall; 0 while nothing was seen
        Duration seenAt{0};
        int inFlight = 0;
        std::size_t place = 0;  // in order_
        bool present = false;
    };
    double load(const Member& member) const { return (member.inFlight + 1) / member.weight; }
    double cost(const Member& member) const;
    void rank(Index at, bool in);
    std::optional<Index> robin(std::optional<Index> avoid, const Usable& usable);
    std::optional<Index> two(std::optional<Index> avoid, const Usable& usable, std::mt19937& chance);
    std::optional<Index> bySubject(std::uint64_t subject, std::optional<Index> avoid, const Usable& usable);
    std::optional<Index> ranked(std::optional<Index> avoid, const Usable& usable, std::mt19937& chance);

    Way way_;
    std::vector<Member> all_;
    std::vector<Index> order_;                           // those present
    std::vector<std::pair<std::uint64_t, Index>> ring_;  // sorted; BySubject alone
    std::set<std::pair<double, Index>> ranked_;          // Least by load, Fastest by seconds
    std::size_t next_ = 0;
    std::uint64_t flying_ = 0;
    double weights_ = 0, usual_ = 0;
};

// A good spread of any number over 64 bits.
std::uint64_t spread(std::uint64_t number);

}  // namespace cottonwing::routing
