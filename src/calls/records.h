// Calls of commands to the records service: one call at a time on a connection, connections kept for a while.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "backend/backend.h"
#include "launch/start.h"
#include "net/connection.h"
#include "net/http_reply.h"

namespace cottonwing::calls {

class Records : public backend::Calls {
public:
    // Without an address nothing lies below, and each call is told as unreachable.
    Records(net::Loop& loop, std::optional<net::Address> at, const launch::Shares& shares,
            backend::Backend& backend, report::Counters& counters);
    ~Records() override;

    void begin(CommandId id, const std::string& name, Nanos patience, std::string_view body) override;
    void giveUp(CommandId id) override;
    // New calls go there; what is out may still end well where it is, kept connections are not used again.
    void moveTo(std::optional<net::Address> at);

    std::size_t out() const { return out_.size(); }
    std::size_t kept() const { return kept_.size(); }

private:
    struct Line;  // one connection
    using Lines = std::list<std::unique_ptr<Line>>;

    void put(Lines::iterator place, CommandId id, Nanos since, Nanos until, std::string request, bool reused);
    void replied(Line& line, net::HttpReplies::Reply&& reply);
    void ended(Line& line, net::ConnectionEnd end);
    Lines::iterator idleLine();
    void report(CommandId id, Outcome outcome, Nanos took, std::string_view body);
    void closeUnused();

    net::Loop& loop_;
    std::optional<net::Address> at_;
    const std::size_t most_;
    const std::shared_ptr<net::Total> total_;
    backend::Backend& backend_;
    report::Counters& counters_;
    net::Timer sweep_;
    std::unordered_map<CommandId, Lines::iterator> out_;  // calls out; emptied by their ends
    Lines busy_, kept_;  // kept: the longest unused in front; emptied by use, by time and by the other side
};

}  // namespace cottonwing::calls
