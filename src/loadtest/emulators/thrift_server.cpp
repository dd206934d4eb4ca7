#include "loadtest/emulators/thrift_server.h"

#include <algorithm>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;

struct EmulatedThriftServer::ClientConnection
    : net::ConnectionHandler,
      std::enable_shared_from_this<EmulatedThriftServer::ClientConnection> {
    explicit ClientConnection(EmulatedThriftServer& theServer) : server(theServer) {}
    void arrived(net::Connection&) override {
        // If it does not read, the connection's buffer fills and then the system's, as with a stopped
        // process.
        if (!server.config_.neverReads && !server.stalled(steadyNow())) read();
    }
    void read() {
        const auto self = shared_from_this();
        std::size_t length = 0;
        while (connection && thrift::peekFrame(connection->input(), length) == thrift::FrameState::Complete) {
            const auto message =
                thrift::readMessage(connection->input().peek(4 + length, frameBuffer).substr(4));
            connection->input().drop(4 + length);
            if (!message) return server.close(*this);
            server.handleMessage(*this, *message);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override { server.close(*this); }

    EmulatedThriftServer& server;
    std::unique_ptr<net::Connection> connection;
    std::string frameBuffer;
    int requests = 0;
};

EmulatedThriftServer::EmulatedThriftServer(net::Loop& loop, const net::Address& address,
                                           EmulatedThriftServerConfig config)
    : loop_(loop), config_(config), host_(address.host), startedAt_(steadyNow()), timer_(loop, [this] {
          onTimer();
      }) {
    listener_ = std::make_unique<net::Listener>(
        loop, address, [this](net::PendingConnection socket) { accept(socket); }, [] { return false; });
    if (config_.stallStart >= 0ns) timer_.startAt(startedAt_ + config_.stallStart + config_.stallDuration);
}

EmulatedThriftServer::~EmulatedThriftServer() = default;

bool EmulatedThriftServer::stalled(Duration now) const {
    return config_.stallStart >= 0ns && now >= startedAt_ + config_.stallStart &&
           now < startedAt_ + config_.stallStart + config_.stallDuration;
}

void EmulatedThriftServer::accept(net::PendingConnection socket) {
    auto client = std::make_shared<ClientConnection>(*this);
    client->connection.reset(
        new net::Connection(loop_, socket, *client, {config_.neverReads ? 4096U : 1U << 20, 1U << 20}));
    connections_.push_back(std::move(client));
}

void EmulatedThriftServer::close(ClientConnection& client) {
    const auto self = client.shared_from_this();
    client.connection.reset();
    connections_.remove(self);
}

void EmulatedThriftServer::handleMessage(ClientConnection& client, const thrift::Message& message) {
    if (message.method == thrift::Method::HealthCheck)
        return client.connection->send(thrift::writeAnswer("isWell", message.sequence, {}, {}, true));
    if (message.method == thrift::Method::Cancel) ++cancels_;
    if (message.method != thrift::Method::Serve || !message.fields) return;
    ++requests_;
    const auto found = message.fields->find("trace");
    const std::string trace = found == message.fields->end() ? std::string() : found->second;
    if (config_.recordsTimes) requestTimes_[trace].received = steadyNow();
    if (config_.goawayEvery > 0 && ++client.requests == config_.goawayEvery)
        client.connection->send(thrift::writeGoaway());
    if (config_.silent) return;
    if (config_.responseDelay == 0ns) return respond(client, message.sequence, trace);
    pendingResponses_.emplace(steadyNow() + config_.responseDelay,
                              PendingResponse{client.weak_from_this(), message.sequence, trace});
    timer_.startAt(pendingResponses_.begin()->first);
}

void EmulatedThriftServer::onTimer() {
    const Duration now = steadyNow();
    if (stalled(now)) return timer_.startAt(startedAt_ + config_.stallStart + config_.stallDuration);
    const auto current =
        std::vector<std::shared_ptr<ClientConnection>>(connections_.begin(), connections_.end());
    // Reads what arrived during the stall; without a stall it was read on arrival.
    if (config_.stallStart >= 0ns && !config_.neverReads)
        for (const auto& client : current) client->read();
    while (!pendingResponses_.empty() && pendingResponses_.begin()->first <= now) {
        const PendingResponse response = pendingResponses_.begin()->second;
        pendingResponses_.erase(pendingResponses_.begin());
        const auto client = response.client.lock();
        if (client && client->connection) respond(*client, response.sequence, response.trace);
    }
    if (!pendingResponses_.empty()) timer_.startAt(pendingResponses_.begin()->first);
}

void EmulatedThriftServer::respond(ClientConnection& client, std::int32_t sequence,
                                   const std::string& trace) {
    const auto isNth = [this](int every) {
        return every > 0 && responses_ % static_cast<std::uint64_t>(every) == 0;
    };
    ++responses_;
    if (config_.recordsTimes) requestTimes_[trace].sent = steadyNow();
    if (isNth(config_.busyEvery))
        return client.connection->send(thrift::writeBusy(sequence, {{"pause", "20"}}));
    if (isNth(config_.failedEvery)) return client.connection->send(thrift::writeFailed(sequence, {}));
    const std::string frame = thrift::writeAnswer(
        "serve", sequence, isNth(config_.wrongResultEvery) ? "ok 0000000000000000" : "ok " + trace, {}, true);
    if (isNth(config_.resetEvery)) {
        client.connection->send(frame.substr(0, frame.size() / 2));
        client.connection->tryFlush();
        return close(client);
    }
    client.connection->send(frame);
    if (isNth(config_.duplicateEvery)) client.connection->send(frame);
    if (isNth(config_.unknownSequenceEvery))
        client.connection->send(thrift::writeAnswer("serve", sequence + 100000, "ok " + trace, {}, true));
}

}  // namespace cottonwing::loadtest
