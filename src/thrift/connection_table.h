/// @file
/// The connections of the Thrift server, and the eviction policy for when there are too many.
#pragma once

#include <cstddef>
#include <memory>

#include "overload/types.h"
#include "thrift/thrift_connection.h"

namespace cottonwing::thrift {

/// What to do before the next connection is accepted.
struct AcceptDecision {
    enum class Action {
        Accept,
        EvictAndAccept,     ///< Close `connection` immediately and accept.
        CloseIdleThenWait,  ///< Close `connection` gracefully; accept once it is closed.
        Wait
    };
    Action action = Action::Accept;
    ThriftConnection* connection = nullptr;
};

/// Owns the connections: the new ones in order of acceptance, the identified ones in order of last use.
class ConnectionTable {
public:
    /// @param capacity  the maximum number of connections, including those that are being closed
    explicit ConnectionTable(std::size_t capacity) : capacity_(capacity) {}

    void add(std::shared_ptr<ThriftConnection> connection);
    /// Marks the connection as identified: it has sent a complete message.
    void identify(ThriftConnection& connection);
    /// Records that the connection was used by a message or a response.
    void touch(ThriftConnection& connection, Timestamp now);
    /// Removes the connection, which destroys it unless there are other owners.
    void remove(ThriftConnection& connection);

    std::size_t size() const { return identified_.size() + new_.size(); }
    /// Least recently used first.
    const ConnectionList& identified() const { return identified_; }
    /// First accepted first.
    const ConnectionList& newConnections() const { return new_; }

    /// Decides whether a connection can be accepted and which one is evicted for it. First a new connection,
    /// which never sent a complete message (only a fraction of the capacity is for those); then one that was
    /// never served, with an incomplete message, the one that began first, or else idle; then the least
    /// recently used idle one; then one that was served and has an incomplete message. Connections with open
    /// requests are never evicted.
    /// @param closing  connections outside the table that still hold their descriptors
    AcceptDecision decideAccept(std::size_t closing, Timestamp now) const;

    /// The connection that gives up its memory next; null if none has to. It holds more than is guaranteed to
    /// each, and nothing is open on it. Those that were never served a request come first, and among them
    /// incomplete messages, the one that began first; then output that its client does not read.
    /// @param except  a connection that is in use by the caller, or null
    ThriftConnection* findMemoryHolder(const ThriftConnection* except) const;

private:
    ThriftConnection* findSilent(Timestamp now) const;
    ThriftConnection* findUnfinished() const;
    ThriftConnection* findIdle() const;

    const std::size_t capacity_;
    ConnectionList identified_;
    ConnectionList new_;
};

}  // namespace cottonwing::thrift
