// Calls of commands to the records service: one call at a time on a connection, connections kept for a while.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "config/process_config.h"
#include "net/connection.h"
#include "net/http_reply.h"
#include "request/request_manager.h"

namespace cottonwing::dependency {

class HttpDependencyClient : public request::DependencyClient {
public:
    // Without an address nothing lies below, and each call is told as unreachable.
    HttpDependencyClient(net::Loop& loop, std::optional<net::Address> at,
                         const config::ResourceLimits& shares, request::RequestManager& backend,
                         telemetry::Counters& counters);
    ~HttpDependencyClient() override;

    void startCall(RequestId id, const std::string& name, Duration patience, std::string_view body) override;
    void abandonCall(RequestId id) override;
    // New calls go there; what is out may still end well where it is, kept connections are not used again.
    void moveTo(std::optional<net::Address> at);

    std::size_t callsInFlight() const { return out_.size(); }
    std::size_t idleConnections() const { return kept_.size(); }

private:
    struct Line;  // one connection
    using Lines = std::list<std::unique_ptr<Line>>;

    void put(Lines::iterator place, RequestId id, Duration since, Duration until, std::string request,
             bool reused);
    void replied(Line& line, net::HttpReplies::Reply&& reply);
    void ended(Line& line, net::ConnectionEnd end);
    Lines::iterator idleLine();
    void report(RequestId id, Outcome outcome, Duration took, std::string_view body);
    void closeUnused();

    net::Loop& loop_;
    std::optional<net::Address> at_;
    const std::size_t most_;
    const std::shared_ptr<net::Total> total_;
    request::RequestManager& backend_;
    telemetry::Counters& counters_;
    net::Timer sweep_;
    std::unordered_map<RequestId, Lines::iterator> out_;  // calls out; emptied by their ends
    Lines busy_, kept_;  // kept: the longest unused in front; emptied by use, by time and by the other side
};

}  // namespace cottonwing::dependency
