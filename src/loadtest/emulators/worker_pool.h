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

struct PoolTerms {
    CoreTerms cores;
    double heapKb = 30000;
    double fallMultiple = 8;  // crowd on the cores that it bears, on the mean
    Duration fallOver{std::chrono::milliseconds(1500)};
    Duration startsAfter{0};  // until it is up
    bool cold = false;
    bool endsAtCalls = true;  // a run at a call ends by itself when its request is
                              // over; else it waits there to be told
    int piecesEvery = 0;      // every so many notices is written in two pieces
    int twiceEvery = 0;       // is said twice
};

class WorkerPool {
public:
    WorkerPool(net::Loop& loop, std::size_t instance, const net::Address& at, const PoolTerms& terms,
               InvariantChecker& checker);
    ~WorkerPool();

    bool bound() const { return boundOnce_; }
    void slow(double factor);  // 0: it stands still
    void breakLink();
    // Its process and the backend's are gone; it is empty, and cold if told so,
    // when it comes back.
    void crash();
    void retryAfter(bool cold);

    std::size_t onCores() const { return cores_.running(); }
    std::size_t atCalls() const;
    std::size_t inHand() const { return jobs_.size(); }
    double workDone() const { return cores_.workDone(); }
    std::uint64_t spawns() const { return spawns_; }

private:
    struct Link;
    struct Job {
        std::string name, first;
        double segment = 0;  // work between two calls
        int callsLeft = 0;
        std::int64_t callMicros = 0;
        bool fails = false, blocked = false;
        Duration since{0};
    };
    void hear(const std::string& line);
    void spawn(const std::string& name, const std::string& body);
    void segmentEnded(std::uint64_t id);
    void reportEndedSegments(Duration now);
    void finish(std::uint64_t id, const char* state, const std::string& result);
    void notice(std::string line);
    void write(const std::string& line);
    void sayBound(std::uint64_t after);
    void pump();
    void watch(Duration now);
    void endWhatIsOver();
    void listen();

    net::Loop& loop_;
    const std::size_t instance_;
    const net::Address at_;
    const PoolTerms terms_;
    InvariantChecker& checker_;
    Cores cores_;
    std::unordered_map<std::uint64_t, Job> jobs_;                // emptied by ends
    std::unordered_map<std::string, std::uint64_t> names_;       // of the jobs
    std::deque<std::pair<std::uint64_t, std::string>> notices_;  // the last 4,000
    std::uint64_t lastNotice_ = 0, nextJob_ = 1, spawns_ = 0, pieces_ = 0;
    std::string rest_;  // of a line that was written in two pieces
    std::optional<std::uint64_t> waitsBound_;
    Duration upAt_{0}, upSince_{0}, lookAt_{0};
    std::deque<std::pair<Duration, double>> crowd_;  // of the last fallOver; emptied by time
    double crowdSum_ = 0;
    bool cold_ = false, boundOnce_ = false, gone_ = false, fell_ = false;
    PreciseTimer pace_;
    std::unique_ptr<Link> link_, older_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
