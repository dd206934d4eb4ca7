#include "routing/outlier_detection.h"

#include <algorithm>
#include <bit>

namespace cottonwing::routing {

Members::Index Members::add() {
    ++present_;
    if (free_.empty()) {
        all_.emplace_back();
        return all_.size() - 1;
    }
    const Index at = free_.back();
    free_.pop_back();
    all_[at] = Member{};
    return at;
}

void Members::remove(Index at) {
    Member& member = all_[at];
    if (!member.present) return;
    if (member.out) --out_;
    member = Member{};
    member.present = false;
    --present_;
    free_.push_back(at);
}

void Members::book(Member& member, bool failed) {
    const int most = std::min(terms_.window, 64);
    member.lastFailed =
        (member.lastFailed << 1 | (failed ? 1U : 0U)) & (most == 64 ? ~0ULL : (1ULL << most) - 1);
    member.seen = std::min(member.seen + 1, most);
    member.failed = std::popcount(member.lastFailed);
    member.inARow = failed ? member.inARow + 1 : 0;
}

void Members::good(Index at, Duration now) {
    Member& member = all_[at];
    if (!member.present) return;
    member.probing = false;
    if (member.out) {
        // One that was sent before it went out may still end well: only what is asked while it is on
        // probation tells of its return.
        if (now < member.until) return;
        if (++member.probes >= terms_.probesToReturn) bring(member, now);
        return;
    }
    book(member, false);
}

void Members::failed(Index at, Duration now, std::mt19937& chance) {
    Member& member = all_[at];
    if (!member.present) return;
    member.probing = false;
    if (member.out) {
        if (now >= member.until) takeOut(member, now, chance);
        return;
    }
    book(member, true);
    const bool share = member.seen >= std::min(terms_.window, 64) &&
                       member.failed >= terms_.failedShare * static_cast<double>(member.seen);
    if (member.inARow >= terms_.failuresInARow || share) takeOut(member, now, chance);
}

void Members::checked(Index at, bool good, Duration now, std::mt19937& chance) {
    Member& member = all_[at];
    if (!member.present) return;
    member.badChecks = good ? 0 : member.badChecks + 1;
    member.goodChecks = good ? member.goodChecks + 1 : 0;
    if (member.badChecks >= terms_.badChecks) {
        member.badChecks = 0;
        if (!member.out || now >= member.until) takeOut(member, now, chance);
        return;
    }
    if (member.out && now >= member.until && member.goodChecks >= terms_.goodChecks) {
        member.goodChecks = 0;
        if (++member.probes >= terms_.probesToReturn) bring(member, now);
    }
}

bool Members::usable(Index at, Duration now) const {
    const Member& member = all_[at];
    if (!member.present) return false;
    if (!member.out || panics()) return true;
    return now >= member.until && !member.probing;
}

void Members::began(Index at, Duration now) {
    Member& member = all_[at];
    if (member.out && now >= member.until) member.probing = true;
}

void Members::moot(Index at) { all_[at].probing = false; }

Members::State Members::state(Index at, Duration now) const {
    const Member& member = all_[at];
    return !member.out ? State::In : now >= member.until ? State::Probing : State::Out;
}

// Each return that went wrong doubles the time out, so that one that is only sometimes well changes its state
// ever more seldom; jittered, so that those that went out together do not come back as one.
void Members::takeOut(Member& member, Duration now, std::mt19937& chance) {
    if (!member.out) {
        ++out_;
        ++changes_;
        if (member.backAt == Duration(0) || now - member.backAt >= terms_.calm) member.times = Duration(0);
    }
    const Duration out =
        std::min(member.times == Duration(0) ? terms_.outFor : member.times * 2, terms_.outAtMost);
    const Duration backAt = member.backAt;
    member = Member{};
    member.out = true;
    member.backAt = backAt;
    member.times = out;
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(chance);
    member.until = now + Duration(static_cast<std::int64_t>(static_cast<double>(out.count()) * jitter));
}

void Members::bring(Member& member, Duration now) {
    --out_;
    ++changes_;
    const Duration times = member.times;
    member = Member{};
    member.times = times;
    member.backAt = now;
}

}  // namespace cottonwing::routing
