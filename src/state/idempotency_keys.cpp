#include "state/idempotency_keys.h"

#include <algorithm>

namespace cottonwing::state {

namespace {

// A first try that has yet to end is looked at again this much later: its key may not run out before it.
constexpr Duration kLater = std::chrono::seconds(1);

}  // namespace

IdempotencyKeys::Claim IdempotencyKeys::claim(const std::string& key, RequestId id, std::size_t bodyMark,
                                              Duration arrived, Duration now, KeyTimes times) {
    expire(now);
    if (const auto at = table_.find(key); at != table_.end()) {
        if (at->second.outcome == Outcome::Pending || arrived <= at->second.windowEnds)
            return at->second.bodyMark == bodyMark ? Claim::Repeat : Claim::Conflict;
        erase(at);
    }
    const std::size_t takes = kEachTakes + 2 * key.size();
    if (!makeRoom(takes)) return Claim::NoRoom;
    bytes_ += takes;
    Entry& entry = table_[key];
    entry.first = id;
    entry.bodyMark = bodyMark;
    // Counted from the reading, which is never before the arrival that the window counts from.
    entry.windowEnds = now + times.window;
    entry.until = entry.windowEnds + times.kept;
    ends_.emplace(entry.until, key);
    return Claim::First;
}

RequestId IdempotencyKeys::holder(const std::string& key) const {
    const auto at = table_.find(key);
    return at == table_.end() ? 0 : at->second.first;
}

IdempotencyKeys::Known IdempotencyKeys::join(const std::string& key, RequestId id) {
    const auto at = table_.find(key);
    if (at == table_.end()) return {};
    Entry& entry = at->second;
    if (entry.outcome == Outcome::Pending) entry.waiting.push_back(id);
    // Done, but there was no room for what it gave: it can't be told again, and must not run again.
    if (entry.outcome == Outcome::Ok && !entry.result) return {Outcome::Failed, {}};
    return {entry.outcome, entry.result ? std::string_view(*entry.result) : std::string_view()};
}

void IdempotencyKeys::leave(const std::string& key, RequestId id) {
    if (const auto at = table_.find(key); at != table_.end()) std::erase(at->second.waiting, id);
}

std::vector<RequestId> IdempotencyKeys::ended(const std::string& key, RequestId id, bool well,
                                              std::string_view result) {
    const auto at = heldBy(key, id);
    if (at == table_.end()) return {};
    Entry& entry = at->second;
    entry.outcome = well ? Outcome::Ok : Outcome::Failed;
    std::vector<RequestId> waiting = std::exchange(entry.waiting, {});
    if (well && makeRoom(kResultTakes + result.size())) {
        bytes_ += kResultTakes + result.size();
        entry.result = std::string(result);
        entry.number = ++results_;
        byResult_.emplace(entry.number, at);
    }
    return waiting;
}

std::vector<RequestId> IdempotencyKeys::release(const std::string& key, RequestId id) {
    const auto at = heldBy(key, id);
    if (at == table_.end()) return {};
    std::vector<RequestId> waiting = std::exchange(at->second.waiting, {});
    erase(at);
    return waiting;
}

IdempotencyKeys::Table::iterator IdempotencyKeys::heldBy(const std::string& key, RequestId id) {
    const auto at = table_.find(key);
    return at != table_.end() && at->second.first == id && at->second.outcome == Outcome::Pending
               ? at
               : table_.end();
}

void IdempotencyKeys::erase(Table::iterator at) {
    dropResult(at->second);
    bytes_ -= kEachTakes + 2 * at->first.size();
    ends_.erase({at->second.until, at->first});
    table_.erase(at);
}

void IdempotencyKeys::dropResult(Entry& entry) {
    if (!entry.result) return;
    byResult_.erase(entry.number);
    bytes_ -= kResultTakes + entry.result->size();
    entry.result.reset();
}

bool IdempotencyKeys::makeRoom(std::size_t wanted) {
    while (bytes_ + wanted > most_ && !byResult_.empty()) dropResult(byResult_.begin()->second->second);
    return bytes_ + wanted <= most_;
}

void IdempotencyKeys::expire(Duration now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
        const auto at = table_.find(ends_.begin()->second);
        if (at->second.outcome != Outcome::Pending) {
            erase(at);
            continue;
        }
        ends_.erase(ends_.begin());
        at->second.until = now + kLater;
        ends_.emplace(at->second.until, at->first);
    }
}

}  // namespace cottonwing::state
