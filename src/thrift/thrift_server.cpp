#include "thrift/thrift_server.h"

#include <charconv>
#include <cmath>

namespace cottonwing::thrift {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr std::size_t kMostOpen = 32;  // commands on one connection
constexpr std::size_t kInput = 32 << 10, kOutput = 256 << 10;
constexpr int kMessagesATurn = 64;  // of one connection; the rest waits for its next turn
constexpr int kMostStrikes = 8;     // messages of one connection that are refused before it is closed
// A connection that has yet to send one whole message, and one that has begun a message, get this long.
constexpr Duration kFirstWord = 1500ms, kWholeMessage = 1500ms;
constexpr Duration kWrites = 2s;   // output that nobody takes ends its connection
constexpr Duration kDrained = 1s;  // after goaway, before an idle connection is closed
constexpr Duration kTend = 100ms;
constexpr std::size_t kUnidentified =
    4;  // of the places, one in so many is for those that never said anything whole

std::string text(double value) {
    char digits[32];
    const auto end = std::to_chars(digits, digits + sizeof digits, value, std::chars_format::fixed, 4).ptr;
    return {digits, end};
}

}  // namespace

struct ThriftServer::Line : private net::Owner {
    Line(ThriftServer& theSidecars, net::AcceptedSocket socket)
        : sidecars(theSidecars),
          connection(theSidecars.loop_, socket, *this, {kInput, kOutput, theSidecars.total_}) {}
    void arrived(net::Connection&) override { sidecars.read(*this); }
    void ended(net::Connection&, net::ConnectionEnd end) override { sidecars.end(*this, end); }

    ThriftServer& sidecars;
    net::Connection connection;
    std::map<std::int32_t, RequestId> open;  // by sequence number
    Duration since{0}, used{0};              // accepted; last traffic
    Duration begun{0};                       // when the message began that is not whole yet; 0: none is
    Duration stuck{0};                       // when the output was last seen to be taken; 0: there is none
    std::size_t unread = 0;                  // output at that time
    Duration drainedAt{0};                   // when goaway was sent; 0: it was not
    int strikes = 0;
    std::optional<net::ConnectionEnd> barred;  // why nothing more is read: it ends when all is answered
    bool known = false;                        // one whole message has come
    Lines::iterator place;
};

ThriftServer::ThriftServer(net::Loop& loop, const net::Address& at, const config::ResourceLimits& shares,
                           config::NameTables names, const std::vector<RequestClass>& profiles,
                           bool patienceTold, request::RequestManager& backend, telemetry::Log& log,
                           telemetry::Counters& counters)
    : loop_(loop),
      most_(shares.thriftConnections),
      total_(std::make_shared<net::Total>(net::Total{shares.thriftBytes})),
      decoder_(std::move(names), profiles, patienceTold),
      backend_(backend),
      log_(log),
      counters_(counters),
      tend_(loop, [this] { tend(); }),
      listener_(std::make_unique<net::Listener>(
          loop, at, [this](net::AcceptedSocket socket) { accept(socket); }, [this] { return !makeRoom(); })) {
    tend_.start(kTend);
}

ThriftServer::~ThriftServer() = default;

void ThriftServer::accept(net::AcceptedSocket socket) {
    unidentified_.push_back(std::make_shared<Line>(*this, socket));
    Line& line = *unidentified_.back();
    line.place = std::prev(unidentified_.end());
    line.since = line.used = net::unixNow();
    counters_.add(Count::ConnectionsOpened);
}

// Who may hold a place: one that never said anything whole may not for long, and not many of them may; one
// with nothing open gives way to whoever comes, the longest unused first. Commands in hand keep theirs.
bool ThriftServer::makeRoom() {
    const bool full = connections() >= most_;
    if (!full && unidentified_.size() * kUnidentified < most_) return true;
    const Duration now = net::unixNow();
    // Those that came this moment may be about to speak, or their words are in that no turn has read.
    for (const auto& line : unidentified_) {
        if (now - line->since < kTend) break;
        if (line->connection.hasUnread()) continue;
        evict(*line);
        return true;
    }
    if (!full) return true;
    for (const auto& line : lines_) {
        if (!atRest(*line)) continue;
        // One that was answered just now may have yet to read it. Its place is free when it has.
        if (now - line->used < kTend || !line->connection.output().empty()) {
            if (*ending_ == 0) finish(*line, net::ConnectionEnd::Unused);
            return false;
        }
        evict(*line);
        return true;
    }
    return false;
}

void ThriftServer::evict(Line& line) {
    counters_.add(Count::ConnectionsEvicted);
    end(line, net::ConnectionEnd::Unused);
}

// Nothing is open on it, and nothing has arrived that was not read yet.
bool ThriftServer::atRest(const Line& line) const {
    return line.open.empty() && line.connection.input().empty() && !line.connection.hasUnread();
}

void ThriftServer::touch(Line& line) {
    line.used = net::unixNow();
    if (line.known) lines_.splice(lines_.end(), lines_, line.place);
}

void ThriftServer::read(Line& line) {
    if (line.barred) return;
    net::Ring& input = line.connection.input();
    for (int messages = 0;; ++messages) {
        if (messages == kMessagesATurn || line.connection.halfFull()) return line.connection.readOnLater();
        std::size_t length = 0;
        const FrameState state = lookForFrame(input, length);
        if (state == FrameState::Partial) {
            // Bytes that complete nothing do not count as traffic.
            if (input.empty())
                line.begun = 0ns;
            else if (messages > 0 || line.begun == 0ns)
                line.begun = net::unixNow();
            return;
        }
        std::optional<Message> message;
        if (state == FrameState::Whole) {
            message = readMessage(input.peek(4 + length, scratch_).substr(4));
            input.drop(4 + length);
        }
        if (message && !line.known) {
            line.known = true;
            lines_.splice(lines_.end(), unidentified_, line.place);
        }
        if (message) touch(line);
        if (!message || !take(line, *message)) {
            counters_.add(Count::MalformedFrames);
            log_.warn("sidecar",
                      state == FrameState::TooLong ? "a frame is too long" : "a frame is malformed");
            return end(line, state == FrameState::TooLong ? net::ConnectionEnd::TooLong
                                                          : net::ConnectionEnd::Malformed);
        }
        // One that goes on asking for what can't be read, or the same again as soon as it is turned away.
        if (line.strikes >= kMostStrikes) return bar(line, net::ConnectionEnd::Malformed);
    }
}

// False when the connection can't go on.
bool ThriftServer::take(Line& line, const Message& message) {
    switch (message.method) {
        case Method::Serve:
            if (message.oneway || line.open.contains(message.sequence) || line.open.size() >= kMostOpen)
                return false;
            takeCommand(line, message);
            return true;
        case Method::Forget: {
            counters_.add(Count::CancelMessages);
            const auto open = line.open.find(message.cancelledSequence.value_or(0));
            if (open == line.open.end()) return true;  // answered already
            const RequestId id = open->second;
            line.open.erase(open);
            inFlight_.erase(id);
            backend_.clientCancelled(id);
            return true;
        }
        case Method::IsWell:
            counters_.add(Count::HealthChecks);
            if (message.oneway || !message.deepHealthCheck) {
                if (!message.oneway) tellHealth(line, message.sequence, backend_.healthy());
                return true;
            }
            // The connection may end before the work does.
            backend_.checkWorkGetsDone(
                [this, asked = std::weak_ptr(*line.place), sequence = message.sequence](bool good) {
                    if (const auto still = asked.lock()) tellHealth(*still, sequence, good);
                });
            return true;
        case Method::Unknown:
            if (!message.oneway) refuse(line, message, ApplicationError::UnknownMethod, "no such method");
            return true;
    }
    return false;
}

void ThriftServer::takeCommand(Line& line, const Message& message) {
    auto decoded = decoder_.decode(message, net::unixNow());
    if (const auto* const error = std::get_if<RequestError>(&decoded))
        return refuse(line, message, ApplicationError::Internal, textOf(*error));
    auto& incoming = std::get<request::IncomingRequest>(decoded);
    const RequestId id = incoming.request.id;
    if (backend_.contains(id))
        return refuse(line, message, ApplicationError::Internal, textOf(RequestError::RequestInProgress));
    line.open.emplace(message.sequence, id);
    inFlight_[id] = {&line, message.sequence};
    backend_.accept(std::move(incoming));
}

void ThriftServer::refuse(Line& line, const Message& message, ApplicationError kind, const std::string& why) {
    counters_.add(Count::MalformedRequests);
    log_.warn("sidecar", message.name.substr(0, 40) + " refused: " + why);
    write(line, writeApplicationException(message.name, message.sequence, kind, why));
    ++line.strikes;
}

void ThriftServer::tellHealth(Line& line, std::int32_t sequence, bool good) {
    write(line, writeAnswer("isWell", sequence, {}, advice(), good));
}

Fields ThriftServer::advice() const {
    Fields fields;
    if (const auto value = backend_.advertisedLoadShare()) fields.emplace("advice", text(*value));
    return fields;
}

void ThriftServer::completed(RequestId id, std::string_view result) {
    // What is worth handling makes good for what could not be read, on a connection that lives for long.
    if (const auto place = inFlight_.find(id); place != inFlight_.end()) place->second.line->strikes = 0;
    answer(id, [&](std::int32_t sequence) { return writeAnswer("serve", sequence, result, advice(), true); });
}

void ThriftServer::rejected(RequestId id, const Pushback& pushback) {
    Fields fields = advice();
    if (pushback.retryAfter >= 1ms) fields.emplace("pause", std::to_string(pushback.retryAfter / 1ms));
    if (!pushback.retryElsewhere) fields.emplace("terminal", "1");
    answer(id, [&](std::int32_t sequence) { return writeBusy(sequence, fields); });
}

void ThriftServer::failed(RequestId id) {
    answer(id, [&](std::int32_t sequence) { return writeFailed(sequence, advice()); });
}

void ThriftServer::unknownToExecutor(RequestId id) {
    if (const auto place = inFlight_.find(id); place != inFlight_.end()) ++place->second.line->strikes;
    failed(id);
}

// The one place where a command's place is freed by an answer.
void ThriftServer::answer(RequestId id, const std::function<std::string(std::int32_t)>& frame) {
    const auto place = inFlight_.find(id);
    if (place == inFlight_.end()) return;
    const auto [line, sequence] = place->second;
    inFlight_.erase(place);
    line->open.erase(sequence);
    write(*line, frame(sequence));
}

void ThriftServer::write(Line& line, const std::string& frame) {
    touch(line);
    line.connection.send(frame);
    if (line.stuck == 0ns) {
        line.stuck = line.used;
        line.unread = 0;
    }
}

void ThriftServer::end(Line& line, net::ConnectionEnd end) {
    counters_.addEnd(end);
    log_.debug("sidecar", std::string("connection ended: ") + net::nameOf(end));
    line.connection.writeLast();
    forgetAll(line);
    if (listener_) listener_->resume();
}

void ThriftServer::finish(Line& line, net::ConnectionEnd end) {
    counters_.addEnd(end);
    log_.debug("sidecar", std::string("connection ends in order: ") + net::nameOf(end));
    ++*ending_;
    line.connection.finish([this, left = std::weak_ptr<std::size_t>(ending_)] {
        const auto ending = left.lock();
        if (!ending) return;  // we are gone ourselves
        --*ending;
        if (listener_) listener_->resume();
    });
    forgetAll(line);
}

// One that is not to be read from any more, for what it sent or failed to send. What it has open is answered
// first: the commands of an honest sidecar are not lost for a message that we can't bear with.
void ThriftServer::bar(Line& line, net::ConnectionEnd end) {
    line.barred = end;
    line.begun = 0ns;
    line.connection.stopReading();
}

// The connection is out of every table, and those who waited on it have left.
void ThriftServer::forgetAll(Line& line) {
    const auto open = std::move(line.open);
    for (const auto& [sequence, id] : open) {
        inFlight_.erase(id);
        backend_.clientCancelled(id);
    }
    (line.known ? lines_ : unidentified_).erase(line.place);
}

// Looks at all connections, whose number is bounded, ten times a second: one without words, one that is too
// slow with a message or at taking its answers, and one that was told to drain and stays, goes.
void ThriftServer::tend() {
    const Duration now = net::unixNow();
    tend_.start(kTend);
    while (!unidentified_.empty() && now - unidentified_.front()->since >= kFirstWord)
        finish(*unidentified_.front(), net::ConnectionEnd::TimedOut);
    for (auto next = lines_.begin(); next != lines_.end();) {
        Line& line = **next++;
        const std::size_t output = line.connection.output().size();
        if (output == 0 || output < line.unread) line.stuck = output == 0 ? 0ns : now;
        line.unread = output;
        if (line.stuck > 0ns && now - line.stuck >= kWrites) {
            end(line, net::ConnectionEnd::TimedOut);
            continue;
        }
        if (!line.barred && line.begun > 0ns && now - line.begun >= kWholeMessage)
            bar(line, net::ConnectionEnd::TimedOut);
        else if (!line.barred && line.strikes >= kMostStrikes)
            bar(line, net::ConnectionEnd::Malformed);
        if (line.barred && line.open.empty())
            finish(line, *line.barred);
        else if (line.drainedAt > 0ns && now - line.drainedAt >= kDrained && atRest(line))
            finish(line, net::ConnectionEnd::Unused);
        else if (line.open.empty() && line.drainedAt == 0ns && idle_ > 0ns && now - line.used >= idle_)
            drain(line);
    }
    if (listener_) listener_->resume();
}

// Drained rather than closed: a command that crosses is still served.
void ThriftServer::drain(Line& line) {
    if (line.drainedAt > 0ns) return;
    line.drainedAt = net::unixNow();
    line.connection.send(writeGoaway());
}

// What lies at the listener was accepted by the system, and is ours to answer: it is taken in first.
void ThriftServer::drain() {
    loop_.afterPoll([this, here = std::weak_ptr<std::size_t>(ending_)] {
        if (!here.expired()) closeDoor();
    });
}

void ThriftServer::closeDoor() {
    listener_.reset();
    for (const Lines* list : {&lines_, &unidentified_})
        for (const auto& line : *list) drain(*line);
}

}  // namespace cottonwing::thrift
