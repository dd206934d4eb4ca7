/// @file
/// The ids of requests whose runs were started and must not be started again.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "overload/types.h"

namespace cottonwing::request {

/// Remembers requests that may run only once, for as long as their clients may send them again. A client that
/// lost its connection may come again with the id of a request that has run.
class StartedRequests {
public:
    /// @param maxBytes  limits the memory of all entries
    explicit StartedRequests(std::size_t maxBytes);

    /// Whether another request can be remembered.
    bool hasRoom(Timestamp now);
    /// Whether the request was started and its time has not passed.
    bool contains(RequestId id, Timestamp now);
    /// Remembers a request until that time.
    void add(RequestId id, Timestamp until);
    /// Forgets a request of which it is known that nothing ran.
    void remove(RequestId id) { expiry_.erase(id); }
    std::size_t size() const { return expiry_.size(); }

private:
    struct Entry {
        RequestId id;
        Timestamp until;
    };
    void removeExpired(Timestamp now);

    std::size_t maxEntries_;
    std::unordered_map<RequestId, Timestamp> expiry_;
    std::deque<Entry> entries_;  // in the order of their start; may hold entries that were removed
};

}  // namespace cottonwing::request
