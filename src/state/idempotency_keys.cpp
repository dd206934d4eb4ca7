#include "state/idempotency_keys.h"

#include <algorithm>

namespace cottonwing::state {

namespace {

// A key must not expire before its holder's run has ended. Until then, its retention is extended by this
// time.
constexpr Duration kPendingExtension = std::chrono::seconds(1);

}  // namespace

KeyClaim IdempotencyKeys::claim(const std::string& key, const KeyAttempt& attempt, KeyRetention retention) {
    expire(attempt.readAt);
    if (const auto position = table_.find(key); position != table_.end()) {
        const Entry& held = position->second;
        if (held.outcome == KeyOutcome::Pending || attempt.arrivedAt <= held.windowEnd)
            return held.bodyHash == attempt.bodyHash ? KeyClaim::Duplicate : KeyClaim::Conflict;
        erase(position);
    }
    if (!evictResultsFor(bytesOfKey(key))) return KeyClaim::NoCapacity;
    Entry entry;
    entry.holder = attempt.id;
    entry.bodyHash = attempt.bodyHash;
    // The window starts when the attempt is read, which is never before its arrival, so it is never too
    // short.
    entry.windowEnd = attempt.readAt + retention.window;
    entry.retainedUntil = entry.windowEnd + retention.lateReadAllowance;
    insert(key, std::move(entry));
    return KeyClaim::Granted;
}

std::optional<RequestId> IdempotencyKeys::holder(const std::string& key) const {
    const auto position = table_.find(key);
    if (position == table_.end()) return std::nullopt;
    return position->second.holder;
}

KeyResult IdempotencyKeys::join(const std::string& key, RequestId duplicate) {
    const auto position = table_.find(key);
    if (position == table_.end()) return {};
    Entry& entry = position->second;
    if (entry.outcome == KeyOutcome::Pending) entry.waitingDuplicates.push_back(duplicate);
    // Completed, but the result was not stored or was evicted for lack of memory: it cannot be returned
    // again, and the request must not run again.
    if (entry.outcome == KeyOutcome::Completed && !entry.result) return {KeyOutcome::Failed, {}};
    return {entry.outcome, entry.result ? std::string_view(*entry.result) : std::string_view()};
}

void IdempotencyKeys::stopWaiting(const std::string& key, RequestId duplicate) {
    const auto position = table_.find(key);
    if (position != table_.end()) std::erase(position->second.waitingDuplicates, duplicate);
}

std::vector<RequestId> IdempotencyKeys::completed(const std::string& key, RequestId holder,
                                                  std::string_view result) {
    const auto position = findPendingOf(key, holder);
    if (position == table_.end()) return {};
    position->second.outcome = KeyOutcome::Completed;
    storeResult(position, result);
    return std::exchange(position->second.waitingDuplicates, {});
}

std::vector<RequestId> IdempotencyKeys::failed(const std::string& key, RequestId holder) {
    const auto position = findPendingOf(key, holder);
    if (position == table_.end()) return {};
    position->second.outcome = KeyOutcome::Failed;
    return std::exchange(position->second.waitingDuplicates, {});
}

std::vector<RequestId> IdempotencyKeys::release(const std::string& key, RequestId holder) {
    const auto position = findPendingOf(key, holder);
    if (position == table_.end()) return {};
    std::vector<RequestId> waiting = std::exchange(position->second.waitingDuplicates, {});
    erase(position);
    return waiting;
}

std::size_t IdempotencyKeys::bytesOfKey(const std::string& key) {
    return kEntryOverheadBytes + kKeyCopies * key.size();
}

std::size_t IdempotencyKeys::bytesOfResult(std::string_view result) {
    return kResultOverheadBytes + result.size();
}

// The entry of the key if this attempt holds it and its outcome is pending; otherwise table_.end().
IdempotencyKeys::Table::iterator IdempotencyKeys::findPendingOf(const std::string& key, RequestId holder) {
    const auto position = table_.find(key);
    if (position == table_.end()) return position;
    const Entry& entry = position->second;
    const bool matches = entry.holder == holder && entry.outcome == KeyOutcome::Pending;
    return matches ? position : table_.end();
}

void IdempotencyKeys::insert(const std::string& key, Entry entry) {
    bytes_ += bytesOfKey(key);
    expiries_.emplace(entry.retainedUntil, key);
    table_[key] = std::move(entry);
}

void IdempotencyKeys::storeResult(Table::iterator position, std::string_view result) {
    const std::size_t resultBytes = bytesOfResult(result);
    if (!evictResultsFor(resultBytes)) return;
    bytes_ += resultBytes;
    ++lastResultNumber_;
    position->second.result = std::string(result);
    position->second.resultNumber = lastResultNumber_;
    resultsByAge_.emplace(lastResultNumber_, position);
}

void IdempotencyKeys::erase(Table::iterator position) {
    dropResult(position->second);
    bytes_ -= bytesOfKey(position->first);
    expiries_.erase({position->second.retainedUntil, position->first});
    table_.erase(position);
}

void IdempotencyKeys::dropResult(Entry& entry) {
    if (!entry.result) return;
    resultsByAge_.erase(entry.resultNumber);
    bytes_ -= bytesOfResult(*entry.result);
    entry.result.reset();
}

// Evicts results, the oldest first, until this much memory is free. Returns whether it is.
bool IdempotencyKeys::evictResultsFor(std::size_t wantedBytes) {
    while (bytes_ + wantedBytes > maxBytes_ && !resultsByAge_.empty())
        dropResult(resultsByAge_.begin()->second->second);
    return bytes_ + wantedBytes <= maxBytes_;
}

void IdempotencyKeys::expire(Timestamp now) {
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto position = table_.find(expiries_.begin()->second);
        Entry& entry = position->second;
        if (entry.outcome != KeyOutcome::Pending) {
            erase(position);
            continue;
        }
        expiries_.erase(expiries_.begin());
        entry.retainedUntil = now + kPendingExtension;
        expiries_.emplace(entry.retainedUntil, position->first);
    }
}

}  // namespace cottonwing::state
