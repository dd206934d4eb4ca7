/// @file
/// The Thrift server: handles requests, cancellations and health checks, and sends responses in any order.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/process_config.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/stall_meter.h"
#include "net/timer.h"
#include "request/request_manager.h"
#include "thrift/codec.h"
#include "thrift/connection_table.h"
#include "thrift/request_decoder.h"
#include "thrift/thrift_connection.h"

namespace cottonwing::thrift {

/// Accepts connections of clients, passes their requests to the request manager and sends back its responses.
/// Runs entirely on the thread of the event loop.
class ThriftServer : public request::ResponseSink, private ThriftConnection::Handler {
public:
    /// Starts to listen.
    /// @param limits            the limits on the number of connections and on the size of their buffers
    /// @param names             the names of request classes and tenants
    /// @param requestClasses    the request classes by index; copied
    /// @param timeoutRequired   whether each request must state its client's timeout
    /// @throws std::runtime_error if the address can't be bound
    ThriftServer(net::Loop& loop, const net::Address& at, const config::ResourceLimits& limits,
                 config::NameTables names, const std::vector<RequestClass>& requestClasses,
                 bool timeoutRequired, request::RequestManager& requests, telemetry::Log& log,
                 telemetry::Counters& counters);
    ~ThriftServer() override;

    // Each sends the response to one request; without effect if its connection is gone.
    void completed(RequestId id, std::string_view result) override;
    void rejected(RequestId id, const Pushback& pushback) override;
    void failed(RequestId id) override;
    /// Like failed(), and counts as a protocol error of the connection.
    void failedByClient(RequestId id) override;
    bool isClientConnected(RequestId id) override;
    /// Drains connections that were unused for this long, from the next sweep on; 0: never.
    void setIdleTimeout(Duration timeout) override { idleTimeout_ = timeout; }

    /// Stops accepting connections, and asks the clients to send no new requests on the existing ones.
    void drain();
    /// Stops reading from all connections, because a request that is read now could not be answered before
    /// the process ends. Its client sees the connection close without a response.
    void stopReading();
    /// Writes as many pending responses as the sockets accept without blocking.
    void tryFlush();
    /// The number of connections that hold a descriptor, including those that are being closed.
    std::size_t connections() const { return connections_.size() + *closing_; }
    bool isListening() const { return listener_ != nullptr; }
    /// The port; valid only while listening.
    int port() const { return listener_->port(); }

private:
    struct InFlight {
        ThriftConnection* connection;
        std::int32_t sequence;
    };

    void inputArrived(ThriftConnection& connection) override;
    void connectionEnded(ThriftConnection& connection, net::ConnectionEnd end) override;
    void inputStarved(ThriftConnection& connection) override;

    void accept(net::PendingConnection socket);
    bool ensureCapacity();
    void evict(ThriftConnection& connection, net::ConnectionEnd end);
    bool ensureOutputRoom(ThriftConnection& connection, std::size_t bytes);
    bool makeRoom(std::size_t bytes, const ThriftConnection* inUse);
    void resumeAccepting();

    std::optional<Message> takeMessage(ThriftConnection& connection, std::size_t length);
    void abortMalformed(ThriftConnection& connection, net::ConnectionEnd end);
    bool handle(ThriftConnection& connection, const Message& message);
    void handleRequest(ThriftConnection& connection, const Message& message);
    void rejectForMemory(ThriftConnection& connection, const Message& message);
    void handleCancel(ThriftConnection& connection, const Message& message);
    void handleHealthCheck(ThriftConnection& connection, const Message& message);
    void rejectRequest(ThriftConnection& connection, const Message& message, RequestError error);
    void rejectMessage(ThriftConnection& connection, const Message& message, ApplicationError error,
                       const std::string& reason);

    void answer(RequestId id, const std::function<std::string(std::int32_t)>& frame);
    void answerHealthCheck(ThriftConnection& connection, std::int32_t sequence, bool healthy);
    void send(ThriftConnection& connection, const std::string& frame);
    Fields loadShareFields() const;

    void recordEnd(ThriftConnection& connection, net::ConnectionEnd end, const char* event);
    void abort(ThriftConnection& connection, net::ConnectionEnd end);
    void closeGracefully(ThriftConnection& connection, net::ConnectionEnd end);
    void remove(ThriftConnection& connection);

    void sweep();
    void excuseStall(Timestamp now);
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
    // The number of connections that left the table and are still being closed. Shared, because it is
    // decremented by callbacks that may outlive the server.
    std::shared_ptr<std::size_t> closing_ = std::make_shared<std::size_t>(0);
    // The destinations of responses to open requests. Entries are removed by responses, cancellations and the
    // end of their connection.
    std::unordered_map<RequestId, InFlight> inFlight_;
    Duration idleTimeout_{0};
    net::StallMeter stallMeter_;
    net::Timer sweepTimer_;
    std::string scratch_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::thrift
