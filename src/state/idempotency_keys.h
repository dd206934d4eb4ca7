/// @file
/// Idempotency keys within their windows: which attempt of a request holds its key, the outcome of that
/// attempt, and the result with which duplicates are answered.
///
/// Pure: the time is passed in, and there is no dependency on event loops or protocols.
///
/// Invariant, enforced only here: while a key is held, no other attempt that arrived within the key's window
/// may run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "overload/types.h"

namespace cottonwing::state {

/// How long a key is retained.
struct KeyRetention {
    /// A duplicate that arrives within this time after the first attempt was read must not run.
    Duration window{0};
    /// How long after the window a duplicate that arrived within it may still be read.
    Duration lateReadAllowance{0};
};

/// An attempt that claims a key.
struct KeyAttempt {
    RequestId id = 0;
    std::size_t bodyHash = 0;  ///< Hash of the body, which is the same in all attempts of a request.
    Timestamp arrivedAt{0};    ///< When it arrived at the server.
    Timestamp readAt{0};       ///< When it was read: the current time. Never before arrivedAt.
};

/// The result of a claim.
enum class KeyClaim {
    Granted,     ///< The attempt holds the key until its run ends or the key is released.
    Duplicate,   ///< Another attempt holds the key.
    Conflict,    ///< A request with a different body holds the key, so this is not an attempt of it.
    NoCapacity,  ///< There is no memory for the key. The attempt must not run, and none has run.
};

/// The outcome of the attempt that holds a key.
enum class KeyOutcome {
    Pending,    ///< Its run has not ended yet.
    Completed,  ///< It ran; its result is known.
    Failed,     ///< It ran, or may have run, and no result is available.
    NeverRan    ///< No attempt is known to have run.
};

/// An outcome with the result, if there is one.
struct KeyResult {
    KeyOutcome outcome = KeyOutcome::NeverRan;
    /// Set for KeyOutcome::Completed. Valid until the next call of a non-const function of the table.
    std::string_view result;
};

/// The table of idempotency keys. Not thread-safe.
class IdempotencyKeys {
public:
    /// @param maxBytes memory limit for keys and results together. Results are evicted to make room, the
    /// oldest first.
    explicit IdempotencyKeys(std::size_t maxBytes) : maxBytes_(maxBytes) {}

    /// Claims the key for an attempt. Must be called before the attempt runs.
    /// @param attempt its readAt is taken as the current time; keys that have expired by then are removed.
    KeyClaim claim(const std::string& key, const KeyAttempt& attempt, KeyRetention retention);

    /// @return the attempt that holds the key, if any.
    std::optional<RequestId> holder(const std::string& key) const;

    /// Returns the outcome of the attempt that holds the key. While it is pending, the duplicate waits: it
    /// will be returned by completed(), failed() or release().
    KeyResult join(const std::string& key, RequestId duplicate);
    /// Removes a duplicate that no longer waits.
    void stopWaiting(const std::string& key, RequestId duplicate);

    /// The run of the attempt that holds the key succeeded. No effect if `holder` does not hold the key.
    /// @param result copied if there is memory for it.
    /// @return the duplicates that waited.
    std::vector<RequestId> completed(const std::string& key, RequestId holder, std::string_view result);
    /// The run of the attempt that holds the key failed, or may have run without a known result. No effect if
    /// `holder` does not hold the key.
    /// @return the duplicates that waited.
    std::vector<RequestId> failed(const std::string& key, RequestId holder);
    /// Releases the key, because the attempt that holds it is known not to have run. No effect if `holder`
    /// does not hold the key or its run has ended.
    /// @return the duplicates that waited.
    std::vector<RequestId> release(const std::string& key, RequestId holder);

    /// @return the number of keys.
    std::size_t size() const { return table_.size(); }
    /// @return the memory accounted for keys and results, in bytes.
    std::size_t bytes() const { return bytes_; }

private:
    struct Entry {
        RequestId holder = 0;
        std::size_t bodyHash = 0;
        Timestamp windowEnd{0};
        Timestamp retainedUntil{0};
        KeyOutcome outcome = KeyOutcome::Pending;
        std::optional<std::string> result;         // of KeyOutcome::Completed, while there is memory for it
        std::uint64_t resultNumber = 0;            // in the order in which results were stored
        std::vector<RequestId> waitingDuplicates;  // cleared when the holder's run ends
    };
    using Table = std::map<std::string, Entry, std::less<>>;
    // Memory accounted in addition to the strings: the nodes of a key in three tables, and of a result.
    static constexpr std::size_t kEntryOverheadBytes = 512;
    static constexpr std::size_t kResultOverheadBytes = 128;
    // Two of the tables contain a copy of the key.
    static constexpr std::size_t kKeyCopies = 2;

    static std::size_t bytesOfKey(const std::string& key);
    static std::size_t bytesOfResult(std::string_view result);
    Table::iterator findPendingOf(const std::string& key, RequestId holder);
    void insert(const std::string& key, Entry entry);
    void storeResult(Table::iterator position, std::string_view result);
    void erase(Table::iterator position);
    void dropResult(Entry& entry);
    bool evictResultsFor(std::size_t wantedBytes);
    void expire(Timestamp now);

    const std::size_t maxBytes_;
    std::size_t bytes_ = 0;
    std::uint64_t lastResultNumber_ = 0;                     // of the result that was stored last
    Table table_;                                            // entries are removed on expiry and by release()
    std::set<std::pair<Timestamp, std::string>> expiries_;   // end of retention and key
    std::map<std::uint64_t, Table::iterator> resultsByAge_;  // entries with a result, the oldest first
};

}  // namespace cottonwing::state
