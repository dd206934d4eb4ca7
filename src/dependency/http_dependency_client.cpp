#include "dependency/http_dependency_client.h"

namespace cottonwing::dependency {

namespace {

using namespace std::chrono_literals;
using telemetry::Count;

constexpr std::size_t kInput = 128 << 10, kOutput = 32 << 10;
constexpr Duration kUnused = 4s;  // the other side closes after 10 s: never a call onto a closing connection
// A second copy of a reply that comes in pieces must not be taken for that of the next call.
constexpr Duration kSettles = 5ms;

Outcome outcomeOf(const net::HttpReplies::Reply& reply) {
    const bool notBegun = reply.has("op-not-begun", "1");
    if (reply.status == 200) return Outcome::Ok;
    if (reply.status == 503 && notBegun) return Outcome::ResourceExhausted;
    if (reply.status == 409 && notBegun) return Outcome::Superseded;
    if (reply.status == 504) return Outcome::TimedOut;
    return Outcome::Error;
}

Count countOf(Outcome outcome) {
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

struct HttpDependencyClient::Line : private net::Owner {
    explicit Line(HttpDependencyClient& theRecords)
        : records(theRecords),
          patience(theRecords.loop_,
                   [this] {
                       records.ended(*this, connection.isOpen() ? net::ConnectionEnd::TimedOut
                                                                : net::ConnectionEnd::ConnectTimedOut);
                   }),
          replies([this](net::HttpReplies::Reply&& reply) { records.replied(*this, std::move(reply)); }),
          connection(theRecords.loop_, *theRecords.at_, *this, {kInput, kOutput, theRecords.total_}) {}

    void arrived(net::Connection& from) override {
        net::Ring& input = from.input();
        while (!input.empty()) {
            const std::string piece(input.front());
            input.drop(piece.size());
            if (!busy || !replies.read(piece)) return records.ended(*this, net::ConnectionEnd::Malformed);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd end) override { records.ended(*this, end); }

    HttpDependencyClient& records;
    net::Timer patience;
    net::HttpReplies replies;
    net::Connection connection;
    bool busy = false, old = false;  // old: to an address that is no longer ours
    RequestId id = 0;
    Duration since{0}, until{0};  // of the call; since also of being unused
    std::size_t size = 0;         // of the call's bytes
    bool reused = false;          // the call was put on a kept connection
    Lines::iterator place;
};

HttpDependencyClient::HttpDependencyClient(net::Loop& loop, std::optional<net::Address> at,
                                           const config::ResourceLimits& shares,
                                           request::RequestManager& backend, telemetry::Counters& counters)
    : loop_(loop),
      at_(std::move(at)),
      most_(shares.dependencyConnections),
      total_(std::make_shared<net::Total>(net::Total{shares.dependencyBytes})),
      backend_(backend),
      counters_(counters),
      sweep_(loop, [this] { closeUnused(); }) {}

HttpDependencyClient::~HttpDependencyClient() = default;

void HttpDependencyClient::startCall(RequestId id, const std::string& name, Duration patience,
                                     std::string_view body) {
    abandonCall(id);
    counters_.add(Count::CallsStarted);
    if (!at_) return report(id, Outcome::Unreachable, 0ns, {});
    const auto idle = idleLine();
    const bool reused = idle != kept_.end();
    if (!reused && busy_.size() + kept_.size() >= most_) {
        if (kept_.empty()) return report(id, Outcome::LocalLimit, 0ns, {});
        kept_.pop_front();
    }
    const auto millis = std::max<std::int64_t>(1, patience / 1ms);
    std::string request = "POST /records/op HTTP/1.1\r\nOp-Of: " + name +
                          "\r\nOp-Wait-Ms: " + std::to_string(millis) +
                          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    request.append(body);
    if (reused)
        busy_.splice(busy_.end(), kept_, idle);
    else
        busy_.push_back(std::make_unique<Line>(*this));
    put(std::prev(busy_.end()), id, net::unixNow(), net::unixNow() + patience, std::move(request), reused);
}

// The one used last, past the moment in which something may still follow its reply.
HttpDependencyClient::Lines::iterator HttpDependencyClient::idleLine() {
    const Duration now = net::unixNow();
    for (auto line = kept_.end(); line != kept_.begin();)
        if (now - (*--line)->since >= kSettles) return (*line)->since > 0ns ? line : kept_.end();
    return kept_.end();
}

void HttpDependencyClient::moveTo(std::optional<net::Address> at) {
    if (!at) return;  // what is out, and may be written again, still needs one
    at_ = std::move(at);
    kept_.clear();
    for (const auto& line : busy_) line->old = true;
}

void HttpDependencyClient::put(Lines::iterator place, RequestId id, Duration since, Duration until,
                               std::string request, bool reused) {
    Line& line = **place;
    line.place = place;
    line.busy = true;
    line.id = id;
    line.since = since;
    line.until = until;
    line.size = request.size();
    line.reused = reused;
    out_[id] = place;
    line.patience.start(until - net::unixNow());
    line.connection.send(request);
}

void HttpDependencyClient::abandonCall(RequestId id) {
    const auto found = out_.find(id);
    if (found == out_.end()) return;
    const auto place = found->second;
    counters_.add(Count::CallsAbandoned);
    counters_.addEnd(net::ConnectionEnd::Abandoned);
    out_.erase(found);
    busy_.erase(place);
}

void HttpDependencyClient::replied(Line& line, net::HttpReplies::Reply&& reply) {
    const RequestId id = line.id;
    const Duration took = net::unixNow() - line.since;
    line.patience.stop();
    line.busy = false;
    out_.erase(id);
    if (reply.keepsOpen && !line.old) {
        line.since = net::unixNow();
        if (kept_.empty()) sweep_.start(kUnused);
        kept_.splice(kept_.end(), busy_, line.place);
    } else {
        // Not from under the connection that is speaking: it ends with its next turn of the loop.
        line.since = Duration(0);
        sweep_.start(0ns);
        kept_.splice(kept_.begin(), busy_, line.place);
    }
    report(id, outcomeOf(reply), took, reply.body);
}

void HttpDependencyClient::ended(Line& line, net::ConnectionEnd end) {
    counters_.addEnd(end);
    const bool wasBusy = line.busy;
    const RequestId id = line.id;
    const Duration took = net::unixNow() - line.since;
    if (!wasBusy) {
        kept_.erase(line.place);
        return;
    }
    // A kept connection that was gone before a byte of the call was written, or one that an address no longer
    // ours refused: the call has yet to begin.
    const net::Ring& output = line.connection.output();
    const bool gone =
        line.reused && (end == net::ConnectionEnd::Reset || end == net::ConnectionEnd::PeerClosed);
    const bool moved = line.old && end == net::ConnectionEnd::ConnectRefused;
    if (output.size() == line.size && (gone || moved)) {
        std::string scratch, request(output.peek(line.size, scratch));
        const Duration since = line.since, until = line.until;
        busy_.erase(line.place);
        busy_.push_back(std::make_unique<Line>(*this));
        return put(std::prev(busy_.end()), id, since, until, std::move(request), false);
    }
    out_.erase(id);
    busy_.erase(line.place);
    report(id, net::outcomeOf(end), took, {});
}

void HttpDependencyClient::report(RequestId id, Outcome outcome, Duration took, std::string_view body) {
    counters_.add(countOf(outcome));
    backend_.dependencyCallCompleted(id, outcome, took, body);
}

void HttpDependencyClient::closeUnused() {
    const Duration now = net::unixNow();
    while (!kept_.empty() && now - kept_.front()->since >= kUnused) {
        counters_.addEnd(net::ConnectionEnd::Unused);
        kept_.pop_front();
    }
    if (!kept_.empty()) sweep_.start(kept_.front()->since + kUnused - now);
}

}  // namespace cottonwing::dependency
