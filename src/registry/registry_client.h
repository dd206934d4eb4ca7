// Reports to the registry: one about every second on a timer and a connection of its own, behind nothing
// else.
#pragma once

#include <memory>
#include <string>

#include "net/connection.h"
#include "net/http_reply.h"
#include "telemetry/counters.h"
#include "telemetry/log.h"

namespace cottonwing::registry {

class RegistryClient : private net::Owner {
public:
    RegistryClient(net::Loop& loop, net::Address at, std::string name, telemetry::Log& log,
                   telemetry::Counters& counters);

    void reportReady(bool ready);  // a change is reported at once
    void moveTo(net::Address at);  // told at once

private:
    void arrived(net::Connection& connection) override;
    void ended(net::Connection& connection, net::ConnectionEnd end) override;
    void send();
    void drop();
    void lost(net::ConnectionEnd end);

    net::Loop& loop_;
    net::Address at_;
    const std::string name_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    net::Timer next_, patience_;
    std::unique_ptr<net::Connection> connection_;
    std::unique_ptr<net::HttpReplies> replies_;
    Duration answered_;  // the last time, or the start
    bool ready_ = true, waiting_ = false, away_ = false;
};

}  // namespace cottonwing::registry
