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

constexpr std::size_t kMostOpenRequests = 32;  // PROTOCOL.md: of one connection
constexpr Duration kReopenInterval = 20ms;
constexpr Duration kIdleLookInterval = 25ms;
constexpr int kIdleOpenedPerLook = 8;
constexpr Duration kHealthCheckInterval = 30ms;
constexpr std::size_t kKeyedAttemptsKept = 6;
constexpr long long kWaitUntoldMs = 20;  // before a retry where the rejection named no time

// Shares of the requests with a habit, in percent.
constexpr int kLittleTime = 5;
constexpr int kInPieces = 10;
constexpr int kCancelled = 5;
constexpr int kClosedAsWritten = 1;
constexpr int kRetriedWhenRejected = 40;
constexpr int kDuplicatedKeyed = 40;

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
    Duration pausedUntil{0}, nextPause{0};
};

/// A request about to be sent.
struct Clients::Outgoing {
    Attempt attempt;
    Duration patience{0};
    bool isRetry = false;
};

Clients::Clients(const Plan& plan, const net::Address& server, Agenda& agenda, Chance& chance,
                 Recorder& recorder)
    : plan_(plan),
      server_(server),
      agenda_(agenda),
      chance_(chance),
      recorder_(recorder),
      lastId_(plan.seed << 32) {
    for (int number = 0; number < plan.clients; ++number) {
        clients_.push_back(std::make_unique<Client>());
        clients_.back()->number = number;
        clients_.back()->readsSlowly = number < plan.slowReaders;
        clients_.back()->ignoresGoaway = number >= plan.clients - plan.ignoreGoaway;
    }
}

Clients::~Clients() = default;

void Clients::beginLife() {
    living_ = true;
    sending_ = false;
    ready_ = false;
    ++lifeCount_;
}

void Clients::startTraffic() {
    sending_ = true;
    nextArrival_ = net::unixNow();
    for (const std::string& id : std::exchange(keyedAttempts_, {}))
        if (const Attempt* const attempt = recorder_.find(id)) retry(*attempt, chance_.between(1ms, 300ms));
}

void Clients::endLife() {
    living_ = false;
    sending_ = false;
    const Duration now = net::unixNow();
    for (const auto& client : clients_) {
        for (const auto& connection : client->connections) {
            client->pausedUntil = 0ns;
            serve(*client, *connection, now);
            noteFate(*connection, ConnectionFate::ClosedByServer);
        }
        client->connections.clear();
    }
    idle_.clear();
    health_.reset();
}

void Clients::tick(Duration now) {
    if (!living_) return;
    for (const auto& client : clients_) {
        pauseSlowReader(*client, now);
        for (const auto& connection : client->connections) serve(*client, *connection, now);
        std::erase_if(client->connections, [](const auto& connection) {
            return connection->state() != State::Connecting && !connection->isOpen();
        });
        openMissing(*client, now);
    }
    serveIdle(now);
    checkHealth(now);
    while (sending_ && nextArrival_ <= now) {
        sendNext(now);
        nextArrival_ += chance_.untilNextArrival(plan_.requestsPerSecond);
    }
}

void Clients::openMissing(Client& client, Duration now) {
    if (now < client.nextOpen) return;
    client.nextOpen = now + kReopenInterval;
    while (client.connections.size() < static_cast<std::size_t>(plan_.connectionsPerClient))
        client.connections.push_back(std::make_unique<ClientConnection>(server_));
}

void Clients::pauseSlowReader(Client& client, Duration now) {
    if (!client.readsSlowly || now < client.nextPause) return;
    if (client.nextPause > 0ns) client.pausedUntil = now + chance_.between(50ms, 500ms);
    client.nextPause = std::max(now, client.pausedUntil) + chance_.between(200ms, 700ms);
}

void Clients::serve(Client& client, ClientConnection& connection, Duration now) {
    connection.checkConnected();
    connection.writeDue(now);
    connection.checkEnded();
    if (now < client.pausedUntil) {
        for (const auto& [sequence, id] : connection.open) recorder_.find(id)->clientPausedReading = true;
        return;
    }
    const bool readable =
        connection.read([&](const frames::Message& message) { received(client, connection, message); });
    if (!readable) {
        ++recorder_.life().unreadableBytes;
        connection.close(true);
        return noteFate(connection, ConnectionFate::ClosedByServer);
    }
    if (connection.state() == State::ClosedByServer)
        return noteFate(connection, ConnectionFate::ClosedByServer);
    const bool leaves = connection.sawGoaway && !client.ignoresGoaway;
    if (leaves && connection.isOpen() && connection.open.empty() && !connection.hasOutput())
        connection.close(false);
}

// Those that only hold a descriptor: half of them never say a word, the others asked once for health.
void Clients::serveIdle(Duration now) {
    if (now < nextIdleLook_) return;
    nextIdleLook_ = now + kIdleLookInterval;
    for (const auto& connection : idle_) {
        connection->checkConnected();
        connection->writeDue(now);
        connection->read([](const frames::Message&) {});
    }
    std::erase_if(idle_, [](const auto& connection) {
        return connection->state() == State::Refused || connection->state() == State::ClosedByServer;
    });
    const auto wanted = static_cast<std::size_t>(plan_.idleConnections);
    for (int opened = 0; opened < kIdleOpenedPerLook && idle_.size() < wanted; ++opened) {
        idle_.push_back(std::make_unique<ClientConnection>(server_));
        if (chance_.oneIn(2)) idle_.back()->write(frames::isWell(1, false), 0ns);
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
    Outgoing request = drawRequest(now);
    const bool duplicated = request.attempt.requestClass == kKeyed && chance_.percent(kDuplicatedKeyed);
    const std::string id = request.attempt.id;
    send(std::move(request));
    const Attempt* const sent = recorder_.find(id);
    if (sent == nullptr) return;
    if (duplicated) retry(*sent, chance_.between(0ms, 400ms));
    if (sent->requestClass != kKeyed) return;
    keyedAttempts_.push_back(id);
    if (keyedAttempts_.size() > kKeyedAttemptsKept) keyedAttempts_.pop_front();
}

Clients::Outgoing Clients::drawRequest(Duration now) {
    Outgoing request;
    Attempt& attempt = request.attempt;
    const auto drawn = chance_.between(1, 100);
    attempt.requestClass = drawn <= 45   ? kRead
                           : drawn <= 70 ? kReadWithCall
                           : drawn <= 85 ? kOnceWithCall
                                         : kKeyed;
    attempt.id = attempt.firstAttempt = hex(++lastId_);
    if (attempt.requestClass == kKeyed) attempt.key = "key-" + attempt.id;
    const bool calls = attempt.requestClass == kReadWithCall || attempt.requestClass == kOnceWithCall;
    attempt.body = requestBody(chance_.between(2ms, 28ms), calls ? 1 : 0, lastId_);
    attempt.memoryKb = static_cast<double>(chance_.between(5, 20));
    request.patience =
        chance_.percent(kLittleTime) ? chance_.between(1ms, 40ms) : chance_.between(800ms, 3000ms);
    attempt.deadline = now + request.patience;
    return request;
}

ClientConnection* Clients::pickConnection(Client*& client) {
    client = clients_[static_cast<std::size_t>(chance_.between(0, plan_.clients - 1))].get();
    std::vector<ClientConnection*> usable;
    for (const auto& connection : client->connections) {
        const bool leaves = connection->sawGoaway && !client->ignoresGoaway;
        if (connection->isOpen() && !leaves && connection->open.size() < kMostOpenRequests)
            usable.push_back(connection.get());
    }
    if (usable.empty()) return nullptr;
    return usable[static_cast<std::size_t>(chance_.between(0, static_cast<std::int64_t>(usable.size()) - 1))];
}

void Clients::send(Outgoing request) {
    Client* client = nullptr;
    ClientConnection* const connection = pickConnection(client);
    if (connection == nullptr) return;
    const Duration now = net::unixNow();
    Attempt& attempt = request.attempt;
    attempt.life = recorder_.lifeNumber();
    const std::int64_t born = now / 1ms;
    attempt.deadline = 1ms * born + request.patience / 1ms * 1ms;
    static const char* const kNames[] = {"read", "look", "once", "keyed"};
    testing::FieldMap fields = {{"route", kNames[attempt.requestClass]},
                                {"trace", attempt.id},
                                {"born", std::to_string(born)},
                                {"client", std::to_string(client->number)},
                                {"customer", "acme"},
                                {"patience", std::to_string(request.patience / 1ms)},
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
    writeInPieces(*connection, frame, now,
                  [this, client, connection, sequence, id] { written(*client, *connection, sequence, id); });
    connection->writeDue(now);
}

void Clients::writeInPieces(ClientConnection& connection, const std::string& frame, Duration now,
                            std::function<void()> onWritten) {
    const std::int64_t pieces = chance_.percent(kInPieces) ? chance_.between(2, 5) : 1;
    std::size_t from = 0;
    for (std::int64_t piece = 1; piece < pieces; ++piece) {
        const auto rest = static_cast<std::int64_t>(frame.size() - from);
        const auto length = static_cast<std::size_t>(chance_.between(1, std::max<std::int64_t>(1, rest / 2)));
        connection.write(frame.substr(from, length), now);
        from += length;
        now += chance_.between(0ms, 60ms);
    }
    connection.write(frame.substr(from), now, std::move(onWritten));
}

void Clients::written(Client& client, ClientConnection& connection, std::int32_t sequence,
                      const std::string& id) {
    Attempt& attempt = *recorder_.find(id);
    attempt.writtenAt = net::unixNow();
    attempt.connectionWasServed = connection.served;
    recorder_.note("client " + std::to_string(client.number),
                   "wrote the last byte of a request of class " +
                       recorder_.seen.classes[static_cast<std::size_t>(attempt.requestClass)].name + " on " +
                       connection.describe() + ", sequence " + std::to_string(sequence),
                   id);
    if (chance_.percent(kClosedAsWritten)) {
        // Not from under the write that led here.
        agenda_.at(*attempt.writtenAt, [this, &client, sequence, id, reset = chance_.oneIn(2)] {
            ClientConnection* const there = findWaiting(client, sequence, id);
            if (there == nullptr) return;
            noteFate(*there, ConnectionFate::ClosedByClient);
            there->close(reset);
        });
        return;
    }
    if (!chance_.percent(kCancelled)) return;
    agenda_.at(*attempt.writtenAt + chance_.between(1ms, 60ms), [this, &client, sequence, id] {
        ClientConnection* const there = findWaiting(client, sequence, id);
        if (there == nullptr) return;
        recorder_.find(id)->cancelledAt = net::unixNow();
        recorder_.note("client " + std::to_string(client.number), "cancels", id);
        there->write(frames::forget(++there->sequence, sequence), 0ns);
    });
}

// The open connection on which an attempt waits for its answer.
ClientConnection* Clients::findWaiting(Client& client, std::int32_t sequence, const std::string& id) {
    for (const auto& connection : client.connections) {
        const auto found = connection->open.find(sequence);
        if (connection->isOpen() && found != connection->open.end() && found->second == id)
            return connection.get();
    }
    return nullptr;
}

// ---- Receiving ------------------------------------------------------------------------------------------

void Clients::received(Client& client, ClientConnection& connection, const frames::Message& message) {
    if (message.method == "goaway") {
        connection.sawGoaway = true;
        for (const auto& [sequence, id] : connection.open)
            recorder_.note("client " + std::to_string(client.number), "got goaway meanwhile", id);
        return;
    }
    if (message.method == "isWell") return;
    const auto found = connection.sent.find(message.sequence);
    if (found == connection.sent.end()) {
        ++recorder_.life().unreadableBytes;
        return recorder_.note("client " + std::to_string(client.number), "got an answer to nothing");
    }
    connection.open.erase(message.sequence);
    Attempt& attempt = *recorder_.find(found->second);
    attempt.connectionWasServed = true;
    answered(attempt, message);
}

void Clients::answered(Attempt& attempt, const frames::Message& message) {
    Response response;
    response.at = net::unixNow();
    response.kind = message.kind == "answer" ? Response::Kind::Served
                    : message.kind == "busy" ? Response::Kind::Rejected
                                             : Response::Kind::Failed;
    response.body = message.body;
    attempt.responses.push_back(response);
    recorder_.note("client", "got the answer: " + message.kind + " " + message.body, attempt.id);
    if (response.kind != Response::Kind::Rejected || message.fields.contains("terminal")) return;
    if (attempt.responses.size() > 1 || !chance_.percent(kRetriedWhenRejected)) return;
    const auto pause = message.fields.find("pause");
    const Duration wait = 1ms * (pause == message.fields.end() ? kWaitUntoldMs : std::stoll(pause->second));
    retry(attempt, wait);
}

// A further attempt of the same request, with an id of its own.
void Clients::retry(const Attempt& attempt, Duration after) {
    Outgoing request;
    request.attempt.requestClass = attempt.requestClass;
    request.attempt.firstAttempt = attempt.firstAttempt;
    request.attempt.key = attempt.key;
    request.attempt.body = attempt.body;
    request.attempt.memoryKb = attempt.memoryKb;
    request.attempt.id = hex(++lastId_);
    request.patience = chance_.between(500ms, 2000ms);
    request.isRetry = true;
    const std::uint64_t life = lifeCount_;
    agenda_.at(net::unixNow() + after, [this, request, life] {
        if (life == lifeCount_ && sending_) send(request);
    });
}

// What crossed a close of the server is sent once more, on another connection.
void Clients::noteFate(ClientConnection& connection, ConnectionFate fate) {
    if (std::exchange(connection.fateNoted, true)) return;
    const Duration ended = connection.endedByServerAt.value_or(net::unixNow());
    for (const std::string& id : connection.attempts) {
        Attempt& attempt = *recorder_.find(id);
        if (!attempt.responses.empty()) continue;
        attempt.connection = fate;
        attempt.connectionEndedAt = ended;
        if (!attempt.writtenAt) continue;
        recorder_.note("client", "its connection has ended without an answer", id);
        const bool crossed = fate == ConnectionFate::ClosedByServer && ended - *attempt.writtenAt <= 50ms;
        if (crossed && !attempt.cancelledAt) retry(attempt, 1ms);
    }
    connection.open.clear();
}

}  // namespace cottonwing::soak
