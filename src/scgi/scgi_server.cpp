#include "scgi/scgi_server.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace cottonwing::scgi {

using namespace std::chrono_literals;

namespace {

constexpr Duration kTimeoutCheckInterval = 20ms;
constexpr std::size_t kInputBytes = 32 << 10;
constexpr std::size_t kOutputBytes = 2 << 20;
// Parts of the shared memory that each connection is guaranteed: requests are read in pieces, and each error
// reply fits the output.
constexpr std::size_t kGuaranteedInputBytes = 4096;
constexpr std::size_t kGuaranteedOutputBytes = 2048;
// A client that connected this recently may be about to send its request.
constexpr Duration kGiveWayGracePeriod = 100ms;
constexpr char kRetryAfterSeconds[] = "1";

std::optional<double> parseNonNegative(std::optional<std::string_view> text) {
    if (!text) return std::nullopt;
    double value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size() || !std::isfinite(value) || value < 0)
        return std::nullopt;
    return value;
}

std::uint64_t fnv1aHash(std::string_view text) {
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char byte : text) hash = (hash ^ static_cast<std::uint8_t>(byte)) * 1099511628211ULL;
    return hash;
}

}  // namespace

struct ScgiServer::ClientConnection : net::ConnectionHandler {
    ClientConnection(ScgiServer& theServer, net::PendingConnection socket)
        : server(theServer),
          reader(theServer.config_.requestLimits),
          connection(std::make_unique<net::Connection>(
              theServer.loop_, socket, *this,
              net::BufferLimits{kInputBytes, kOutputBytes, theServer.memoryBudget_, kGuaranteedInputBytes,
                                kGuaranteedOutputBytes})),
          bodyMemory(theServer.bodyBudget_, 0) {}
    void arrived(net::Connection& from) override {
        while (connection && !from.input().empty()) {
            const std::string_view piece = from.input().front();
            if (!isReading()) {
                from.input().drop(piece.size());
                continue;
            }
            const bool headWasComplete = reader.state() == RequestReader::State::Body;
            const std::size_t taken = reader.read(piece);
            from.input().drop(std::max<std::size_t>(taken, 1));
            if (!headWasComplete && reader.state() != RequestReader::State::Head) headReadAt = net::unixNow();
            if (!server.reserveBody(*this)) return;
            if (reader.state() == RequestReader::State::Malformed) {
                ++server.counters_.malformed;
                return server.respondWithError(*this, statusOf(reader.error()), "BR", nameOf(reader.error()));
            }
            if (reader.state() != RequestReader::State::Complete) continue;
            // Nobody waits for what a client that has left wrote before.
            if (connection->hasPeerClosed()) return ended(from, net::ConnectionEnd::PeerClosed);
            return server.requestComplete(*this);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd end) override {
        if (!responded) {
            ++server.counters_.disconnected;
            server.log_.debug("scgi", std::string("CL client disconnected: ") + net::nameOf(end));
        }
        server.close(*this);
        server.resumeAccepting();
    }

    // Whether its request is still being read: it was neither passed on nor answered. Everything that follows
    // is discarded, as a request that was answered must not run.
    bool isReading() const { return !requestId && !responded; }
    // Frees the request's head and body, which were passed on or are not needed any more.
    void releaseRequest() {
        reader.release();
        bodyMemory.release();
    }

    ScgiServer& server;
    RequestReader reader;
    Duration openedAt = net::unixNow(), headReadAt{0}, respondedAt{0};
    std::optional<RequestId> requestId;  // from when the request is passed on until its response
    bool responded = false;
    Duration deadline{0};
    std::list<std::unique_ptr<ClientConnection>>::iterator position;
    std::unique_ptr<net::Connection> connection;
    net::MemoryReservation bodyMemory;  // of the head and body until they are passed on or answered
};

ScgiServer::ScgiServer(net::Loop& loop, ScgiServerConfig config, routing::RouteTable routes,
                       std::vector<RequestClass> requestClasses, std::uint64_t seed,
                       request::RequestManager& requests, telemetry::Log& log)
    : loop_(loop),
      config_(std::move(config)),
      routes_(std::move(routes)),
      requestClasses_(std::move(requestClasses)),
      memoryBudget_(std::make_shared<net::MemoryBudget>(net::MemoryBudget{config_.maxBufferedBytes, 0})),
      bodyBudget_(std::make_shared<net::MemoryBudget>(net::MemoryBudget{config_.maxBufferedBytes, 0})),
      randomGenerator_(seed ^ 0x5c61),
      requests_(requests),
      log_(log),
      stallMeter_(kTimeoutCheckInterval),
      timeoutTimer_(loop, [this] { checkTimeouts(); }) {
    listener_ = std::make_unique<net::Listener>(
        loop, config_.listen, [this](net::PendingConnection socket) { accept(socket); },
        [this] { return !ensurePlace(); });
    port_ = listener_->port();
    timeoutTimer_.start(kTimeoutCheckInterval);
}

ScgiServer::~ScgiServer() = default;

void ScgiServer::accept(net::PendingConnection socket) {
    ++counters_.opened;
    clients_.push_back(std::make_unique<ClientConnection>(*this, socket));
    clients_.back()->position = std::prev(clients_.end());
}

bool ScgiServer::hasPlace() const {
    return clients_.size() < config_.maxConnections &&
           memoryBudget_->hasRoomFor(kGuaranteedInputBytes + kGuaranteedOutputBytes);
}

// Whether one more client can be accepted, if need be after another has given way.
bool ScgiServer::ensurePlace() {
    if (hasPlace()) return true;
    const Timestamp acceptedBefore = net::unixNow() - kGiveWayGracePeriod;
    for (const auto& client : clients_) {
        if (client->openedAt > acceptedBefore) return false;
        if (!client->isReading()) continue;
        shed(*client, "no place for more clients");
        client->connection->discardReceived();  // unread bytes would cost the client its answer
        close(*client);
        return hasPlace();
    }
    return false;
}

void ScgiServer::resumeAccepting() {
    if (listener_) listener_->resume();
}

// Reserves the memory that the client's incomplete request takes. If there is none, the requests that have
// been read for longest give way. Returns false if the client's own had to.
bool ScgiServer::reserveBody(ClientConnection& client) {
    while (!client.bodyMemory.resize(client.reader.bufferedBytes())) {
        const auto holder = std::find_if(clients_.begin(), clients_.end(), [&client](const auto& other) {
            return other->isReading() && (other->bodyMemory.bytes() > 0 || other.get() == &client);
        });
        shed(**holder, "no room for more bodies");
        if (holder->get() == &client) return false;
    }
    return true;
}

void ScgiServer::shed(ClientConnection& client, const char* reason) {
    ++counters_.gaveWay;
    respondWithError(client, 503, "NR", reason);
}

// Passes a complete request to the request manager. Returns why it was not passed on, if so.
std::optional<ScgiServer::SubmitError> ScgiServer::submit(ClientConnection& client) {
    const auto header = [&](std::string_view name) { return client.reader.findHeader(name); };
    std::string_view path =
        header("REQUEST_URI").value_or(header("PATH_INFO").value_or(header("SCRIPT_NAME").value_or("")));
    path = path.substr(0, path.find('?'));
    const auto match = routes_.find(path, header("REQUEST_METHOD").value_or("GET"), header);
    if (!match) return SubmitError::NoRoute;
    const RouteTarget& routeTarget = config_.routeTargets[match->route->target];
    const RequestClass& requestClass = requestClasses_[static_cast<std::size_t>(routeTarget.requestClass)];
    request::IncomingRequest incoming;
    Request& request = incoming.request;
    request.requestClass = routeTarget.requestClass;
    if (!routeTarget.tenantHeader.empty())
        if (const auto tenant = header(routeTarget.tenantHeader)) {
            const auto known = config_.tenants.find(*tenant);
            if (known != config_.tenants.end()) request.tenant = known->second;
        }
    // The request gets a new id if the client sent none, an invalid one, or one that is in flight: a client
    // must not be able to take over the id of another client's request.
    auto id = request::parseRequestId(header("HTTP_X_TRACE").value_or(""));
    if (id && requests_.mustNotRunAgain(*id, request.requestClass)) return SubmitError::IdUsedBefore;
    while (!id || requests_.contains(*id)) id = randomGenerator_();
    const std::string traceId = request::formatRequestId(*id);
    const Duration now = net::unixNow();
    Duration timeout = requestClass.timeout;
    if (const auto attemptTimeout = parseNonNegative(header("HTTP_X_PATIENCE_MS"));
        attemptTimeout && *attemptTimeout > 0)
        timeout =
            std::min(timeout, Duration(static_cast<std::int64_t>(std::min(*attemptTimeout, 1e9) * 1e6)));
    if (const auto cost = parseNonNegative(header("HTTP_X_COST_MS"));
        cost && *cost * 1e6 <= static_cast<double>(requestClass.timeout.count()))
        request.expectedWork = Duration(static_cast<std::int64_t>(*cost * 1e6));
    request.id = *id;
    request.deadline = now + timeout;
    request.isRetry = header("HTTP_X_REDO") == std::string_view("1");
    std::string_view routingKey;
    for (const auto& [key, value] : match->parameters)
        if (key == routeTarget.routingKeySource) routingKey = value;
    if (routingKey.empty() && !routeTarget.routingKeySource.empty())
        routingKey = header(routeTarget.routingKeySource).value_or("");
    incoming.routingKey = fnv1aHash(routingKey.empty() ? path : routingKey);
    Headers forwardedHeaders = client.reader.headers();
    std::erase_if(forwardedHeaders, [](const auto& each) {
        return each.first == "HTTP_X_TRACE" || each.first == "HTTP_X_DUE_MS";
    });
    forwardedHeaders.emplace_back("HTTP_X_TRACE", traceId);
    forwardedHeaders.emplace_back("HTTP_X_DUE_MS", std::to_string(*request.deadline / 1ms));
    incoming.body = writeRequest(forwardedHeaders, client.reader.body());
    incoming.externalId = traceId;
    incoming.format = request::PayloadFormat::Scgi;
    incoming.sink = this;
    request.memoryKb = std::max(1.0, static_cast<double>(incoming.body.size()) / 1024);
    client.requestId = *id;
    client.deadline = *request.deadline;
    clientsByRequest_[*id] = &client;
    requests_.accept(std::move(incoming));
    return std::nullopt;
}

void ScgiServer::requestComplete(ClientConnection& client) {
    ++counters_.complete;
    const std::optional<SubmitError> error = submit(client);
    client.releaseRequest();
    if (!error) return;
    if (*error == SubmitError::IdUsedBefore) {
        ++counters_.repeatedIds;
        return respondWithError(client, 409, "ID", "a request with this id was passed on, and may have run");
    }
    ++counters_.noRoute;
    respondWithError(client, 404, "NO", "no route");
}

void ScgiServer::respondWithError(ClientConnection& client, int status, const char* code,
                                  const std::string& reason) {
    if (!client.isReading()) return;
    if (status == 503) ++counters_.noCapacity;
    log_.warn("scgi", std::string(code) + " " + std::to_string(status) + ": " + reason);
    client.responded = true;
    client.respondedAt = net::unixNow();
    client.releaseRequest();
    Headers headers = {{"Content-Type", "text/plain"}};
    if (status == 503) headers.emplace_back("Retry-After", kRetryAfterSeconds);
    client.connection->send(
        writeReply(status, headers, std::string(reasonPhrase(status)) + ": " + reason + "\n"));
}

// The only place where a response removes the request from clientsByRequest_.
void ScgiServer::respond(RequestId id, const std::string& bytes) {
    const auto at = clientsByRequest_.find(id);
    if (at == clientsByRequest_.end()) return;
    ClientConnection& client = *at->second;
    clientsByRequest_.erase(at);
    client.requestId.reset();
    client.responded = true;
    client.respondedAt = net::unixNow();
    client.connection->send(bytes);
}

void ScgiServer::completed(RequestId id, std::string_view result) {
    ++counters_.completed;
    respond(id, std::string(result));
}

void ScgiServer::rejected(RequestId id, const Pushback& pushback) {
    ++counters_.rejected;
    // Retry-After has whole seconds, and at least one is sent. Clients that need the exact value follow
    // X-Retry-After-Ms.
    Headers headers = {
        {"Content-Type", "text/plain"},
        {"Retry-After", std::to_string(std::max<std::int64_t>(1, (pushback.retryAfter + 999ms) / 1s))},
        {"X-Retry-After-Ms", std::to_string(pushback.retryAfter / 1ms)}};
    if (!pushback.retryElsewhere) headers.emplace_back("X-Nowhere-Else", "1");
    respond(id, writeReply(503, headers, "turned away before it ran\n"));
}

void ScgiServer::failed(RequestId id) {
    ++counters_.failed;
    const auto at = clientsByRequest_.find(id);
    if (at == clientsByRequest_.end()) return;
    const bool nearDeadline = net::unixNow() + 60ms >= at->second->deadline;
    log_.info("scgi", std::string(nearDeadline ? "TO 504" : "SC 502") + ": failed after it may have run");
    respond(id, writeReply(nearDeadline ? 504 : 502, {{"Content-Type", "text/plain"}},
                           "failed, and may have run\n"));
}

bool ScgiServer::isClientConnected(RequestId id) {
    const auto at = clientsByRequest_.find(id);
    if (at == clientsByRequest_.end()) return true;
    ClientConnection& client = *at->second;
    if (!client.connection->hasPeerClosed()) return true;
    client.ended(*client.connection, net::ConnectionEnd::PeerClosed);
    return false;
}

void ScgiServer::close(ClientConnection& client) {
    client.releaseRequest();
    if (client.requestId) {
        clientsByRequest_.erase(*client.requestId);
        requests_.clientCancelled(*client.requestId);
    }
    client.connection->tryFlush();
    client.connection.reset();
    closedClients_.push_back(std::move(*client.position));
    clients_.erase(client.position);
}

// The time in which this process stood still is not counted against its clients.
void ScgiServer::excuseStall(Timestamp now) {
    const Duration stall = stallMeter_.stalledFor(now);
    if (stall == 0ns) return;
    for (const auto& client : clients_)
        for (Timestamp* const since : {&client->openedAt, &client->headReadAt, &client->respondedAt})
            *since = std::min(*since + stall, now);
}

// Runs 50 times per second, over a bounded number of connections. A client that exceeds the timeout of its
// head or body gets an error response; a connection is closed once its response was read or has timed out.
void ScgiServer::checkTimeouts() {
    closedClients_.clear();
    const Duration now = net::unixNow();
    excuseStall(now);
    for (auto next = clients_.begin(); next != clients_.end();) {
        ClientConnection& client = **next++;
        if (client.responded) {
            if (client.connection->output().empty() || now - client.respondedAt >= config_.responseTimeout)
                close(client);
            continue;
        }
        if (client.requestId) continue;
        const bool readingHead = client.reader.state() == RequestReader::State::Head;
        if (now - (readingHead ? client.openedAt : client.headReadAt) <
            (readingHead ? config_.headTimeout : config_.bodyTimeout))
            continue;
        ++counters_.timedOut;
        respondWithError(client, 408, readingHead ? "HS" : "BS",
                         readingHead ? "the head came too slowly" : "the body came too slowly");
    }
    resumeAccepting();
    timeoutTimer_.start(kTimeoutCheckInterval);
}

// Connections in the listen backlog were already accepted by the operating system and have to be answered.
// The listener therefore closes only after the next poll, which accepts them.
void ScgiServer::drain() {
    loop_.afterPoll([this, alive = std::weak_ptr<net::MemoryBudget>(memoryBudget_)] {
        if (!alive.expired()) listener_.reset();
    });
}

void ScgiServer::rejectIncomplete() {
    for (const auto& client : clients_)
        if (!client->responded && !client->requestId) {
            ++counters_.cutAtShutdown;
            respondWithError(*client, 503, "LV", "this server is leaving");
        }
}

}  // namespace cottonwing::scgi
