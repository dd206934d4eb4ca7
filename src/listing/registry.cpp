#include "listing/registry.h"

namespace cottonwing::listing {

namespace {

using namespace std::chrono_literals;
using report::Count;

constexpr net::Bounds kBounds = {16 << 10, 16 << 10};
// The list lapses 3 s after a report: three may fail in between.
constexpr Nanos kEvery = 800ms, kPatience = 500ms, kAgain = 100ms;

}  // namespace

Registry::Registry(net::Loop& loop, net::Address at, std::string name, report::Log& log,
                   report::Counters& counters)
    : loop_(loop),
      at_(std::move(at)),
      name_(std::move(name)),
      log_(log),
      counters_(counters),
      next_(loop, [this] { send(); }),
      patience_(loop, [this] { lost(net::ConnectionEnd::TimedOut); }) {
    send();
}

void Registry::say(bool ready) {
    if (ready == ready_) return;
    ready_ = ready;
    changed_ = true;
    if (!waiting_) send();
}

void Registry::send() {
    next_.stop();  // one report at a time
    if (!connection_) {
        replies_ = std::make_unique<net::HttpReplies>([this](net::HttpReplies::Reply&& reply) {
            waiting_ = false;
            patience_.stop();
            if (away_) log_.info("registry", "answers again");
            away_ = false;
            if (reply.status != 204)
                log_.warn("registry", "answered " + std::to_string(reply.status) + " to a report");
            next_.start(changed_ ? 0ns : kEvery);
        });
        connection_.reset(new net::Connection(loop_, at_, *this, kBounds));
    }
    const std::string body = ready_ ? R"({"state":"ready"})" : R"({"state":"draining"})";
    counters_.add(Count::ReportsSent);
    waiting_ = true;
    changed_ = false;
    patience_.start(kPatience);
    connection_->send("PUT /v1/instances/" + name_ +
                      " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Registry::arrived(net::Connection& connection) {
    net::Ring& input = connection.input();
    while (!input.empty()) {
        const std::string piece(input.front());
        input.drop(piece.size());
        if (!waiting_ || !replies_->read(piece)) return lost(net::ConnectionEnd::Malformed);
    }
}

void Registry::ended(net::Connection&, net::ConnectionEnd end) { lost(end); }

void Registry::lost(net::ConnectionEnd end) {
    counters_.addEnd(end);
    connection_.reset();
    patience_.stop();
    if (!waiting_) return;  // a kept connection that was closed: the next report opens another
    waiting_ = false;
    counters_.add(Count::ReportsFailed);
    if (!away_) log_.warn("registry", std::string("a report failed: ") + net::nameOf(end));
    away_ = true;
    next_.start(kAgain);
}

}  // namespace cottonwing::listing
