// The clients of one worker: each request is sent at its time whatever comes
// back, waited for, given up and tried again as its client's habits have it,
// and ends in exactly one way.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "loadtest/load_statistics.h"
#include "loadtest/precise_timer.h"
#include "loadtest/thrift_client_codec.h"
#include "net/connection.h"
#include "routing/load_balancer.h"
#include "routing/outlier_detection.h"
#include "routing/retry_policy.h"

namespace cottonwing::loadtest {

struct Habits {
    int clients = 4;  // each with a budget, connections and a view of the servers of its own
    std::vector<net::Address> targets;
    std::vector<net::Address> kiosks;  // where each of them takes SCGI, in the
                                       // same order; for request classes that speak it
    routing::LoadBalancingPolicy way = routing::LoadBalancingPolicy::PowerOfTwoChoices;
    routing::RetryPolicyConfig attempts;
    routing::OutlierDetectionConfig members;
    int connections = 8;  // to one server, of one client, at most
    int openEach = 32;    // requests on one connection
    Duration closesIdle{std::chrono::seconds(10)};
    Duration connectsWithin{std::chrono::seconds(1)};
    Duration checksEvery{0};  // 0: no health checks
    bool thorough = false;
    bool forgets = true, honoursAdvice = true, checksResults = true;
    std::size_t openMost = 200000;  // requests in hand of one worker, beyond which none is sent
    int closed = 0;                 // above 0: that many at once, each after the one before (a baseline)
};

struct Clocks {
    std::function<Duration()> steady = steadyNow, unix = net::unixNow;
};

// The id of one try, 16 hex digits; never the same for two tries of a run.
std::string traceOf(std::uint64_t seed, std::uint64_t number, int attempt);
// What the emulated worker pool is told by a request's body, and what it
// answers.
std::string bodyOf(const ScheduledRequest& planned, int calls, const std::string& firstTrace);

// What an independent observer may count for itself; called on the worker's own
// thread.
class Watcher {
public:
    virtual ~Watcher() = default;
    virtual void planned(const ScheduledRequest&, Duration /*scheduled*/) {}
    virtual void sent(const ScheduledRequest&, const std::string& /*trace*/, const std::string& /*first*/,
                      std::size_t /*target*/) {}
    virtual void answered(const std::string& /*trace*/, ClientResponse::Kind) {}
    virtual void released(const std::string& /*trace*/) {}  // answered, given up or its connection gone
    virtual void ended(const ScheduledRequest&, const std::string& /*lastTrace*/, End) {}
};

// Seen from other threads while the run goes on.
struct Progress {
    std::atomic<std::uint64_t> planned{0}, ended{0}, completed{0};
    std::atomic<bool> done{false};
};

class Clients {
public:
    Clients(net::Loop& loop, Habits habits, const RequestScheduleConfig& plan, int worker, int workers,
            Tally& tally, Progress& progress, Clocks clocks = {}, Watcher* watcher = nullptr);
    ~Clients();
    void start(Duration steady);  // of the plan's time 0
    void stop();                  // nothing more is sent; what is open may still end
    void cut();                   // and now ends without an answer
    void onDone(std::function<void()> told) { doneTold_ = std::move(told); }
    bool done() const { return done_; }

private:
    struct Line;
    struct Client;
    struct TrackedRequest {
        ScheduledRequest planned;
        Duration scheduled{0}, stopsAt{0}, written{0}, firstWritten{0}, waited{0};
        Duration due{0};  // its one entry in the agenda
        std::string trace, first;
        std::size_t client = 0;
        std::optional<std::size_t> target;  // of the last try
        Line* line = nullptr;               // while a try is out
        std::int32_t sequence = 0;
        int attempts = 0;
        bool sentAgain = false, everSent = false, queued = false;
        End worst = End::NeverSent;  // how the last try ended
    };
    using Table = std::unordered_map<std::uint64_t, TrackedRequest>;

    void pump();
    void dispatch(Duration now);
    void take(const ScheduledRequest& planned, Duration scheduled, Duration now);
    void begin(std::uint64_t id, Duration now);
    bool put(std::uint64_t id, TrackedRequest& request, std::size_t target, Duration now);
    void tryFailed(std::uint64_t id, Duration now, routing::ExecutionState began, End how,
                   std::optional<Duration> retryAfter = {}, bool noRetryElsewhere = false);
    void patienceOver(std::uint64_t id, Duration now);
    void finish(std::uint64_t id, End end, Duration now);
    void clientResponse(Line& line, ClientResponse&& clientResponse);
    void lineEnded(Line& line, net::ConnectionEnd end);
    void detach(TrackedRequest& request, std::optional<Duration> took, Duration now);
    void agenda(std::uint64_t id, TrackedRequest& request, Duration due);
    void check(Duration now);
    void sendWaiting(Client& client, std::size_t target, Duration now);
    Line* lineFor(Client& client, std::size_t target);
    Line* kioskLine(Client& client, std::size_t target);
    std::string thriftOf(const TrackedRequest& request, std::size_t client, Duration now) const;
    std::string scgiOf(const TrackedRequest& request, Duration now) const;
    void wake();
    void soon();

    net::Loop& loop_;
    const Habits habits_;
    const RequestScheduleConfig terms_;
    const int worker_, workers_;
    Tally& tally_;
    Progress& progress_;
    const Clocks clocks_;
    Watcher* const watcher_;
    std::unique_ptr<RequestSchedule> plan_;
    std::optional<ScheduledRequest> next_;
    Duration start_{0}, nextCheck_{0}, nextSweep_{0}, armed_{0};
    bool started_ = false, stopped_ = false, done_ = false;
    std::vector<std::unique_ptr<Client>> clients_;  // this worker's
    Table open_;                                    // emptied by the ends of requests
    std::set<std::pair<Duration, std::uint64_t>>
        agenda_;                               // one entry an open request: its patience or its next try
    std::vector<std::unique_ptr<Line>> gone_;  // connections that ended; emptied each pump
    std::function<void()> doneTold_;
    PreciseTimer pace_;
};

}  // namespace cottonwing::loadtest
