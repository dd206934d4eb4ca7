/// @file
/// The clients of a soak run: they open connections before the shutdown and use them until the kill, with the
/// behaviour that the plan defines.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "soak/client_connection.h"
#include "soak/http_peers.h"
#include "soak/plan.h"
#include "soak/recorder.h"

namespace cottonwing::soak {

/// The request classes of every soak run, by index.
enum RequestClassIndex { kRead, kReadWithCall, kOnceWithCall, kKeyed };

/// All clients of a run.
class Clients {
public:
    Clients(const SoakPlan& plan, const net::Address& server, TaskScheduler& scheduler,
            RandomGenerator& random, Recorder& recorder);
    ~Clients();

    /// Called when the server process has been started: opens connections and repeats a health check.
    void beginIncarnation();
    /// Starts to send requests, among them duplicates of requests to the previous incarnation.
    void startTraffic();
    /// Called when the server process has ended: reads the remaining input and closes the connections.
    void endIncarnation();
    /// Reads, writes and sends requests that are due; called every millisecond.
    void tick(Duration now);
    const net::Address& server() const { return server_; }
    /// @return whether a health check of this incarnation has succeeded.
    bool isServerReady() const { return ready_; }

private:
    struct Client;
    struct OutgoingRequest;

    void openMissingConnections(Client& client, Duration now);
    void service(Client& client, ClientConnection& connection, Duration now);
    void serviceIdleConnections(Duration now);
    void checkHealth(Duration now);
    void pauseSlowReader(Client& client, Duration now);
    void sendNext(Duration now);
    OutgoingRequest generateRequest(Duration now);
    void send(OutgoingRequest request);
    ClientConnection* pickConnection(Client*& client);
    void writeInPieces(ClientConnection& connection, const std::string& frame, Duration now,
                       std::function<void()> onWritten);
    void onRequestWritten(Client& client, ClientConnection& connection, std::int32_t sequence,
                          const std::string& id);
    ClientConnection* findAwaiting(Client& client, std::int32_t sequence, const std::string& id);
    void onMessage(Client& client, ClientConnection& connection, const testing::frames::Message& message);
    void onResponse(Attempt& attempt, const testing::frames::Message& message);
    void retry(const Attempt& attempt, Duration after);
    void recordOutcome(ClientConnection& connection, ConnectionOutcome outcome);

    const SoakPlan& plan_;
    const net::Address server_;
    TaskScheduler& scheduler_;
    RandomGenerator& random_;
    Recorder& recorder_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::vector<std::unique_ptr<ClientConnection>> idle_;
    std::unique_ptr<ClientConnection> health_;
    std::deque<std::string> keyedAttempts_;  ///< the latest, to be duplicated in the next incarnation
    std::uint64_t lastId_;
    std::uint64_t incarnationCount_ = 0;
    bool active_ = false, sending_ = false, ready_ = false;
    Duration nextArrival_{0}, nextIdleService_{0}, nextHealthCheck_{0};
};

}  // namespace cottonwing::soak
