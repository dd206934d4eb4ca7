#include "soak/clients.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

#include "net/clock.h"
#include "soak/worker_pool_process.h"

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;
namespace frames = testing::frames;
using State = ClientConnection::State;

constexpr std::size_t kMaxOpenRequests = 32;  // PROTOCOL.md: per connection
constexpr Duration kReopenInterval = 20ms;
constexpr Duration kIdleServiceInterval = 25ms;
constexpr int kMaxIdleOpenedPerInterval = 8;
constexpr Duration kHealthCheckInterval = 30ms;
constexpr std::size_t kMaxKeyedAttempts = 6;
constexpr long long kDefaultRetryDelayMs = 20;  // before a retry if the rejection has no Retry-After

// Percentages of the requests that are sent or treated in a special way.
constexpr int kShortTimeoutPercent = 5;
constexpr int kSplitWritePercent = 10;
constexpr int kCancelPercent = 5;
constexpr int kCloseAfterWritePercent = 1;
constexpr int kRetryAfterRejectionPercent = 40;
constexpr int kDuplicateKeyedPercent = 40;

std::string hex(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

}  // namespace

struct Clients::Client {
    int number = 0;
    bool readsSlowly = false, ignoresGoaway = false;
    std::vector<std::unique_ptr<ClientConnection>> connections;
    Duration nextOpen{0};
    Duration readsAgainAt{0}, nextPause{0};
};

/// A request that is about to be sent.
struct Clients::OutgoingRequest {
    Attempt attempt;
    Duration timeout{0};
    bool isRetry = false;
};

Clients::Clients(const SoakPlan& plan, const net::Address& server, TaskScheduler& scheduler,
                 RandomGenerator& random, Recorder& recorder)
    : plan_(plan),
      server_(server),
      scheduler_(scheduler),
      random_(random),
      recorder_(recorder),
      lastId_(plan.seed << 32) {
    for (int number = 0; number < plan.clients; ++number) {
        clients_.push_back(std::make_unique<Client>());
        clients_.back()->number = number;
        clients_.back()->readsSlowly = number < plan.slowReaders;
        clients_.back()->ignoresGoaway = number >= plan.clients - plan.clientsIgnoringGoaway;
    }
}

Clients::~Clients() = default;

void Clients::beginIncarnation() {
    active_ = true;
    sending_ = false;
    ready_ = false;
    ++incarnationCount_;
}

void Clients::startTraffic() {
    sending_ = true;
    nextArrival_ = net::unixNow();
    for (const std::string& id : std::exchange(keyedAttempts_, {}))
        if (const Attempt* const attempt = recorder_.find(id)) retry(*attempt, random_.between(1ms, 300ms));
}

void Clients::endIncarnation() {
    active_ = false;
    sending_ = false;
    const Duration now = net::unixNow();
    for (const auto& client : clients_) {
        for (const auto& connection : client->connections) {
            client->readsAgainAt = 0ns;
            service(*client, *connection, now);
            recordOutcome(*connection, ConnectionOutcome::ClosedByServer);
        }
        client->connections.clear();
    }
    idle_.clear();
    health_.reset();
}

void Clients::tick(Duration now) {
    if (!active_) return;
    for (const auto& client : clients_) {
        pauseSlowReader(*client, now);
        for (const auto& connection : client->connections) service(*client, *connection, now);
        std::erase_if(client->connections, [](const auto& connection) {
            return connection->state() != State::Connecting && !connection->isOpen();
        });
        openMissingConnections(*client, now);
    }
    serviceIdleConnections(now);
    checkHealth(now);
    while (sending_ && nextArrival_ <= now) {
        sendNext(now);
        nextArrival_ += random_.nextInterarrivalTime(plan_.requestsPerSecond);
    }
}

void Clients::openMissingConnections(Client& client, Duration now) {
    if (now < client.nextOpen) return;
    client.nextOpen = now + kReopenInterval;
    while (client.connections.size() < static_cast<std::size_t>(plan_.connectionsPerClient))
        client.connections.push_back(std::make_unique<ClientConnection>(server_));
}

void Clients::pauseSlowReader(Client& client, Duration now) {
    if (!client.readsSlowly || now < client.nextPause) return;
    if (client.nextPause > 0ns) client.readsAgainAt = now + random_.between(50ms, 500ms);
    client.nextPause = std::max(now, client.readsAgainAt) + random_.between(200ms, 700ms);
}

void Clients::service(Client& client, ClientConnection& connection, Duration now) {
    connection.checkConnected();
    connection.writeDue(now);
    connection.checkEnded();
    if (now < client.readsAgainAt) {
        for (const auto& [sequence, id] : connection.open) recorder_.find(id)->clientPausedReading = true;
        return;
    }
    const bool readable =
        connection.read([&](const frames::Message& message) { onMessage(client, connection, message); });
    if (!readable) {
        ++recorder_.current().unreadableBytes;
        connection.close(true);
        return recordOutcome(connection, ConnectionOutcome::ClosedByServer);
    }
    if (connection.state() == State::ClosedByServer)
        return recordOutcome(connection, ConnectionOutcome::ClosedByServer);
    const bool isDraining = connection.receivedGoaway && !client.ignoresGoaway;
    if (isDraining && connection.isOpen() && connection.open.empty() && !connection.hasOutput())
        connection.close(false);
}

// Connections that only occupy a descriptor: half of them send nothing, the others a single health check.
void Clients::serviceIdleConnections(Duration now) {
    if (now < nextIdleService_) return;
    nextIdleService_ = now + kIdleServiceInterval;
    for (const auto& connection : idle_) {
        connection->checkConnected();
        connection->writeDue(now);
        connection->read([](const frames::Message&) {});
    }
    std::erase_if(idle_, [](const auto& connection) {
        return connection->state() == State::Refused || connection->state() == State::ClosedByServer;
    });
    const auto wanted = static_cast<std::size_t>(plan_.idleConnections);
    for (int opened = 0; opened < kMaxIdleOpenedPerInterval && idle_.size() < wanted; ++opened) {
        idle_.push_back(std::make_unique<ClientConnection>(server_));
        if (random_.oneIn(2)) idle_.back()->write(frames::isWell(1, false), 0ns);
    }
}

void Clients::checkHealth(Duration now) {
    if (ready_ || now < nextHealthCheck_) return;
    nextHealthCheck_ = now + kHealthCheckInterval;
    if (!health_ || !(health_->isOpen() || health_->state() == State::Connecting))
        health_ = std::make_unique<ClientConnection>(server_);
    health_->checkConnected();
    health_->read([this](const frames::Message& message) { ready_ = ready_ || message.good; });
    if (ready_) return health_.reset();
    if (!health_->hasOutput()) health_->write(frames::isWell(++health_->sequence, false), 0ns);
    health_->writeDue(now);
}

// ---- Sending --------------------------------------------------------------------------------------------

void Clients::sendNext(Duration now) {
    OutgoingRequest request = generateRequest(now);
    const bool duplicated =
        request.attempt.requestClass == kKeyed && random_.withPercent(kDuplicateKeyedPercent);
    const std::string id = request.attempt.id;
    send(std::move(request));
    const Attempt* const sent = recorder_.find(id);
    if (sent == nullptr) return;
    if (duplicated) retry(*sent, random_.between(0ms, 400ms));
    if (sent->requestClass != kKeyed) return;
    keyedAttempts_.push_back(id);
    if (keyedAttempts_.size() > kMaxKeyedAttempts) keyedAttempts_.pop_front();
}

Clients::OutgoingRequest Clients::generateRequest(Duration now) {
    OutgoingRequest request;
    Attempt& attempt = request.attempt;
    const auto draw = random_.between(1, 100);
    attempt.requestClass = draw <= 45   ? kRead
                           : draw <= 70 ? kReadWithCall
                           : draw <= 85 ? kOnceWithCall
                                        : kKeyed;
    attempt.id = attempt.firstAttempt = hex(++lastId_);
    if (attempt.requestClass == kKeyed) attempt.key = "key-" + attempt.id;
    const bool calls = attempt.requestClass == kReadWithCall || attempt.requestClass == kOnceWithCall;
    attempt.body = requestBody(random_.between(2ms, 28ms), calls ? 1 : 0, lastId_);
    attempt.memoryKb = static_cast<double>(random_.between(5, 20));
    request.timeout = random_.withPercent(kShortTimeoutPercent) ? random_.between(1ms, 40ms)
                                                                : random_.between(800ms, 3000ms);
    attempt.deadline = now + request.timeout;
    return request;
}

ClientConnection* Clients::pickConnection(Client*& client) {
    client = clients_[static_cast<std::size_t>(random_.between(0, plan_.clients - 1))].get();
    std::vector<ClientConnection*> usable;
    for (const auto& connection : client->connections) {
        const bool isDraining = connection->receivedGoaway && !client->ignoresGoaway;
        if (connection->isOpen() && !isDraining && connection->open.size() < kMaxOpenRequests)
            usable.push_back(connection.get());
    }
    if (usable.empty()) return nullptr;
    return usable[static_cast<std::size_t>(random_.between(0, static_cast<std::int64_t>(usable.size()) - 1))];
}

void Clients::send(OutgoingRequest request) {
    Client* client = nullptr;
    ClientConnection* const connection = pickConnection(client);
    if (connection == nullptr) return;
    const Duration now = net::unixNow();
    Attempt& attempt = request.attempt;
    attempt.incarnation = recorder_.currentIndex();
    const std::int64_t born = now / 1ms;
    attempt.deadline = 1ms * born + request.timeout / 1ms * 1ms;
    static const char* const kNames[] = {"read", "look", "once", "keyed"};
    testing::FieldMap fields = {{"route", kNames[attempt.requestClass]},
                                {"trace", attempt.id},
                                {"born", std::to_string(born)},
                                {"client", std::to_string(client->number)},
                                {"customer", "acme"},
                                {"patience", std::to_string(request.timeout / 1ms)},
                                {"size", std::to_string(attempt.memoryKb)},
                                {"weight", "15.00"},
                                {"order", "0.5"}};
    if (!attempt.key.empty()) fields["nonce"] = attempt.key;
    if (request.isRetry) fields["redo"] = "1";
    const std::int32_t sequence = ++connection->sequence;
    const std::string id = attempt.id;
    const std::string frame = frames::serve(sequence, fields, attempt.body);
    recorder_.add(std::move(attempt));
    connection->open[sequence] = connection->sent[sequence] = id;
    connection->attempts.push_back(id);
    writeInPieces(*connection, frame, now, [this, client, connection, sequence, id] {
        onRequestWritten(*client, *connection, sequence, id);
    });
    connection->writeDue(now);
}

void Clients::writeInPieces(ClientConnection& connection, const std::string& frame, Duration now,
                            std::function<void()> onWritten) {
    const std::int64_t pieces = random_.withPercent(kSplitWritePercent) ? random_.between(2, 5) : 1;
    std::size_t from = 0;
    for (std::int64_t piece = 1; piece < pieces; ++piece) {
        const auto rest = static_cast<std::int64_t>(frame.size() - from);
        const auto length = static_cast<std::size_t>(random_.between(1, std::max<std::int64_t>(1, rest / 2)));
        connection.write(frame.substr(from, length), now);
        from += length;
        now += random_.between(0ms, 60ms);
    }
    connection.write(frame.substr(from), now, std::move(onWritten));
}

void Clients::onRequestWritten(Client& client, ClientConnection& connection, std::int32_t sequence,
                               const std::string& id) {
    Attempt& attempt = *recorder_.find(id);
    attempt.writtenAt = net::unixNow();
    attempt.connectionHadResponse = connection.hasReceivedMessage;
    recorder_.log("client " + std::to_string(client.number),
                  "wrote the last byte of a request of class " +
                      recorder_.observations.classes[static_cast<std::size_t>(attempt.requestClass)].name +
                      " on " + connection.describe() + ", sequence " + std::to_string(sequence),
                  id);
    if (random_.withPercent(kCloseAfterWritePercent)) {
        // Scheduled, as the connection must not be closed from within its own write.
        scheduler_.schedule(*attempt.writtenAt, [this, &client, sequence, id, reset = random_.oneIn(2)] {
            ClientConnection* const awaiting = findAwaiting(client, sequence, id);
            if (awaiting == nullptr) return;
            recordOutcome(*awaiting, ConnectionOutcome::ClosedByClient);
            awaiting->close(reset);
        });
        return;
    }
    if (!random_.withPercent(kCancelPercent)) return;
    scheduler_.schedule(*attempt.writtenAt + random_.between(1ms, 60ms), [this, &client, sequence, id] {
        ClientConnection* const awaiting = findAwaiting(client, sequence, id);
        if (awaiting == nullptr) return;
        recorder_.find(id)->cancelledAt = net::unixNow();
        recorder_.log("client " + std::to_string(client.number), "cancels", id);
        awaiting->write(frames::forget(++awaiting->sequence, sequence), 0ns);
    });
}

// Returns the open connection on which an attempt awaits its answer.
ClientConnection* Clients::findAwaiting(Client& client, std::int32_t sequence, const std::string& id) {
    for (const auto& connection : client.connections) {
        const auto found = connection->open.find(sequence);
        if (connection->isOpen() && found != connection->open.end() && found->second == id)
            return connection.get();
    }
    return nullptr;
}

// ---- Receiving ------------------------------------------------------------------------------------------

void Clients::onMessage(Client& client, ClientConnection& connection, const frames::Message& message) {
    if (message.method == "goaway") {
        connection.receivedGoaway = true;
        for (const auto& [sequence, id] : connection.open)
            recorder_.log("client " + std::to_string(client.number),
                          "received goaway while awaiting the answer", id);
        return;
    }
    if (message.method == "isWell") return;
    const auto found = connection.sent.find(message.sequence);
    if (found == connection.sent.end()) {
        ++recorder_.current().unreadableBytes;
        return recorder_.log("client " + std::to_string(client.number),
                             "received an answer with an unknown sequence number");
    }
    connection.open.erase(message.sequence);
    Attempt& attempt = *recorder_.find(found->second);
    attempt.connectionHadResponse = true;
    onResponse(attempt, message);
}

void Clients::onResponse(Attempt& attempt, const frames::Message& message) {
    Response response;
    response.at = net::unixNow();
    response.kind = message.kind == "answer" ? Response::Kind::Served
                    : message.kind == "busy" ? Response::Kind::Rejected
                                             : Response::Kind::Failed;
    response.body = message.body;
    attempt.responses.push_back(response);
    recorder_.log("client", "received the answer: " + message.kind + " " + message.body, attempt.id);
    if (response.kind != Response::Kind::Rejected || message.fields.contains("terminal")) return;
    if (attempt.responses.size() > 1 || !random_.withPercent(kRetryAfterRejectionPercent)) return;
    const auto pause = message.fields.find("pause");
    const Duration wait =
        1ms * (pause == message.fields.end() ? kDefaultRetryDelayMs : std::stoll(pause->second));
    retry(attempt, wait);
}

// Sends another attempt of the same request, with a new id.
void Clients::retry(const Attempt& attempt, Duration after) {
    OutgoingRequest request;
    request.attempt.requestClass = attempt.requestClass;
    request.attempt.firstAttempt = attempt.firstAttempt;
    request.attempt.key = attempt.key;
    request.attempt.body = attempt.body;
    request.attempt.memoryKb = attempt.memoryKb;
    request.attempt.id = hex(++lastId_);
    request.timeout = random_.between(500ms, 2000ms);
    request.isRetry = true;
    const std::uint64_t incarnation = incarnationCount_;
    scheduler_.schedule(net::unixNow() + after, [this, request, incarnation] {
        if (incarnation == incarnationCount_ && sending_) send(request);
    });
}

// A request that crossed a close by the server is sent again on another connection.
void Clients::recordOutcome(ClientConnection& connection, ConnectionOutcome outcome) {
    if (std::exchange(connection.outcomeRecorded, true)) return;
    const Duration ended = connection.endedByServerAt.value_or(net::unixNow());
    for (const std::string& id : connection.attempts) {
        Attempt& attempt = *recorder_.find(id);
        if (!attempt.responses.empty()) continue;
        attempt.connection = outcome;
        attempt.connectionEndedAt = ended;
        if (!attempt.writtenAt) continue;
        recorder_.log("client", "connection ended without an answer", id);
        const bool crossed =
            outcome == ConnectionOutcome::ClosedByServer && ended - *attempt.writtenAt <= 50ms;
        if (crossed && !attempt.cancelledAt) retry(attempt, 1ms);
    }
    connection.open.clear();
}

}  // namespace cottonwing::soak
