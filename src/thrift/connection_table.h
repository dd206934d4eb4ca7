/// @file
/// The connections of the Thrift server, and which of them gives way when there are too many.
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
        EvictAndAccept,     ///< Close `connection` at once and accept.
        CloseIdleThenWait,  ///< Close `connection` in order; its place is free once it is closed.
        Wait
    };
    Action action = Action::Accept;
    ThriftConnection* connection = nullptr;
};

/// Owns the connections: the new ones in the order of their acceptance, the identified ones in the order of
/// their last use.
class ConnectionTable {
public:
    /// @param capacity  how many connections there may be, those that are being closed included
    explicit ConnectionTable(std::size_t capacity) : capacity_(capacity) {}

    void add(std::shared_ptr<ThriftConnection> connection);
    /// The connection has sent a whole message.
    void identify(ThriftConnection& connection);
    /// A message or an answer used the connection.
    void touch(ThriftConnection& connection, Timestamp now);
    /// Destroys the connection, unless it is shared elsewhere.
    void remove(ThriftConnection& connection);

    std::size_t size() const { return identified_.size() + new_.size(); }
    /// The one that was used the longest ago is in front.
    const ConnectionList& identified() const { return identified_; }
    /// The one that was accepted first is in front.
    const ConnectionList& newConnections() const { return new_; }

    /// Decides whether a connection can be accepted and which one is evicted for it: new connections that
    /// never sent a whole message first (only a part of the places is for them), then the least recently used
    /// one without open requests. Connections with open requests are never evicted.
    /// @param closing  connections outside the table that still hold their descriptors
    AcceptDecision decideAccept(std::size_t closing, Timestamp now) const;

private:
    ThriftConnection* findSilent(Timestamp now) const;
    ThriftConnection* findIdle() const;

    const std::size_t capacity_;
    ConnectionList identified_;
    ConnectionList new_;
};

}  // namespace cottonwing::thrift
