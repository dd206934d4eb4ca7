#include "dependency/http_dependency_client.h"

#include <utility>

#include "dependency/call_format.h"

namespace cottonwing::dependency {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr std::size_t kInputBufferBytes = 128 << 10;
constexpr std::size_t kOutputBufferBytes = 32 << 10;

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

struct HttpDependencyClient::CallConnection : private net::ConnectionHandler {
    CallConnection(HttpDependencyClient& owner, const Call& callToMake)
        : client(owner),
          call(callToMake),
          timeoutTimer(owner.loop_, [this] { handleTimeout(); }),
          responseParser(
              [this](net::HttpResponseParser::Response&& received) { response = std::move(received); }),
          connection(owner.loop_, *owner.address_, *this,
                     {kInputBufferBytes, kOutputBufferBytes, owner.bufferBytes_}) {}

    void handleTimeout() {
        client.handleConnectionEnd(
            *this, connection.isOpen() ? net::ConnectionEnd::TimedOut : net::ConnectionEnd::ConnectTimedOut);
    }

    // What follows the response is not read: the connection is closed with it.
    void arrived(net::Connection& from) override {
        net::ByteRing& input = from.input();
        while (!input.empty()) {
            const std::string piece(input.front());
            input.drop(piece.size());
            const bool wellFormed = responseParser.parse(piece);
            if (response) return client.completeCall(*this);
            if (!wellFormed) return client.handleConnectionEnd(*this, net::ConnectionEnd::Malformed);
        }
    }

    void ended(net::Connection& /*from*/, net::ConnectionEnd end) override {
        client.handleConnectionEnd(*this, end);
    }

    HttpDependencyClient& client;
    const Call call;
    net::Timer timeoutTimer;
    net::HttpResponseParser responseParser;
    std::optional<net::HttpResponseParser::Response> response;  // set once it is complete
    net::Connection connection;
    ConnectionList::iterator position;
    std::size_t callBytes = 0;     // size of the formatted call
    bool addressOutdated = false;  // connected to an address that is no longer configured
};

HttpDependencyClient::HttpDependencyClient(net::Loop& loop, std::optional<net::Address> address,
                                           const config::ResourceLimits& limits,
                                           request::RequestManager& requests, telemetry::Counters& counters)
    : loop_(loop),
      address_(std::move(address)),
      maxConnections_(limits.dependencyConnections),
      bufferBytes_(std::make_shared<net::MemoryBudget>(net::MemoryBudget{limits.dependencyBytes})),
      requests_(requests),
      counters_(counters) {}

HttpDependencyClient::~HttpDependencyClient() = default;

// ---- Calls ----------------------------------------------------------------------------------------------

void HttpDependencyClient::startCall(RequestId id, const std::string& externalId, Duration timeout,
                                     std::string_view body) {
    abandonCall(id);
    counters_.add(Count::CallsStarted);
    if (!address_) return report(id, Outcome::Unreachable, 0ns, {});
    if (connections_.size() >= maxConnections_) return report(id, Outcome::LocalLimit, 0ns, {});
    const Timestamp now = net::unixNow();
    send({id, now, now + timeout}, formatCall(externalId, timeout, body));
}

void HttpDependencyClient::send(const Call& call, const std::string& request) {
    const auto position =
        connections_.insert(connections_.end(), std::make_unique<CallConnection>(*this, call));
    CallConnection& connection = **position;
    connection.position = position;
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
    connections_.erase(position);
}

void HttpDependencyClient::completeCall(CallConnection& connection) {
    const Call call = connection.call;
    const net::HttpResponseParser::Response response = std::move(*connection.response);
    connection.connection.closeWithReset();
    callsInFlight_.erase(call.id);
    connections_.erase(connection.position);
    report(call.id, outcomeOf(response), net::unixNow() - call.startedAt, response.body);
}

void HttpDependencyClient::report(RequestId id, Outcome outcome, Duration elapsed, std::string_view reply) {
    counters_.add(counterOf(outcome));
    requests_.dependencyCallCompleted(id, outcome, elapsed, reply);
}

// ---- Connections ----------------------------------------------------------------------------------------

void HttpDependencyClient::handleConnectionEnd(CallConnection& connection, net::ConnectionEnd end) {
    counters_.addEnd(end);
    if (isSafeToResend(connection, end)) return resend(connection);
    const Call call = connection.call;
    callsInFlight_.erase(call.id);
    connections_.erase(connection.position);
    report(call.id, net::outcomeOf(end), net::unixNow() - call.startedAt, {});
}

// A refused connection proves that the call has not begun.
bool HttpDependencyClient::isSafeToResend(const CallConnection& connection, net::ConnectionEnd end) {
    return connection.addressOutdated && end == net::ConnectionEnd::ConnectRefused;
}

void HttpDependencyClient::resend(CallConnection& connection) {
    std::string scratch;
    const std::string request(connection.connection.output().peek(connection.callBytes, scratch));
    const Call call = connection.call;
    connections_.erase(connection.position);
    send(call, request);
}

void HttpDependencyClient::changeAddress(std::optional<net::Address> address) {
    if (!address) return;
    address_ = std::move(address);
    for (const auto& connection : connections_) connection->addressOutdated = true;
}

}  // namespace cottonwing::dependency
