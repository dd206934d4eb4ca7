// A stand-in for a whole server: answers every request by itself, after a set
// time, and with the faults it is told to have. It keeps its own book of what
// it received and sent when, by trace.
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
    Duration responseDelay{0};                  // from a request's arrival to its answer
    Duration stallStart{-1}, stallDuration{0};  // from its start: nothing is read or sent meanwhile
    int duplicateEvery = 0;                     // every so many answers is given a second time
    int unknownSequenceEvery = 0;               // a further answer under a number that was never used
    int resetEvery = 0;                         // the connection ends in the middle of an answer
    int busyEvery = 0, failedEvery = 0;         // turned away, failed
    int goawayEvery = 0;                        // requests of a connection, after which it says goaway
    int wrongResultEvery = 0;                   // a result that no run made
    bool silent = false;                        // reads, and never answers
    bool neverReads = false;                    // accepts, and never reads
    bool recordsTimes = false;
};

class EmulatedThriftServer {
public:
    struct RequestTimes {
        Duration received{0}, sent{0};
    };
    EmulatedThriftServer(net::Loop& loop, const net::Address& at, EmulatedThriftServerConfig config);
    ~EmulatedThriftServer();
    net::Address address() const { return {host_, listener_->port()}; }
    const std::unordered_map<std::string, RequestTimes>& requestTimes() const {
        return requestTimes_;
    }  // where it is kept; never emptied
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
    std::list<std::shared_ptr<ClientConnection>> connections_;   // emptied by the ends of connections
    std::multimap<Duration, PendingResponse> pendingResponses_;  // emptied by time
    std::unordered_map<std::string, RequestTimes> requestTimes_;
    std::uint64_t requests_ = 0, responses_ = 0, cancels_ = 0;
    PreciseTimer timer_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
