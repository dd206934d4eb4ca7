#include "registry/registry_client.h"

#include <utility>

namespace cottonwing::registry {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr const char* kLogComponent = "registry";
constexpr std::size_t kBufferBytes = 16 << 10;  // in each direction
// The registry removes an entry 3 s after its last report, so three reports in a row may fail.
constexpr Duration kEntryLifetime = 3s;
constexpr Duration kReportInterval = 800ms;
constexpr Duration kReportTimeout = 500ms;
constexpr Duration kRetryDelay = 100ms;
constexpr int kStatusNoContent = 204;
// Protocol strings.
constexpr const char* kReadyBody = R"({"state":"ready"})";
constexpr const char* kDrainingBody = R"({"state":"draining"})";
constexpr const char* kReportMethodAndPath = "PUT /v1/instances/";
constexpr const char* kReportHead = " HTTP/1.1\r\nContent-Length: ";
constexpr const char* kHeadEnd = "\r\n\r\n";

}  // namespace

RegistryClient::RegistryClient(net::Loop& loop, net::Address address, std::string name, telemetry::Log& log,
                               telemetry::Counters& counters)
    : loop_(loop),
      address_(std::move(address)),
      name_(std::move(name)),
      log_(log),
      counters_(counters),
      reportTimer_(loop, [this] { sendReport(); }),
      timeoutTimer_(loop, [this] { handleConnectionEnd(net::ConnectionEnd::TimedOut); }),
      lastReplyAt_(net::unixNow()) {
    sendReport();
}

void RegistryClient::reportReady(bool ready) {
    if (ready == ready_) return;
    ready_ = ready;
    if (reportInFlight_) abandonReport();
    sendReport();
}

void RegistryClient::changeAddress(net::Address address) {
    address_ = std::move(address);
    abandonReport();
    sendReport();
}

// A report that waits for its reply must not delay the next one, so it is abandoned and its connection
// closed.
void RegistryClient::abandonReport() {
    if (reportInFlight_) {
        counters_.add(Count::RegistryReportsFailed);
        counters_.addEnd(net::ConnectionEnd::Abandoned);
    }
    connection_.reset();
}

void RegistryClient::sendReport() {
    reportTimer_.stop();  // one report at a time
    if (!connection_) connect();
    const std::string body = ready_ ? kReadyBody : kDrainingBody;
    counters_.add(Count::RegistryReportsSent);
    reportInFlight_ = true;
    timeoutTimer_.start(kReportTimeout);
    connection_->send(kReportMethodAndPath + name_ + kReportHead + std::to_string(body.size()) + kHeadEnd +
                      body);
}

void RegistryClient::connect() {
    replyParser_ = std::make_unique<net::HttpResponseParser>(
        [this](net::HttpResponseParser::Response&& reply) { handleReply(reply); });
    const net::BufferLimits bounds{kBufferBytes, kBufferBytes};
    // Not make_unique, which has no access to the private base class net::ConnectionHandler.
    connection_.reset(new net::Connection(loop_, address_, *this, bounds));
}

void RegistryClient::handleReply(const net::HttpResponseParser::Response& reply) {
    reportInFlight_ = false;
    timeoutTimer_.stop();
    if (unavailabilityLogged_) log_.info(kLogComponent, "registry available again");
    unavailabilityLogged_ = false;
    if (reply.status != kStatusNoContent)
        log_.warn(kLogComponent, "registry rejected a report: status=" + std::to_string(reply.status));
    lastReplyAt_ = net::unixNow();
    reportTimer_.start(kReportInterval);
}

void RegistryClient::arrived(net::Connection& connection) {
    net::ByteRing& input = connection.input();
    while (!input.empty()) {
        const std::string piece(input.front());
        input.drop(piece.size());
        if (!reportInFlight_ || !replyParser_->parse(piece))
            return handleConnectionEnd(net::ConnectionEnd::Malformed);
    }
}

void RegistryClient::ended(net::Connection& /*connection*/, net::ConnectionEnd end) {
    handleConnectionEnd(end);
}

void RegistryClient::handleConnectionEnd(net::ConnectionEnd end) {
    counters_.addEnd(end);
    connection_.reset();
    timeoutTimer_.stop();
    if (!reportInFlight_) return;  // an idle connection was closed: the next report opens another
    reportInFlight_ = false;
    counters_.add(Count::RegistryReportsFailed);
    // A report without a reply may still have been processed, so the registry is logged as unavailable only
    // after it has not replied for the lifetime of an entry.
    if (!unavailabilityLogged_ && net::unixNow() - lastReplyAt_ > kEntryLifetime) {
        unavailabilityLogged_ = true;
        log_.warn(kLogComponent, "registry unavailable: silent_ms=" + std::to_string(kEntryLifetime / 1ms) +
                                     " reason=" + net::nameOf(end));
    }
    reportTimer_.start(kRetryDelay);
}

}  // namespace cottonwing::registry
