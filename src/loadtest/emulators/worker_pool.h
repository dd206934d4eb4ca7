// A worker pool on loopback, one for each backend: runs requests on emulated
// cores, keeps its notices, and has the faults it is told to have.
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
    double overloadFactor = 8;  // crowd on the cores that it bears, on the mean
    Duration overloadWindow{std::chrono::milliseconds(1500)};
    Duration startDelay{0};  // until it is up
    bool cold = false;
    bool endsBlockedRuns = true;  // a run at a call ends by itself when its request is
                                  // over; else it waits there to be told
    int splitEvery = 0;           // every so many notices is written in two pieces
    int duplicateEvery = 0;       // is said twice
};

class WorkerPool {
public:
    WorkerPool(net::Loop& loop, std::size_t instance, const net::Address& at, const WorkerPoolConfig& config,
               InvariantChecker& checker);
    ~WorkerPool();

    bool bound() const { return bound_; }
    void setSlowdown(double factor);  // 0: it stands still
    void breakConnection();
    // Its process and the backend's are gone; it is empty, and cold if told so,
    // when it comes back.
    void crash();
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
        double segmentWork = 0;  // work between two calls
        int remainingCalls = 0;
        std::int64_t callMicros = 0;
        bool fails = false, blocked = false;
        Duration startedAt{0};
    };
    void handleMessage(const std::string& line);
    void spawn(const std::string& name, const std::string& body);
    void segmentEnded(std::uint64_t id);
    void reportEndedSegments(Duration now);
    void finish(std::uint64_t id, const char* state, const std::string& result);
    void sendNotice(std::string line);
    void write(const std::string& line);
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
    std::unordered_map<std::uint64_t, Job> jobs_;                // emptied by ends
    std::unordered_map<std::string, std::uint64_t> jobByName_;   // of the jobs
    std::deque<std::pair<std::uint64_t, std::string>> notices_;  // the last 4,000
    std::uint64_t lastNotice_ = 0, nextJob_ = 1, startedRuns_ = 0, noticesWritten_ = 0;
    std::string unsentPart_;  // of a line that was written in two pieces
    std::optional<std::uint64_t> pendingBindAfter_;
    Duration readyAt_{0}, startedAt_{0}, nextSampleAt_{0};
    std::deque<std::pair<Duration, double>> runSamples_;  // of the last fallOver; emptied by time
    double runSum_ = 0;
    bool cold_ = false, bound_ = false, crashed_ = false, overloadReported_ = false;
    PreciseTimer timer_;
    std::unique_ptr<ServerConnection> connection_, replacedConnection_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
