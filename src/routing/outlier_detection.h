// Who of a group is used: what real requests show and what active checks say are weighed together, those
// that do badly are left out for a while, and never more than a stated part of the group. Pure.
//
// A member is out after failures in a row, or when too large a share of its last requests failed; it comes
// back by probes, one at a time, after a time out that grows with each return that went wrong. Where more
// than the stated part would be out, the group panics: everybody is used again, as those that look well would
// otherwise fall under the load of all.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "overload/types.h"

namespace cottonwing::routing {

struct MemberTerms {
    int failuresInARow = 5;  // of real requests
    int window = 20;         // of the last real requests
    double failedShare = 0.5;
    int badChecks = 2;   // active checks in a row that take it out
    int goodChecks = 2;  // that count as a good probe
    int probesToReturn = 3;
    double mostOut = 0.5;  // part of the group; beyond it all are used
    Duration outFor{std::chrono::seconds(1)};
    Duration outAtMost{std::chrono::seconds(30)};
    Duration calm{std::chrono::seconds(60)};  // in service for this long the next time out is short again
};

class Members {
public:
    enum class State { In, Out, Probing };
    using Index = std::size_t;

    explicit Members(const MemberTerms& terms) : terms_(terms) {}

    // Positions never move; a removed one keeps its place until it is taken by the next added.
    Index add();
    void remove(Index at);
    std::size_t size() const { return present_; }
    std::size_t places() const { return all_.size(); }
    bool present(Index at) const { return all_[at].present; }

    // What was seen. Failures are those that speak of the member, not of the request or of us.
    void good(Index at, Duration now);
    void failed(Index at, Duration now, std::mt19937& chance);
    void checked(Index at, bool good, Duration now, std::mt19937& chance);

    // May a request be sent there now? A probing member takes one at a time; began() says it was taken.
    bool usable(Index at, Duration now) const;
    void began(Index at, Duration now);
    // The probe ended and told nothing.
    void moot(Index at);

    State state(Index at, Duration now) const;
    bool panics() const { return out_ > mayBeOut(); }
    std::size_t out() const { return out_; }
    std::uint64_t changes() const { return changes_; }  // times that one went out or came back

private:
    struct Member {
        bool present = true, out = false, probing = false;
        int inARow = 0, seen = 0, failed = 0, badChecks = 0, goodChecks = 0, probes = 0;
        std::uint64_t lastFailed = 0;  // bits of the window, the newest lowest
        Duration until{0}, times{0}, backAt{0};
    };
    std::size_t mayBeOut() const {
        return static_cast<std::size_t>(terms_.mostOut * static_cast<double>(present_));
    }
    void takeOut(Member& member, Duration now, std::mt19937& chance);
    void bring(Member& member, Duration now);
    void book(Member& member, bool failed);

    MemberTerms terms_;
    std::vector<Member> all_;
    std::vector<Index> free_;
    std::size_t present_ = 0, out_ = 0;
    std::uint64_t changes_ = 0;
};

}  // namespace cottonwing::routing
