/// @file
/// The worker pool of a soak run: it outlives the server or restarts with it, shares its cores among its
/// runs, and restarts the numbering of its notices with each start of the server.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/emulators/cores.h"
#include "soak/plan.h"
#include "soak/recorder.h"
#include "support/fake_server.h"

namespace cottonwing::soak {

/// Configuration of the worker pool.
struct WorkerPoolSettings {
    int cores = 2;
    double overloadFactor = 8;  ///< maximum mean number of runs per core when warm
    Duration overloadWindow{0};
    double runMemoryFactor = 4;
    double coldFraction = 0.3;  ///< fraction of its speed right after a cold start
    Duration warmUpTime{0};
    bool splitsNotices = false;  ///< sends some notices in two pieces and some twice
};

/// @return a request body that contains the work of the run and its number of dependency calls.
std::string requestBody(Duration work, int calls, std::uint64_t unique);

/// The emulated worker pool process.
class WorkerPoolProcess {
public:
    WorkerPoolProcess(net::Loop& loop, const WorkerPoolSettings& settings, RandomGenerator& random,
                      Recorder& recorder);

    /// @param other selects the second of the two addresses that it listens on
    net::Address address(bool other) const { return (other ? second_ : first_)->address(); }
    /// Called when a new incarnation of the server starts: restarts the numbering of notices.
    void serverStarted();
    /// Restarts the process without any runs.
    /// @param upAfter time until it is ready
    void restart(bool cold, Duration upAfter);
    /// Processes runs that have ended; called every millisecond.
    void tick(Duration now);
    void breakConnection();
    bool isBlocked(const std::string& id) const;
    int segmentOf(const std::string& id) const;

private:
    struct Job {
        std::string id;
        std::size_t incarnation = 0;
        std::size_t run = 0;  ///< index in the observed runs
        double segmentWork = 0;
        int callsLeft = 0, segment = 0;
        bool blocked = false;
        double memoryKb = 0;
    };
    using Json = nlohmann::json;

    std::unique_ptr<testing::FakeServer> listen(net::Loop& loop);
    void handleInput(net::Connection& from, std::string& text);
    void handle(net::Connection& from, const Json& message);
    void bind(net::Connection& from, std::uint64_t after);
    void sendBound();
    void start(const Json& message);
    void suspend(const std::string& id);
    void resume(const std::string& id);
    void segmentEnded(std::uint64_t number);
    void finish(std::uint64_t number, const std::string& state, const std::string& result);
    void sendNotice(Json message);
    void send(const std::string& line);
    void endBlockedRunsNoLongerAwaited();
    void observe(Duration now);
    double reservedKb(Duration now) const;
    std::map<std::uint64_t, Job>::iterator findJob(const std::string& id);

    const WorkerPoolSettings settings_;
    RandomGenerator& random_;
    Recorder& recorder_;
    loadtest::Cores cores_;
    std::unique_ptr<testing::FakeServer> first_, second_;
    // The connection that sent the latest `bind`.
    testing::FakeServer* server_ = nullptr;
    int connectionNumber_ = 0;
    std::optional<std::uint64_t> pendingBindAfter_;
    std::string pendingPiece_;  ///< second half of a notice that is sent in two pieces
    Duration pieceDue_{0};
    std::deque<std::pair<std::uint64_t, std::string>> notices_;
    std::uint64_t lastNotice_ = 0, nextJob_ = 1;
    std::map<std::uint64_t, Job> jobs_;
    Duration upAt_{0}, startedAt_{0};
    bool cold_ = false;
    Duration nextSample_{0};
    std::deque<std::pair<Duration, double>> runsOnCores_;  ///< samples of the overload window
};

}  // namespace cottonwing::soak
