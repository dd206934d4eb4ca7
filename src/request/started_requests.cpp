#include "request/started_requests.h"

namespace cottonwing::request {

namespace {

// Of one entry: a node and a bucket of the map, and its place in the queue.
constexpr std::size_t kEntryBytes = 64;

}  // namespace

StartedRequests::StartedRequests(std::size_t maxBytes) : maxEntries_(maxBytes / kEntryBytes) {}

bool StartedRequests::hasRoom(Timestamp now) {
    removeExpired(now);
    return entries_.size() < maxEntries_;
}

bool StartedRequests::contains(RequestId id, Timestamp now) {
    removeExpired(now);
    const auto found = expiry_.find(id);
    return found != expiry_.end() && found->second > now;
}

void StartedRequests::add(RequestId id, Timestamp until) {
    expiry_[id] = until;
    entries_.push_back({id, until});
}

// Classes have different timeouts: an entry behind one that lasts longer is removed with it.
void StartedRequests::removeExpired(Timestamp now) {
    while (!entries_.empty() && entries_.front().until <= now) {
        const Entry oldest = entries_.front();
        entries_.pop_front();
        const auto found = expiry_.find(oldest.id);
        if (found != expiry_.end() && found->second <= now) expiry_.erase(found);
    }
}

}  // namespace cottonwing::request
