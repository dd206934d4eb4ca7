#include "thrift/connection_table.h"

#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

namespace cottonwing::thrift {

namespace {

using namespace std::chrono_literals;

// The fraction of the capacity, 1/4, that is available to connections that never sent a complete message.
constexpr std::size_t kNewConnectionShareDivisor = 4;

// A connection that was accepted this recently may be about to send, and the client of one that was used this
// recently may not have read its response yet.
constexpr Duration kEvictionGracePeriod = 100ms;

}  // namespace

void ConnectionTable::add(std::shared_ptr<ThriftConnection> connection) {
    new_.push_back(std::move(connection));
    new_.back()->position_ = std::prev(new_.end());
}

void ConnectionTable::identify(ThriftConnection& connection) {
    if (connection.identified_) return;
    connection.identified_ = true;
    identified_.splice(identified_.end(), new_, connection.position_);
}

void ConnectionTable::touch(ThriftConnection& connection, Timestamp now) {
    connection.lastUsedAt_ = now;
    if (connection.identified_) identified_.splice(identified_.end(), identified_, connection.position_);
}

void ConnectionTable::remove(ThriftConnection& connection) {
    (connection.identified_ ? identified_ : new_).erase(connection.position_);
}

AcceptDecision ConnectionTable::decideAccept(std::size_t closing, Timestamp now) const {
    using Action = AcceptDecision::Action;
    const bool full = size() + closing >= capacity_;
    if (!full && new_.size() * kNewConnectionShareDivisor < capacity_) return {Action::Accept};
    if (ThriftConnection* const silent = findSilent(now)) return {Action::EvictAndAccept, silent};
    if (!full) return {Action::Accept};
    ThriftConnection* const unfinished = findUnfinished();
    const bool isUnfinishedForLong =
        unfinished != nullptr && now - *unfinished->messageStartedAt() >= kEvictionGracePeriod;
    ThriftConnection* const idle = findIdle();
    const bool mayWaitForUnfinished = unfinished != nullptr && !unfinished->hasBeenServed();
    if (isUnfinishedForLong && (mayWaitForUnfinished || idle == nullptr))
        return {Action::EvictAndAccept, unfinished};
    if (idle == nullptr || (idle->hasBeenServed() && mayWaitForUnfinished)) return {Action::Wait};
    const bool maybeUnreadAnswer = now - idle->lastUsedAt() < kEvictionGracePeriod || idle->hasOutput();
    if (!maybeUnreadAnswer) return {Action::EvictAndAccept, idle};
    if (closing == 0) return {Action::CloseIdleThenWait, idle};
    return {Action::Wait};
}

namespace {

// Smaller values give way first.
using EvictionRank = std::tuple<bool, bool, Timestamp>;

EvictionRank evictionRankOf(const ThriftConnection& connection) {
    const std::optional<Timestamp> messageStartedAt = connection.messageStartedAt();
    return {connection.hasBeenServed(), !messageStartedAt.has_value(),
            messageStartedAt.value_or(connection.lastUsedAt())};
}

}  // namespace

ThriftConnection* ConnectionTable::findMemoryHolder(const ThriftConnection* except) const {
    ThriftConnection* first = nullptr;
    for (const ConnectionList* list : {&new_, &identified_}) {
        for (const auto& connection : *list) {
            if (connection.get() == except || connection->bytesBeyondGuarantee() == 0) continue;
            if (connection->hasOpenRequests() || connection->hasCompleteMessage()) continue;
            if (first == nullptr || evictionRankOf(*connection) < evictionRankOf(*first))
                first = connection.get();
        }
    }
    return first;
}

// A connection with unread bytes in the socket's receive buffer is not silent.
ThriftConnection* ConnectionTable::findSilent(Timestamp now) const {
    for (const auto& connection : new_) {
        if (now - connection->acceptedAt() < kEvictionGracePeriod) return nullptr;
        if (!connection->hasUnreadBytes()) return connection.get();
    }
    return nullptr;
}

// Of the incomplete messages on connections with nothing open, one of a client that was never served, and of
// those the one that began first.
ThriftConnection* ConnectionTable::findUnfinished() const {
    ThriftConnection* first = nullptr;
    for (const auto& connection : identified_) {
        if (!connection->messageStartedAt()) continue;
        if (connection->hasOpenRequests() || connection->hasCompleteMessage()) continue;
        if (connection->hasUnreadBytes()) continue;
        if (first == nullptr || evictionRankOf(*connection) < evictionRankOf(*first))
            first = connection.get();
    }
    return first;
}

ThriftConnection* ConnectionTable::findIdle() const {
    ThriftConnection* firstServed = nullptr;
    for (const auto& connection : identified_) {
        if (!connection->isIdle()) continue;
        if (!connection->hasBeenServed()) return connection.get();
        if (firstServed == nullptr) firstServed = connection.get();
    }
    return firstServed;
}

}  // namespace cottonwing::thrift
