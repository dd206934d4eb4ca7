// Idempotency keys within their windows: which try of a request holds its key, what became of it, and the
// result that later tries are answered with. Pure: time passed in, nothing heard of loops or protocols.
//
// The invariant, kept here alone: while a key is held, no other try that arrived within its window may run.
#pragma once

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

// How long a key counts. window: a repeat that arrives within it of the first try must not run. kept: for
// how long after that a repeat may still be read that arrived in time.
struct KeyTimes {
    Duration window{0}, kept{0};
};

class IdempotencyKeys {
public:
    // mostBytes bounds keys and results together; results give way to keys, the oldest first.
    explicit IdempotencyKeys(std::size_t mostBytes) : most_(mostBytes) {}

    enum class Claim {
        First,     // the key is this try's now, until it ends or is released
        Repeat,    // another try has it
        Conflict,  // a request with another body has it, so this is no try of that one
        NoRoom     // it may not run, and nothing has run
    };
    // A try that arrived at that time, read now. All tries of a request have one body: bodyMark stands for
    // it.
    Claim claim(const std::string& key, RequestId id, std::size_t bodyMark, Duration arrived, Duration now,
                KeyTimes times);
    // Whose key it is; 0: nobody's.
    RequestId holder(const std::string& key) const;

    enum class Outcome { Pending, Ok, Failed, NeverRan };
    struct Known {
        Outcome outcome = Outcome::NeverRan;
        std::string_view result;  // good until the next call that is not const
    };
    // What a repeat has to know; it is told later, by the end of the first try, where that is pending.
    Known join(const std::string& key, RequestId id);
    void leave(const std::string& key, RequestId id);

    // The first try ended after it ran, well with its result or not; those that wait for it are returned.
    std::vector<RequestId> ended(const std::string& key, RequestId id, bool well, std::string_view result);
    // The first try is known not to have run: the key is nobody's. Those that wait are returned.
    std::vector<RequestId> release(const std::string& key, RequestId id);

    std::size_t size() const { return table_.size(); }
    std::size_t bytes() const { return bytes_; }

private:
    struct Entry {
        RequestId first = 0;
        std::size_t bodyMark = 0;
        Duration windowEnds{0}, until{0};
        Outcome outcome = Outcome::Pending;
        std::optional<std::string> result;  // of one that ended well, while there is room
        std::uint64_t number = 0;           // of the result, in the order they came
        std::vector<RequestId> waiting;     // emptied by the end of the first try
    };
    using Table = std::map<std::string, Entry, std::less<>>;
    // What an entry takes beside its texts: its nodes in three tables.
    static constexpr std::size_t kEachTakes = 512, kResultTakes = 128;

    Table::iterator heldBy(const std::string& key, RequestId id);
    void erase(Table::iterator at);
    void dropResult(Entry& entry);
    bool makeRoom(std::size_t wanted);
    void expire(Duration now);

    const std::size_t most_;
    std::size_t bytes_ = 0;
    std::uint64_t results_ = 0;                          // kept so far
    Table table_;                                        // emptied by time and by release
    std::set<std::pair<Duration, std::string>> ends_;    // keys by when they run out
    std::map<std::uint64_t, Table::iterator> byResult_;  // entries with a result, the oldest in front
};

}  // namespace cottonwing::state
