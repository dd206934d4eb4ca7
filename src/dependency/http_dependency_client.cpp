#include "dependency/http_dependency_client.h"

#include <utility>

#include "dependency/call_format.h"

namespace cottonwing::dependency {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr std::size_t kInputBufferBytes = 128 << 10;
constexpr std::size_t kOutputBufferBytes = 32 << 10;
// The dependency closes connections after 10 s without use. They are closed here before that, so that no call
// is sent on a connection that is being closed.
constexpr Duration kMaxIdleTime = 4s;
// Time after a reply until its connection is reused. A duplicate of the reply may follow in pieces, and must
// not be taken for the reply to the next call.
constexpr Duration kReuseDelay = 5ms;

Count counterOf(Outcome outcome) {
    switch (outcome) {
        case Outcome::Ok:
            return Count::CallsOk;
        case Outcome::Error:
            return Count::CallsError;
        case Outcome::ResourceExhausted:
            return Count::CallsResourceExhausted;
        case Outcome::TimedOut:
            return Count::CallsTimedOut;
        case Outcome::Unreachable:
            return Count::CallsUnreachable;
        case Outcome::ConnectionLost:
            return Count::CallsConnectionLost;
        case Outcome::Superseded:
            return Count::CallsSuperseded;
        case Outcome::MalformedResponse:
            return Count::CallsMalformedResponse;
        case Outcome::LocalLimit:
            return Count::CallsLocalLimit;
        case Outcome::Cancelled:
            break;
    }
    return Count::CallsAbandoned;
}

}  // namespace

struct HttpDependencyClient::Call {
    RequestId id = 0;
    Timestamp startedAt{0};
    Timestamp deadline{0};  ///< Of this attempt; unchanged when the call is resent.
};

struct HttpDependencyClient::PooledConnection : private net::ConnectionHandler {
    enum class State {
        Busy,
        Idle,
        Discarded  ///< To be closed in the next iteration of the loop.
    };

    explicit PooledConnection(HttpDependencyClient& owner)
        : client(owner),
          timeoutTimer(owner.loop_, [this] { handleTimeout(); }),
          replyParser([this](net::HttpResponseParser::Response&& reply) {
              client.handleReply(*this, std::move(reply));
          }),
          connection(owner.loop_, *owner.address_, *this,
                     {kInputBufferBytes, kOutputBufferBytes, owner.bufferBytes_}) {}

    void handleTimeout() {
        client.handleConnectionEnd(
            *this, connection.isOpen() ? net::ConnectionEnd::TimedOut : net::ConnectionEnd::ConnectTimedOut);
    }

    void arrived(net::Connection& from) override {
        net::ByteRing& input = from.input();
        while (!input.empty()) {
            const std::string piece(input.front());
            input.drop(piece.size());
            if (state != State::Busy || !replyParser.parse(piece))
                return client.handleConnectionEnd(*this, net::ConnectionEnd::Malformed);
        }
    }

    void ended(net::Connection& /*from*/, net::ConnectionEnd end) override {
        client.handleConnectionEnd(*this, end);
    }

    HttpDependencyClient& client;
    net::Timer timeoutTimer;
    net::HttpResponseParser replyParser;
    net::Connection connection;
    ConnectionList::iterator position;
    State state = State::Busy;
    Timestamp idleSince{0};
    bool addressOutdated = false;  // connected to an address that is no longer configured
    Call call;                     // the last one
    std::size_t callBytes = 0;     // size of the formatted call
    bool reusedForCall = false;    // the call was sent on a connection that had been idle
};

HttpDependencyClient::HttpDependencyClient(net::Loop& loop, std::optional<net::Address> address,
                                           const config::ResourceLimits& limits,
                                           request::RequestManager& requests, telemetry::Counters& counters)
    : loop_(loop),
      address_(std::move(address)),
      maxConnections_(limits.dependencyConnections),
      bufferBytes_(std::make_shared<net::MemoryBudget>(net::MemoryBudget{limits.dependencyBytes})),
      requests_(requests),
      counters_(counters),
      closeIdleTimer_(loop, [this] { closeIdleConnections(); }) {}

HttpDependencyClient::~HttpDependencyClient() = default;

// ---- Calls ----------------------------------------------------------------------------------------------

void HttpDependencyClient::startCall(RequestId id, const std::string& externalId, Duration timeout,
                                     std::string_view body) {
    abandonCall(id);
    counters_.add(Count::CallsStarted);
    if (!address_) return report(id, Outcome::Unreachable, 0ns, {});
    const auto reusable = findReusable();
    const bool reused = reusable != idle_.end();
    if (!reused && isAtConnectionLimit()) {
        if (idle_.empty()) return report(id, Outcome::LocalLimit, 0ns, {});
        idle_.pop_front();  // not reusable yet, or to be closed
    }
    const std::string request = formatCall(externalId, timeout, body);
    if (reused) busy_.splice(busy_.end(), idle_, reusable);
    const auto position = reused ? std::prev(busy_.end()) : openConnection();
    (*position)->reusedForCall = reused;
    const Timestamp now = net::unixNow();
    send(position, {id, now, now + timeout}, request);
}

// The most recently used idle connection whose reuse delay has passed; idle_.end() if there is none.
HttpDependencyClient::ConnectionList::iterator HttpDependencyClient::findReusable() {
    const Timestamp now = net::unixNow();
    for (auto position = idle_.end(); position != idle_.begin();) {
        --position;
        const PooledConnection& connection = **position;
        // All connections in front of it are discarded as well.
        if (connection.state == PooledConnection::State::Discarded) return idle_.end();
        if (now - connection.idleSince >= kReuseDelay) return position;
    }
    return idle_.end();
}

bool HttpDependencyClient::isAtConnectionLimit() const {
    return busy_.size() + idle_.size() >= maxConnections_;
}

HttpDependencyClient::ConnectionList::iterator HttpDependencyClient::openConnection() {
    busy_.push_back(std::make_unique<PooledConnection>(*this));
    return std::prev(busy_.end());
}

void HttpDependencyClient::send(ConnectionList::iterator position, const Call& call,
                                const std::string& request) {
    PooledConnection& connection = **position;
    connection.position = position;
    connection.state = PooledConnection::State::Busy;
    connection.call = call;
    connection.callBytes = request.size();
    callsInFlight_[call.id] = position;
    connection.timeoutTimer.start(call.deadline - net::unixNow());
    connection.connection.send(request);
}

void HttpDependencyClient::abandonCall(RequestId id) {
    const auto found = callsInFlight_.find(id);
    if (found == callsInFlight_.end()) return;
    const ConnectionList::iterator position = found->second;
    counters_.add(Count::CallsAbandoned);
    counters_.addEnd(net::ConnectionEnd::Abandoned);
    callsInFlight_.erase(found);
    busy_.erase(position);
}

void HttpDependencyClient::handleReply(PooledConnection& connection,
                                       net::HttpResponseParser::Response&& reply) {
    const Call call = connection.call;
    const Duration elapsed = net::unixNow() - call.startedAt;
    connection.timeoutTimer.stop();
    callsInFlight_.erase(call.id);
    if (reply.keepAlive && !connection.addressOutdated) {
        connection.state = PooledConnection::State::Idle;
        connection.idleSince = net::unixNow();
        if (idle_.empty()) closeIdleTimer_.start(kMaxIdleTime);
        idle_.splice(idle_.end(), busy_, connection.position);
    } else {
        // Not destroyed here, because it is the caller of this function; closed in the next iteration of the
        // loop.
        connection.state = PooledConnection::State::Discarded;
        closeIdleTimer_.start(0ns);
        idle_.splice(idle_.begin(), busy_, connection.position);
    }
    report(call.id, outcomeOf(reply), elapsed, reply.body);
}

void HttpDependencyClient::report(RequestId id, Outcome outcome, Duration elapsed, std::string_view reply) {
    counters_.add(counterOf(outcome));
    requests_.dependencyCallCompleted(id, outcome, elapsed, reply);
}

// ---- Connections ----------------------------------------------------------------------------------------

void HttpDependencyClient::handleConnectionEnd(PooledConnection& connection, net::ConnectionEnd end) {
    counters_.addEnd(end);
    if (connection.state != PooledConnection::State::Busy) {
        idle_.erase(connection.position);
        return;
    }
    if (isSafeToResend(connection, end)) return resend(connection);
    const Call call = connection.call;
    const Duration elapsed = net::unixNow() - call.startedAt;
    callsInFlight_.erase(call.id);
    busy_.erase(connection.position);
    report(call.id, net::outcomeOf(end), elapsed, {});
}

// The call has not begun if no byte of it was written and either the reused connection was closed while idle,
// or the connection was refused by an address that is no longer configured.
bool HttpDependencyClient::isSafeToResend(const PooledConnection& connection, net::ConnectionEnd end) {
    const bool nothingWritten = connection.connection.output().size() == connection.callBytes;
    const bool closedWhileIdle = connection.reusedForCall &&
                                 (end == net::ConnectionEnd::Reset || end == net::ConnectionEnd::PeerClosed);
    const bool refusedByOldAddress = connection.addressOutdated && end == net::ConnectionEnd::ConnectRefused;
    return nothingWritten && (closedWhileIdle || refusedByOldAddress);
}

void HttpDependencyClient::resend(PooledConnection& connection) {
    std::string scratch;
    const std::string request(connection.connection.output().peek(connection.callBytes, scratch));
    const Call call = connection.call;
    busy_.erase(connection.position);
    send(openConnection(), call, request);
}

void HttpDependencyClient::changeAddress(std::optional<net::Address> address) {
    if (!address) return;
    address_ = std::move(address);
    idle_.clear();
    for (const auto& connection : busy_) connection->addressOutdated = true;
}

void HttpDependencyClient::closeIdleConnections() {
    const Timestamp now = net::unixNow();
    const auto isUnused = [now](const PooledConnection& connection) {
        return connection.state == PooledConnection::State::Discarded ||
               now - connection.idleSince >= kMaxIdleTime;
    };
    while (!idle_.empty() && isUnused(*idle_.front())) {
        counters_.addEnd(net::ConnectionEnd::Unused);
        idle_.pop_front();
    }
    if (!idle_.empty()) closeIdleTimer_.start(idle_.front()->idleSince + kMaxIdleTime - now);
}

}  // namespace cottonwing::dependency
