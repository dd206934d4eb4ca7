#include "registry/registry_client.h"

namespace cottonwing::registry {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr std::size_t kRing = 16 << 10;
// The list lapses 3 s after a report: three may fail in between. One that gets no answer may still have
// counted, so only silence for as long as an entry lasts is told as the registry being away.
constexpr Duration kEvery = 800ms, kPatience = 500ms, kAgain = 100ms, kLapses = 3s;

}  // namespace

RegistryClient::RegistryClient(net::Loop& loop, net::Address at, std::string name, telemetry::Log& log,
                               telemetry::Counters& counters)
    : loop_(loop),
      at_(std::move(at)),
      name_(std::move(name)),
      log_(log),
      counters_(counters),
      next_(loop, [this] { send(); }),
      patience_(loop, [this] { lost(net::ConnectionEnd::TimedOut); }),
      answered_(net::unixNow()) {
    send();
}

void RegistryClient::reportReady(bool ready) {
    if (ready == ready_) return;
    ready_ = ready;
    if (waiting_) drop();
    send();
}

void RegistryClient::moveTo(net::Address at) {
    at_ = std::move(at);
    drop();
    send();
}

// A report that is still waiting for its answer holds nothing back: it is given up with its connection.
void RegistryClient::drop() {
    if (waiting_) {
        counters_.add(Count::RegistryReportsFailed);
        counters_.addEnd(net::ConnectionEnd::Abandoned);
    }
    connection_.reset();
}

void RegistryClient::send() {
    next_.stop();  // one report at a time
    if (!connection_) {
        replies_ = std::make_unique<net::HttpReplies>([this](net::HttpReplies::Reply&& reply) {
            waiting_ = false;
            patience_.stop();
            if (away_) log_.info("registry", "answers again");
            away_ = false;
            if (reply.status != 204)
                log_.warn("registry", "answered " + std::to_string(reply.status) + " to a report");
            answered_ = net::unixNow();
            next_.start(kEvery);
        });
        connection_.reset(new net::Connection(loop_, at_, *this, {kRing, kRing}));
    }
    const std::string body = ready_ ? R"({"state":"ready"})" : R"({"state":"draining"})";
    counters_.add(Count::RegistryReportsSent);
    waiting_ = true;
    patience_.start(kPatience);
    connection_->send("PUT /v1/instances/" + name_ +
                      " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void RegistryClient::arrived(net::Connection& connection) {
    net::Ring& input = connection.input();
    while (!input.empty()) {
        const std::string piece(input.front());
        input.drop(piece.size());
        if (!waiting_ || !replies_->read(piece)) return lost(net::ConnectionEnd::Malformed);
    }
}

void RegistryClient::ended(net::Connection&, net::ConnectionEnd end) { lost(end); }

void RegistryClient::lost(net::ConnectionEnd end) {
    counters_.addEnd(end);
    connection_.reset();
    patience_.stop();
    if (!waiting_) return;  // a kept connection that was closed: the next report opens another
    waiting_ = false;
    counters_.add(Count::RegistryReportsFailed);
    if (!away_ && net::unixNow() - answered_ > kLapses) {
        away_ = true;
        log_.warn("registry", std::string("no report was answered for 3 s: ") + net::nameOf(end));
    }
    next_.start(kAgain);
}

}  // namespace cottonwing::registry
