/// @file
/// The Thrift server: requests in, answers out in any order, health checks, cancellations and goaway.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/process_config.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/timer.h"
#include "request/request_manager.h"
#include "thrift/codec.h"
#include "thrift/connection_table.h"
#include "thrift/request_decoder.h"
#include "thrift/thrift_connection.h"

namespace cottonwing::thrift {

/// Accepts connections of clients, hands their requests to the request manager and sends its answers. All of
/// it happens on the loop's thread.
class ThriftServer : public request::ResponseSink, private ThriftConnection::Handler {
public:
    /// Listens at once.
    /// @param limits            the bounds on connections and on the bytes of their buffers
    /// @param names             of request classes and tenants
    /// @param requestClasses    the classes by index; copied
    /// @param timeoutRequired   each request has to say how long its client waits
    /// @throws std::runtime_error when the address can't be listened on
    ThriftServer(net::Loop& loop, const net::Address& at, const config::ResourceLimits& limits,
                 config::NameTables names, const std::vector<RequestClass>& requestClasses,
                 bool timeoutRequired, request::RequestManager& requests, telemetry::Log& log,
                 telemetry::Counters& counters);
    ~ThriftServer() override;

    // The answer to one request each; without effect when its connection is gone.
    void completed(RequestId id, std::string_view result) override;
    void rejected(RequestId id, const Pushback& pushback) override;
    void failed(RequestId id) override;
    /// Fails the request, and counts it as a protocol error of its connection.
    void refused(RequestId id) override;
    /// Drains connections that are unused for this long, from the next sweep on; 0: none.
    void setIdleTimeout(Duration timeout) override { idleTimeout_ = timeout; }

    /// Takes no new connections, and asks the clients for no new requests on those there are.
    void drain();
    /// Nothing more is read: a request that was read now could not be answered before the process ends. To
    /// its client it crosses the end of the connection.
    void stopReading();
    /// Writes what the system takes at once of the answers that wait.
    void tryFlush();
    /// Connections that hold a descriptor, those that are being closed included.
    std::size_t connections() const { return connections_.size() + *closing_; }
    bool isListening() const { return listener_ != nullptr; }
    /// Only while it is listening.
    int port() const { return listener_->port(); }

private:
    struct InFlight {
        ThriftConnection* connection;
        std::int32_t sequence;
    };

    void inputArrived(ThriftConnection& connection) override;
    void connectionEnded(ThriftConnection& connection, net::ConnectionEnd end) override;

    void accept(net::PendingConnection socket);
    bool ensureCapacity();
    void evict(ThriftConnection& connection);
    void resumeAccepting();

    std::optional<Message> takeMessage(ThriftConnection& connection, std::size_t length);
    void abortMalformed(ThriftConnection& connection, net::ConnectionEnd end);
    bool handle(ThriftConnection& connection, const Message& message);
    void handleRequest(ThriftConnection& connection, const Message& message);
    void handleCancel(ThriftConnection& connection, const Message& message);
    void handleHealthCheck(ThriftConnection& connection, const Message& message);
    void rejectMessage(ThriftConnection& connection, const Message& message, ApplicationError error,
                       const std::string& reason);

    void answer(RequestId id, const std::function<std::string(std::int32_t)>& frame);
    void answerHealthCheck(ThriftConnection& connection, std::int32_t sequence, bool healthy);
    void send(ThriftConnection& connection, const std::string& frame);
    Fields loadShareFields() const;

    void abort(ThriftConnection& connection, net::ConnectionEnd end);
    void closeGracefully(ThriftConnection& connection, net::ConnectionEnd end);
    void remove(ThriftConnection& connection);

    void sweep();
    void closeSilentConnections(Timestamp now);
    void checkConnection(ThriftConnection& connection, Timestamp now);
    void stopListening();
    template <typename Action>
    void forEachConnection(Action&& action);

    net::Loop& loop_;
    const std::shared_ptr<net::MemoryBudget> bufferBudget_;
    const RequestDecoder decoder_;
    request::RequestManager& requests_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    ConnectionTable connections_;
    // Connections that left the table and are being closed; it counts down from callbacks that may outlive
    // the server.
    std::shared_ptr<std::size_t> closing_ = std::make_shared<std::size_t>(0);
    // Where the answers of open requests go; emptied by answers, cancellations and ends of connections.
    std::unordered_map<RequestId, InFlight> inFlight_;
    Duration idleTimeout_{0};
    net::Timer sweepTimer_;
    std::string scratch_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::thrift
