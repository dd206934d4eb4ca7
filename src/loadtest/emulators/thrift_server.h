/// @file
/// An emulated Thrift server: responds to every request itself, after a configured delay and with
/// configurable faults. It can record when it received and answered each attempt.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "loadtest/precise_timer.h"
#include "net/connection.h"
#include "thrift/codec.h"

namespace cottonwing::loadtest {

struct EmulatedThriftServerConfig {
    Duration responseDelay{0};                  // from the arrival of a request to its response
    Duration stallStart{-1}, stallDuration{0};  // since the start; nothing is read or sent during a stall
    int duplicateEvery = 0;                     // every n-th response is sent twice
    int unknownSequenceEvery = 0;               // another response follows, with an unused sequence number
    int resetEvery = 0;                         // the connection closes in the middle of a response
    int busyEvery = 0, failedEvery = 0;         // the request is rejected; it fails
    int goawayEvery = 0;                        // requests of a connection after which goaway is sent
    int wrongResultEvery = 0;                   // the result is of no run
    bool silent = false;                        // reads, and never responds
    bool neverReads = false;                    // accepts connections, and never reads
    bool recordsTimes = false;
};

class EmulatedThriftServer {
public:
    struct RequestTimes {
        Duration received{0}, sent{0};
    };
    EmulatedThriftServer(net::Loop& loop, const net::Address& address, EmulatedThriftServerConfig config);
    ~EmulatedThriftServer();
    net::Address address() const { return {host_, listener_->port()}; }
    /// @return by trace, if recordsTimes is set; never emptied.
    const std::unordered_map<std::string, RequestTimes>& requestTimes() const { return requestTimes_; }
    std::uint64_t requests() const { return requests_; }
    std::uint64_t cancels() const { return cancels_; }
    std::size_t connections() const { return connections_.size(); }

private:
    struct ClientConnection;
    struct PendingResponse {
        std::weak_ptr<ClientConnection> client;
        std::int32_t sequence;
        std::string trace;
    };
    void accept(net::PendingConnection socket);
    void handleMessage(ClientConnection& client, const thrift::Message& message);
    void respond(ClientConnection& client, std::int32_t sequence, const std::string& trace);
    void onTimer();
    bool stalled(Duration now) const;
    void close(ClientConnection& client);

    net::Loop& loop_;
    const EmulatedThriftServerConfig config_;
    const std::string host_;
    const Duration startedAt_;
    std::list<std::shared_ptr<ClientConnection>> connections_;   // removed when they close
    std::multimap<Duration, PendingResponse> pendingResponses_;  // by the time they are due
    std::unordered_map<std::string, RequestTimes> requestTimes_;
    std::uint64_t requests_ = 0, responses_ = 0, cancels_ = 0;
    PreciseTimer timer_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
