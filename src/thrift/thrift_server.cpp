#include "thrift/thrift_server.h"

#include <charconv>
#include <utility>
#include <variant>

#include "net/clock.h"
#include "thrift/wire_names.h"

namespace cottonwing::thrift {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr char kLogComponent[] = "thrift";
constexpr char kEndLogComponent[] = "connection";  // its own, as messages to reject may suppress many lines
constexpr std::size_t kMaxLoggedNameBytes = 40;    // of a method name from a client
constexpr std::size_t kMaxEchoedNameBytes = 256;   // of a method name, in the answer to an invalid message
constexpr int kMaxMessagesPerTurn = 64;            // per connection; the rest is read in the next turn
constexpr Duration kFirstMessageTimeout = 1500ms;  // from acceptance to the first complete message
constexpr Duration kSweepInterval = 100ms;
constexpr int kLoadShareDecimals = 4;

std::string toText(double value) {
    char digits[32];
    const auto end =
        std::to_chars(digits, digits + sizeof digits, value, std::chars_format::fixed, kLoadShareDecimals)
            .ptr;
    return {digits, end};
}

}  // namespace

ThriftServer::ThriftServer(net::Loop& loop, const net::Address& at, const config::ResourceLimits& limits,
                           config::NameTables names, const std::vector<RequestClass>& requestClasses,
                           bool timeoutRequired, request::RequestManager& requests, telemetry::Log& log,
                           telemetry::Counters& counters)
    : loop_(loop),
      bufferBudget_(std::make_shared<net::MemoryBudget>(net::MemoryBudget{limits.thriftBytes})),
      decoder_(std::move(names), requestClasses, timeoutRequired),
      requests_(requests),
      log_(log),
      counters_(counters),
      connections_(limits.thriftConnections),
      stallMeter_(kSweepInterval),
      sweepTimer_(loop, [this] { sweep(); }),
      listener_(std::make_unique<net::Listener>(
          loop, at, [this](net::PendingConnection socket) { accept(socket); },
          [this] { return !ensureCapacity(); })) {
    sweepTimer_.start(kSweepInterval);
}

ThriftServer::~ThriftServer() = default;

// Accepting.

void ThriftServer::accept(net::PendingConnection socket) {
    ThriftConnection::Handler& handler = *this;
    connections_.add(std::make_shared<ThriftConnection>(loop_, socket, handler, bufferBudget_));
    counters_.add(Count::ConnectionsOpened);
}

bool ThriftServer::ensureCapacity() {
    if (!makeRoom(ThriftConnection::guaranteedBytes(), nullptr)) return false;
    using Action = AcceptDecision::Action;
    const AcceptDecision decision = connections_.decideAccept(*closing_, net::unixNow());
    switch (decision.action) {
        case Action::Accept:
            return true;
        case Action::EvictAndAccept:
            evict(*decision.connection, net::ConnectionEnd::Unused);
            return true;
        case Action::CloseIdleThenWait:
            closeGracefully(*decision.connection, net::ConnectionEnd::Unused);
            return false;
        case Action::Wait:
            return false;
    }
    return false;
}

void ThriftServer::evict(ThriftConnection& connection, net::ConnectionEnd end) {
    counters_.add(Count::ConnectionsEvicted);
    abort(connection, end);
}

// Frees shared memory until the bytes have room, at the cost of connections on which nothing is open. Returns
// whether they have.
bool ThriftServer::makeRoom(std::size_t bytes, const ThriftConnection* inUse) {
    while (!bufferBudget_->hasRoomFor(bytes)) {
        ThriftConnection* const holder = connections_.findMemoryHolder(inUse);
        if (holder == nullptr) return false;
        evict(*holder, net::ConnectionEnd::OutOfMemory);
    }
    return true;
}

// Whether a frame of that size can be sent, if need be after others gave way.
bool ThriftServer::ensureOutputRoom(ThriftConnection& connection, std::size_t bytes) {
    return connection.canSend(bytes) || (makeRoom(bytes, &connection) && connection.canSend(bytes));
}

// Reading goes on in the next turn if a connection gave way, and is tried again with the next sweep if none
// has to.
void ThriftServer::inputStarved(ThriftConnection& connection) {
    ThriftConnection* const holder = connections_.findMemoryHolder(nullptr);
    if (holder == nullptr) return connection.pauseReading();
    evict(*holder, net::ConnectionEnd::OutOfMemory);
}

void ThriftServer::resumeAccepting() {
    if (listener_) listener_->resume();
}

// Reading.

void ThriftServer::inputArrived(ThriftConnection& connection) {
    if (connection.readingStopped()) return;
    // Nobody waits for what a client that has left wrote before.
    if (connection.hasPeerClosed()) return abort(connection, net::ConnectionEnd::PeerClosed);
    for (int messages = 0;; ++messages) {
        if (messages == kMaxMessagesPerTurn || connection.isOutputHalfFull()) return connection.deferRead();
        if (!ensureOutputRoom(connection, kMaxControlFrameBytes)) return connection.deferReadUntilWritten();
        std::size_t length = 0;
        const FrameState state = peekFrame(connection.input(), length);
        if (state == FrameState::Partial)
            return connection.noteIncompleteMessage(messages > 0, net::unixNow());
        if (state == FrameState::TooLong) return abortMalformed(connection, net::ConnectionEnd::TooLong);
        const std::optional<Message> message = takeMessage(connection, length);
        if (!message || !handle(connection, *message))
            return abortMalformed(connection, net::ConnectionEnd::Malformed);
        if (connection.hasTooManyProtocolErrors())
            return connection.stopReading(net::ConnectionEnd::Malformed);
    }
}

// Removes and decodes the next message, whose complete frame is in the input; nothing if it is malformed.
std::optional<Message> ThriftServer::takeMessage(ThriftConnection& connection, std::size_t length) {
    const std::size_t frameBytes = kFrameHeaderBytes + length;
    net::ByteRing& input = connection.input();
    std::optional<Message> message = readMessage(input.peek(frameBytes, scratch_).substr(kFrameHeaderBytes));
    input.drop(frameBytes);
    if (!message) return std::nullopt;
    connections_.identify(connection);
    connections_.touch(connection, net::unixNow());
    return message;
}

void ThriftServer::abortMalformed(ThriftConnection& connection, net::ConnectionEnd end) {
    counters_.add(Count::MalformedFrames);
    log_.warn(kLogComponent,
              end == net::ConnectionEnd::TooLong
                  ? "frame exceeds " + std::to_string(kMaxFrameBytes) + " bytes; closing the connection"
                  : "malformed frame; closing the connection");
    abort(connection, end);
}

// Returns false if the message violates the protocol such that the connection can't be continued.
bool ThriftServer::handle(ThriftConnection& connection, const Message& message) {
    switch (message.method) {
        case Method::Serve:
            if (message.oneway || !connection.canOpenRequest(message.sequence)) return false;
            handleRequest(connection, message);
            return true;
        case Method::Cancel:
            handleCancel(connection, message);
            return true;
        case Method::HealthCheck:
            handleHealthCheck(connection, message);
            return true;
        case Method::Unknown:
            if (message.oneway) return true;
            connection.addProtocolError();
            rejectMessage(connection, message, ApplicationError::UnknownMethod, "no such method");
            return true;
    }
    return false;
}

void ThriftServer::handleRequest(ThriftConnection& connection, const Message& message) {
    auto decoded = decoder_.decode(message, net::unixNow());
    if (const auto* const error = std::get_if<RequestError>(&decoded))
        return rejectRequest(connection, message, *error);
    auto& incoming = std::get<request::IncomingRequest>(decoded);
    const RequestId id = incoming.request.id;
    if (requests_.contains(id)) return rejectRequest(connection, message, RequestError::RequestInProgress);
    // What the client is owed is set aside before it is promised.
    if (!makeRoom(kReservedAnswerBytes, &connection)) return rejectForMemory(connection, message);
    connection.openRequest(message.sequence, id, {bufferBudget_, kReservedAnswerBytes});
    inFlight_[id] = {&connection, message.sequence};
    requests_.accept(std::move(incoming));
}

void ThriftServer::rejectForMemory(ThriftConnection& connection, const Message& message) {
    counters_.add(Count::RequestsRead);
    counters_.add(Count::Rejected);
    counters_.add(Count::RejectedForMemory);
    send(connection, writeBusy(message.sequence, loadShareFields()));
}

// Without effect if the request is already answered: the response and the cancellation crossed on the wire.
void ThriftServer::handleCancel(ThriftConnection& connection, const Message& message) {
    counters_.add(Count::CancelMessages);
    const auto id = connection.closeRequest(message.cancelledSequence.value_or(0));
    if (!id) return;
    inFlight_.erase(*id);
    requests_.clientCancelled(*id);
}

void ThriftServer::handleHealthCheck(ThriftConnection& connection, const Message& message) {
    counters_.add(Count::HealthChecks);
    if (message.oneway) return;  // no response is expected
    // A deep check beyond the limit gets the answer that one without a timely result gets.
    if (!message.deepHealthCheck || !connection.beginHealthCheck())
        return answerHealthCheck(connection, message.sequence, requests_.healthy());
    // The connection may end before the check completes.
    requests_.checkEndToEndHealth(
        [this, weak = connection.weak_from_this(), sequence = message.sequence](bool healthy) {
            const auto still = weak.lock();
            if (!still) return;
            still->endHealthCheck();
            answerHealthCheck(*still, sequence, healthy);
        });
}

// That a request is read after its deadline is no error of its client: the network or this machine may have
// held it back, and the timely requests behind it are owed their answers.
void ThriftServer::rejectRequest(ThriftConnection& connection, const Message& message, RequestError error) {
    if (error == RequestError::DeadlinePassed)
        counters_.add(Count::OverdueRequests);
    else
        connection.addProtocolError();
    rejectMessage(connection, message, ApplicationError::Internal, textOf(error));
}

void ThriftServer::rejectMessage(ThriftConnection& connection, const Message& message, ApplicationError error,
                                 const std::string& reason) {
    counters_.add(Count::MalformedRequests);
    log_.warn(kLogComponent,
              "invalid " + message.name.substr(0, kMaxLoggedNameBytes) + " message: " + reason);
    const std::string name = message.name.substr(0, kMaxEchoedNameBytes);
    send(connection, writeApplicationException(name, message.sequence, error, reason));
}

// Answering.

void ThriftServer::completed(RequestId id, std::string_view result) {
    if (const auto found = inFlight_.find(id); found != inFlight_.end())
        found->second.connection->noteServed();
    answer(id, [&](std::int32_t sequence) {
        return writeAnswer(wire::kServeMethod, sequence, result, loadShareFields(), true);
    });
}

void ThriftServer::rejected(RequestId id, const Pushback& pushback) {
    Fields fields = loadShareFields();
    if (pushback.retryAfter >= 1ms)
        fields.emplace(wire::kRetryAfterMs, std::to_string(pushback.retryAfter / 1ms));
    if (!pushback.retryElsewhere) fields.emplace(wire::kNoRetryElsewhere, wire::kNoRetryElsewhereValue);
    answer(id, [&](std::int32_t sequence) { return writeBusy(sequence, fields); });
}

void ThriftServer::failed(RequestId id) {
    answer(id, [&](std::int32_t sequence) { return writeFailed(sequence, loadShareFields()); });
}

void ThriftServer::failedByClient(RequestId id) {
    if (const auto found = inFlight_.find(id); found != inFlight_.end())
        found->second.connection->addProtocolError();
    failed(id);
}

bool ThriftServer::isClientConnected(RequestId id) {
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end()) return true;
    ThriftConnection& connection = *found->second.connection;
    if (!connection.hasPeerClosed()) return true;
    abort(connection, net::ConnectionEnd::PeerClosed);
    return false;
}

// Sends the response to an open request and closes it. All responses go through here.
void ThriftServer::answer(RequestId id, const std::function<std::string(std::int32_t)>& frame) {
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end()) return;
    const auto [connection, sequence] = found->second;
    inFlight_.erase(found);
    connection->closeRequest(sequence);  // the memory that was set aside is for this answer
    std::string bytes = frame(sequence);
    // Only a result beyond the size that the protocol allows has no room.
    if (!ensureOutputRoom(*connection, bytes.size())) {
        counters_.add(Count::AnswersTooLarge);
        bytes = writeFailed(sequence, loadShareFields());
    }
    send(*connection, bytes);
}

void ThriftServer::answerHealthCheck(ThriftConnection& connection, std::int32_t sequence, bool healthy) {
    send(connection, writeAnswer(wire::kHealthCheckMethod, sequence, {}, loadShareFields(), healthy));
}

void ThriftServer::send(ThriftConnection& connection, const std::string& frame) {
    connections_.touch(connection, net::unixNow());
    ensureOutputRoom(connection, frame.size());
    connection.send(frame);
}

Fields ThriftServer::loadShareFields() const {
    Fields fields;
    if (const auto value = requests_.advertisedLoadShare())
        fields.emplace(wire::kAdvertisedLoadShare, toText(*value));
    return fields;
}

// Ending.

void ThriftServer::connectionEnded(ThriftConnection& connection, net::ConnectionEnd end) {
    abort(connection, end);
}

// A warning if this server ends a connection whose client may lose a request by it: one is open, or there is
// input on a connection that was served before.
void ThriftServer::recordEnd(ThriftConnection& connection, net::ConnectionEnd end, const char* event) {
    counters_.addEnd(end);
    const bool endedByPeer = end == net::ConnectionEnd::PeerClosed || end == net::ConnectionEnd::Reset;
    if (!endedByPeer && connection.hasOpenRequests()) counters_.add(Count::ConnectionsEndedInUse);
    const bool mayLoseRequest =
        connection.hasOpenRequests() || (connection.hasBeenServed() && !connection.isIdle());
    const telemetry::Level level =
        !endedByPeer && mayLoseRequest ? telemetry::Level::Warn : telemetry::Level::Debug;
    if (!log_.isEnabled(level)) return;
    log_.line(level, kEndLogComponent,
              event + std::string(net::nameOf(end)) + " " + connection.describe() +
                  " buffers_used_bytes=" + std::to_string(bufferBudget_->usedBytes) +
                  " buffers_limit_bytes=" + std::to_string(bufferBudget_->limitBytes));
}

// Closes immediately, without waiting for the peer.
void ThriftServer::abort(ThriftConnection& connection, net::ConnectionEnd end) {
    recordEnd(connection, end, "connection ended: reason=");
    connection.tryFlush();
    remove(connection);
    resumeAccepting();
}

// Closes gracefully: pending responses are still written, and the end of the connection tells the client that
// a request which crossed it gets no response.
void ThriftServer::closeGracefully(ThriftConnection& connection, net::ConnectionEnd end) {
    recordEnd(connection, end, "closing connection gracefully: reason=");
    ++*closing_;
    connection.closeGracefully([this, weak = std::weak_ptr<std::size_t>(closing_)] {
        const auto closing = weak.lock();
        if (!closing) return;  // the server was destroyed
        --*closing;
        resumeAccepting();
    });
    remove(connection);
}

// Cancels the open requests of the connection and destroys it.
void ThriftServer::remove(ThriftConnection& connection) {
    for (const RequestId id : connection.closeAllRequests()) {
        inFlight_.erase(id);
        requests_.clientCancelled(id);
    }
    connections_.remove(connection);
}

// Sweeping.

// Checks all connections, whose number is limited, ten times a second.
void ThriftServer::sweep() {
    const Timestamp now = net::unixNow();
    sweepTimer_.start(kSweepInterval);
    excuseStall(now);
    forEachConnection([](ThriftConnection& connection) { connection.resumeReading(); });
    // A goaway that had no room is sent now.
    if (!listener_) forEachConnection([now](ThriftConnection& connection) { connection.drain(now); });
    closeSilentConnections(now);
    const ConnectionList& identified = connections_.identified();
    for (auto next = identified.begin(); next != identified.end();) {
        ThriftConnection& connection = **next++;  // may be destroyed by the check
        checkConnection(connection, now);
    }
    resumeAccepting();
}

// The time in which this process stood still is not counted against its clients.
void ThriftServer::excuseStall(Timestamp now) {
    const Duration stall = stallMeter_.stalledFor(now);
    if (stall == 0ns) return;
    forEachConnection([=](ThriftConnection& connection) { connection.extendTimeouts(stall, now); });
}

void ThriftServer::closeSilentConnections(Timestamp now) {
    const ConnectionList& silent = connections_.newConnections();
    while (!silent.empty() && now - silent.front()->acceptedAt() >= kFirstMessageTimeout)
        closeGracefully(*silent.front(), net::ConnectionEnd::TimedOut);
}

// Enforces the limits on a connection. If the client does not read its responses, closes it immediately. If
// the client does not complete a message in time, or has sent too many invalid ones, closes it once its open
// requests are answered. Closes a draining connection that the client left open, and drains an unused one.
// A client that was served is sound: if its message or its reading comes to a halt, the network holds it
// back, for as long as that takes. It gives way only when memory or places are short.
void ThriftServer::checkConnection(ThriftConnection& connection, Timestamp now) {
    connection.observeOutput(now);
    const bool mayBeHeldBack = connection.hasBeenServed();
    if (!mayBeHeldBack && connection.isOutputStalled(now))
        return abort(connection, net::ConnectionEnd::TimedOut);
    if (!connection.readingStopped()) {
        if (!mayBeHeldBack && connection.isMessageOverdue(now))
            connection.stopReading(net::ConnectionEnd::TimedOut);
        else if (connection.hasTooManyProtocolErrors())
            connection.stopReading(net::ConnectionEnd::Malformed);
    }
    if (connection.hasOpenRequests()) return;
    if (const auto reason = connection.readingStopped()) return closeGracefully(connection, *reason);
    if (connection.isDrainOverdue(now)) return closeGracefully(connection, net::ConnectionEnd::Unused);
    const bool unused = idleTimeout_ > 0ns && now - connection.lastUsedAt() >= idleTimeout_;
    if (unused) connection.drain(now);
}

// Draining.

// Connections in the system's accept queue are already established for their clients, so they are accepted
// and served before the listener is closed.
void ThriftServer::drain() {
    loop_.afterPoll([this, alive = std::weak_ptr<std::size_t>(closing_)] {
        if (!alive.expired()) stopListening();
    });
}

void ThriftServer::stopListening() {
    listener_.reset();
    forEachConnection([now = net::unixNow()](ThriftConnection& connection) { connection.drain(now); });
}

void ThriftServer::stopReading() {
    forEachConnection(
        [](ThriftConnection& connection) { connection.stopReading(net::ConnectionEnd::Unused); });
}

void ThriftServer::tryFlush() {
    forEachConnection([](ThriftConnection& connection) { connection.tryFlush(); });
}

// The action must not add or remove connections.
template <typename Action>
void ThriftServer::forEachConnection(Action&& action) {
    for (const ConnectionList* list : {&connections_.identified(), &connections_.newConnections()}) {
        for (const auto& connection : *list) action(*connection);
    }
}

}  // namespace cottonwing::thrift
