/// @file
/// An emulated SCGI server on loopback: limited concurrency, a configured service time and configurable
/// faults.
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
    Silent,             // reads the request and never responds
    TruncatedResponse,  // closes in the middle of the response
    EarlyResponse,      // responds before it has read the request
    DuplicateResponse,  // sends the response twice
    MalformedStatus,    // sends a malformed status line
    ExcessBody,         // sends bytes after the end of the response
    FailFast,           // 503 at once: its short latency attracts clients
    CloseAfterRequest   // closes the connection after it has read the request
};

struct EmulatedScgiServerConfig {
    Duration serviceTime{0};
    int slots = 1000;  // requests served concurrently; others wait
    ScgiFault fault = ScgiFault::None;
    double slowdown = 1;  // factor on the service time
};

class EmulatedScgiServer {
public:
    EmulatedScgiServer(net::Loop& loop, const net::Address& address, EmulatedScgiServerConfig config);
    ~EmulatedScgiServer();
    net::Address address() const { return {host_, listener_->port()}; }
    void setConfig(EmulatedScgiServerConfig config) { config_ = config; }
    const EmulatedScgiServerConfig& config() const { return config_; }
    /// @param handler called for each complete request that has an id, with the id of the attempt and of the
    /// first attempt; the latter is empty if the body does not name it.
    void onRequest(std::function<void(const std::string& trace, const std::string& first)> handler) {
        requestHandler_ = std::move(handler);
    }
    /// @param handler called when the connection of such a request has closed.
    void onRequestEnd(std::function<void(const std::string& trace)> handler) {
        requestEndHandler_ = std::move(handler);
    }
    /// @return seconds of service time of the requests that were started.
    double workDone() const { return workDone_; }
    std::uint64_t requests() const { return requests_; }
    /// @return connections that the client closed before the response.
    std::uint64_t abandonedRequests() const { return abandonedRequests_; }
    /// @return runs by HTTP_X_TRACE, counted while no onRequest() handler is set; never emptied.
    const std::map<std::string, int>& runs() const { return runs_; }
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
    std::list<std::shared_ptr<ClientConnection>> connections_;  // removed when they close
    // Requests in service, by the time they end.
    std::multimap<Duration, std::weak_ptr<ClientConnection>> completions_;
    std::deque<std::weak_ptr<ClientConnection>> queue_;  // requests that wait for a slot
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
