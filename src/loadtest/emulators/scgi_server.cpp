#include "loadtest/emulators/scgi_server.h"

#include <cstdio>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;

struct EmulatedScgiServer::ClientConnection
    : net::ConnectionHandler,
      std::enable_shared_from_this<EmulatedScgiServer::ClientConnection> {
    explicit ClientConnection(EmulatedScgiServer& theServer) : server(theServer), reader({65536, 1 << 20}) {}
    void arrived(net::Connection& from) override {
        const auto self = shared_from_this();
        if (server.config_.fault == ScgiFault::EarlyResponse && !std::exchange(respondedEarly, true)) {
            server.respond(*this);
            return;
        }
        while (connection && !from.input().empty()) {
            const std::string_view piece = from.input().front();
            reader.read(piece);
            from.input().drop(piece.size());
            if (reader.state() == scgi::RequestReader::State::Malformed) return server.close(*this);
            if (reader.state() == scgi::RequestReader::State::Complete) return server.requestComplete(*this);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override {
        if (!responded) ++server.abandonedRequests_;
        server.close(*this);
    }
    EmulatedScgiServer& server;
    scgi::RequestReader reader;
    std::unique_ptr<net::Connection> connection;
    Duration serviceTime{0};
    std::string trace;
    bool responded = false, inService = false, respondedEarly = false, closing = false;
};

EmulatedScgiServer::EmulatedScgiServer(net::Loop& loop, const net::Address& address,
                                       EmulatedScgiServerConfig config)
    : loop_(loop), host_(address.host), config_(config), timer_(loop, [this] { onTimer(); }) {
    listener_ = std::make_unique<net::Listener>(
        loop, address,
        [this](net::PendingConnection socket) {
            auto client = std::make_shared<ClientConnection>(*this);
            client->connection.reset(new net::Connection(loop_, socket, *client, {1 << 20, 1 << 20}));
            connections_.push_back(std::move(client));
        },
        [] { return false; });
}

EmulatedScgiServer::~EmulatedScgiServer() = default;

void EmulatedScgiServer::close(ClientConnection& client) {
    const auto self = client.shared_from_this();
    if (std::exchange(client.inService, false)) --requestsInService_;
    if (requestEndHandler_ && !client.trace.empty()) requestEndHandler_(client.trace);
    if (client.connection) client.connection->tryFlush();
    client.connection.reset();
    connections_.remove(self);
    timer_.startAt(steadyNow());
}

void EmulatedScgiServer::requestComplete(ClientConnection& client) {
    ++requests_;
    lastHeaders_ = client.reader.headers();
    lastBody_ = client.reader.body();
    // Bodies of the load generator contain their work; others take the configured service time.
    char first[17] = "";
    long long work = 0;
    client.serviceTime = config_.serviceTime;
    if (std::sscanf(lastBody_.c_str(), "cw1 %16s %lld", first, &work) == 2)
        client.serviceTime = std::chrono::microseconds(work);
    if (const auto trace = scgi::findHeader(lastHeaders_, "HTTP_X_TRACE")) {
        client.trace = *trace;
        if (requestHandler_)
            requestHandler_(std::string(*trace), first);
        else
            ++runs_[std::string(*trace)];
    }
    if (config_.fault == ScgiFault::Silent) return;
    if (config_.fault == ScgiFault::CloseAfterRequest) return close(client);
    if (config_.fault == ScgiFault::FailFast) return respond(client);
    queue_.push_back(client.weak_from_this());
    onTimer();
}

void EmulatedScgiServer::onTimer() {
    const Duration now = steadyNow();
    while (!completions_.empty() && completions_.begin()->first <= now) {
        const auto client = completions_.begin()->second.lock();
        completions_.erase(completions_.begin());
        if (client && client->connection) respond(*client);
    }
    while (!queue_.empty() && requestsInService_ < config_.slots) {
        const auto client = queue_.front().lock();
        queue_.pop_front();
        if (!client || !client->connection) continue;
        client->inService = true;
        ++requestsInService_;
        const double seconds = std::chrono::duration<double>(client->serviceTime).count() * config_.slowdown;
        workDone_ += seconds;
        if (seconds <= 0)
            respond(*client);
        else
            completions_.emplace(now + Duration(static_cast<std::int64_t>(seconds * 1e9)), client);
    }
    // Closes connections whose response has been written completely.
    const auto all = std::vector<std::shared_ptr<ClientConnection>>(connections_.begin(), connections_.end());
    bool more = false;
    for (const auto& client : all) {
        if (!client->closing || !client->connection) continue;
        if (client->connection->output().empty())
            close(*client);
        else
            more = true;
    }
    if (more)
        timer_.startAt(now + 1ms);
    else if (!completions_.empty())
        timer_.startAt(completions_.begin()->first);
}

void EmulatedScgiServer::respond(ClientConnection& client) {
    client.responded = true;
    if (std::exchange(client.inService, false)) --requestsInService_;
    const std::string body =
        "ok " + std::string(scgi::findHeader(client.reader.headers(), "HTTP_X_TRACE").value_or("nobody"));
    const std::string response = scgi::writeReply(200, {{"Content-Type", "text/plain"}}, body);
    std::string bytes = response;
    if (config_.fault == ScgiFault::TruncatedResponse)
        bytes = response.substr(0, response.size() - body.size() / 2);
    if (config_.fault == ScgiFault::DuplicateResponse) bytes = response + response;
    if (config_.fault == ScgiFault::MalformedStatus) bytes = "Status: fine\r\n\r\n" + body;
    if (config_.fault == ScgiFault::ExcessBody) bytes = response + "more";
    if (config_.fault == ScgiFault::FailFast) bytes = scgi::writeReply(503, {}, "not now");
    client.connection->send(bytes);
    client.closing = true;
    timer_.startAt(steadyNow());
}

}  // namespace cottonwing::loadtest
