/// @file
/// Idempotency keys within their windows: which attempt of a request holds its key, what became of it, and
/// the result that duplicates are answered with.
///
/// Pure: time is passed in, and nothing is known of loops or protocols.
///
/// The invariant, which is kept here alone: while a key is held, no other attempt that arrived within the
/// key's window may run.
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

/// How long a key counts.
struct KeyRetention {
    /// A duplicate that arrives within this time of the reading of the first attempt must not run.
    Duration window{0};
    /// How long after the window a duplicate that arrived within it may still be read.
    Duration lateReadAllowance{0};
};

/// An attempt that claims a key.
struct KeyAttempt {
    RequestId id = 0;
    std::size_t bodyHash = 0;  ///< Stands for the body, which all attempts of a request share.
    Timestamp arrivedAt{0};    ///< When it arrived at the server.
    Timestamp readAt{0};       ///< When it was read: now. Never before arrivedAt.
};

/// The answer to an attempt that claims a key.
enum class KeyClaim {
    Granted,     ///< The attempt holds the key until its run ends or the key is released.
    Duplicate,   ///< Another attempt holds the key.
    Conflict,    ///< A request with another body holds the key, so this is no attempt of that request.
    NoCapacity,  ///< There is no memory for the key. The attempt may not run, and none has run.
};

/// What became of the attempt that holds a key.
enum class KeyOutcome {
    Pending,    ///< It has yet to end.
    Completed,  ///< It ran; its result is known.
    Failed,     ///< It ran, or may have run, and there is no result to give.
    NeverRan    ///< No attempt is known to have run.
};

/// An outcome with the result, if there is one.
struct KeyResult {
    KeyOutcome outcome = KeyOutcome::NeverRan;
    /// Of KeyOutcome::Completed. Valid until the next call of a function of the table that is not const.
    std::string_view result;
};

/// The table of idempotency keys. Not thread-safe.
class IdempotencyKeys {
public:
    /// @param maxBytes bounds keys and results together. Results give way to keys, the oldest first.
    explicit IdempotencyKeys(std::size_t maxBytes) : maxBytes_(maxBytes) {}

    /// Claims the key for an attempt, before it may run.
    /// @param attempt whose readAt serves as the present; keys that have run out by then are removed.
    KeyClaim claim(const std::string& key, const KeyAttempt& attempt, KeyRetention retention);

    /// @return the attempt that holds the key; 0: none.
    RequestId holder(const std::string& key) const;

    /// Asks what became of the attempt that holds the key. Where that is pending, the duplicate waits: it is
    /// returned by completed, failed or release.
    KeyResult join(const std::string& key, RequestId duplicate);
    /// A duplicate no longer waits.
    void stopWaiting(const std::string& key, RequestId duplicate);

    /// The run of the attempt that holds the key succeeded. Without effect if that attempt does not hold it.
    /// @param result copied while there is memory for it.
    /// @return the duplicates that waited.
    std::vector<RequestId> completed(const std::string& key, RequestId holder, std::string_view result);
    /// The run of the attempt that holds the key failed, or may have run. Without effect if that attempt does
    /// not hold it.
    /// @return the duplicates that waited.
    std::vector<RequestId> failed(const std::string& key, RequestId holder);
    /// The attempt that holds the key is known not to have run: the key is free again. Without effect if that
    /// attempt does not hold the key or its run has ended.
    /// @return the duplicates that waited.
    std::vector<RequestId> release(const std::string& key, RequestId holder);

    /// @return the number of keys.
    std::size_t size() const { return table_.size(); }
    /// @return the memory booked for keys and results.
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
        std::vector<RequestId> waitingDuplicates;  // duplicates; emptied by the end of the holder
    };
    using Table = std::map<std::string, Entry, std::less<>>;
    // Memory booked beside the texts: nodes in three tables, and of a result.
    static constexpr std::size_t kEntryOverheadBytes = 512;
    static constexpr std::size_t kResultOverheadBytes = 128;
    // The text of a key is in two of the tables.
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
    std::uint64_t lastResultNumber_ = 0;                     // so far
    Table table_;                                            // emptied by time and by release
    std::set<std::pair<Timestamp, std::string>> expiries_;   // keys by the end of their retention
    std::map<std::uint64_t, Table::iterator> resultsByAge_;  // entries with a result, the oldest in front
};

}  // namespace cottonwing::state
