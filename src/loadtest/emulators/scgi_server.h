// An SCGI server on loopback: answers each request after a set time on so many
// at once, with the faults it is told to have.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "loadtest/precise_timer.h"
#include "net/connection.h"
#include "scgi/message.h"

namespace cottonwing::loadtest {

enum class ScgiFault {
    None,
    Silent,             // accepts and says nothing
    TruncatedResponse,  // ends in the middle of its answer
    EarlyResponse,      // answers before it has read the request
    DuplicateResponse,  // two answers
    MalformedStatus,    // a status line that is none
    ExcessBody,         // more than it said
    FailFast,           // 503 at once: a black hole that attracts clients
    CloseAfterRequest   // closes the connection once it has read
};

struct EmulatedScgiServerConfig {
    Duration serviceTime{0};
    int slots = 1000;  // requests served at once; the others wait
    ScgiFault fault = ScgiFault::None;
    double slowdown = 1;  // times as long
};

class EmulatedScgiServer {
public:
    EmulatedScgiServer(net::Loop& loop, const net::Address& at, EmulatedScgiServerConfig config);
    ~EmulatedScgiServer();
    net::Address address() const { return {host_, listener_->port()}; }
    void setConfig(EmulatedScgiServerConfig config) { config_ = config; }
    const EmulatedScgiServerConfig& config() const { return config_; }
    // Told of each request that is whole: its id, and the first try's where the
    // body names it.
    void onRequest(std::function<void(const std::string& trace, const std::string& first)> handler) {
        requestHandler_ = std::move(handler);
    }
    void onRequestEnd(std::function<void(const std::string& trace)> handler) {
        requestEndHandler_ = std::move(handler);
    }
    double workDone() const { return workDone_; }
    std::uint64_t requests() const { return requests_; }
    std::uint64_t abandonedRequests() const {
        return abandonedRequests_;
    }  // askers that closed before their answer
    const std::map<std::string, int>& runs() const { return runs_; }  // by HTTP_X_TRACE; never emptied
    const scgi::Headers& lastHeaders() const { return lastHeaders_; }
    const std::string& lastBody() const { return lastBody_; }

private:
    struct ClientConnection;
    void requestComplete(ClientConnection& client);
    void respond(ClientConnection& client);
    void close(ClientConnection& client);
    void onTimer();

    net::Loop& loop_;
    const std::string host_;
    EmulatedScgiServerConfig config_;
    std::list<std::shared_ptr<ClientConnection>> connections_;  // emptied by the ends of connections
    std::multimap<Duration, std::weak_ptr<ClientConnection>> completions_;  // emptied by time
    std::deque<std::weak_ptr<ClientConnection>> queue_;                     // for a slot
    std::map<std::string, int> runs_;
    scgi::Headers lastHeaders_;
    std::string lastBody_;
    std::uint64_t requests_ = 0, abandonedRequests_ = 0;
    int requestsInService_ = 0;
    double workDone_ = 0;
    std::function<void(const std::string&, const std::string&)> requestHandler_;
    std::function<void(const std::string&)> requestEndHandler_;
    PreciseTimer timer_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
