/// @file
/// An emulated worker pool on loopback, one for each backend: runs requests on emulated cores, stores its
/// notices to send them again after a connection loss, and has configurable faults.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

#include "loadtest/emulators/cores.h"
#include "loadtest/invariants/invariant_checker.h"
#include "net/connection.h"

namespace cottonwing::loadtest {

struct WorkerPoolConfig {
    CoresConfig cores;
    double heapKb = 30000;
    double overloadFactor = 8;  // mean runs per core above which it is overloaded
    Duration overloadWindow{std::chrono::milliseconds(1500)};
    Duration startDelay{0};  // from a start until it accepts work
    bool cold = false;
    /// A run that waits for a call ends by itself when its request is over; otherwise it waits for a message.
    bool endsBlockedRuns = true;
    int splitEvery = 0;      // every n-th notice is written in two pieces
    int duplicateEvery = 0;  // every n-th notice is sent twice
};

class WorkerPool {
public:
    WorkerPool(net::Loop& loop, std::size_t instance, const net::Address& address,
               const WorkerPoolConfig& config, InvariantChecker& checker);
    ~WorkerPool();

    /// @return whether the backend has bound the pool since the last start.
    bool bound() const { return bound_; }
    /// All work takes this many times as long; 0 pauses it.
    void setSlowdown(double factor);
    void breakConnection();
    /// Ends the pool as if its process and the backend's had ended: all runs and notices are lost.
    void crash();
    /// Starts the pool again after crash().
    /// @param cold the state that it reports to the backend.
    void restart(bool cold);

    std::size_t runsOnCores() const { return cores_.running(); }
    std::size_t blockedRuns() const;
    std::size_t unfinishedRuns() const { return jobs_.size(); }
    double workDone() const { return cores_.workDone(); }
    std::uint64_t startedRuns() const { return startedRuns_; }

private:
    struct ServerConnection;
    struct Job {
        std::string name, firstTrace;
        double segmentWork = 0;  // seconds of work between two calls
        int remainingCalls = 0;
        std::int64_t callMicros = 0;
        bool fails = false, blocked = false;
        Duration startedAt{0};
    };
    void handleMessage(const std::string& line);
    void spawn(const std::string& name, const std::string& body);
    void segmentEnded(std::uint64_t id);
    void reportEndedSegments(Duration now);
    void finishRun(std::uint64_t id, const char* state, const std::string& result);
    void sendNotice(std::string line);
    void writeLine(const std::string& line);
    void sendBound(std::uint64_t after);
    void onTimer();
    void sampleLoad(Duration now);
    void endRunsOfClosedRequests();
    void listen();

    net::Loop& loop_;
    const std::size_t instance_;
    const net::Address address_;
    const WorkerPoolConfig config_;
    InvariantChecker& checker_;
    Cores cores_;
    std::unordered_map<std::uint64_t, Job> jobs_;                // by number; removed when they end
    std::unordered_map<std::string, std::uint64_t> jobByName_;   // numbers of the jobs
    std::deque<std::pair<std::uint64_t, std::string>> notices_;  // the last 4,000, by number
    std::uint64_t lastNotice_ = 0, nextJob_ = 1, startedRuns_ = 0, noticesWritten_ = 0;
    std::string unsentPart_;  // of a notice that is written in two pieces
    std::optional<std::uint64_t> pendingBindAfter_;
    Duration readyAt_{0}, startedAt_{0}, nextSampleAt_{0};
    std::deque<std::pair<Duration, double>> runSamples_;  // runs on the cores in the overload window
    double runSum_ = 0;
    bool cold_ = false, bound_ = false, crashed_ = false, overloadReported_ = false;
    PreciseTimer timer_;
    std::unique_ptr<ServerConnection> connection_, replacedConnection_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
