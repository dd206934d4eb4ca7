/// @file
/// Requests in the order of their deadlines.
#pragma once

#include <cstddef>
#include <set>
#include <utility>

#include "overload/types.h"

namespace cottonwing::overload {

/// Request ids ordered by time, earliest first; at equal times by id.
class DeadlineQueue {
public:
    using Entry = std::pair<Timestamp, RequestId>;

    void insert(Timestamp time, RequestId id) { entries_.emplace(time, id); }
    /// Removes the entry if it is present.
    void erase(Timestamp time, RequestId id) { entries_.erase({time, id}); }

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    const Entry& front() const { return *entries_.begin(); }
    auto begin() const { return entries_.begin(); }
    auto end() const { return entries_.end(); }

private:
    std::set<Entry> entries_;
};

}  // namespace cottonwing::overload
