// Groups of SCGI servers that run requests, in place of a worker pool: a
// connection for each attempt, as the protocol has it. Which server, who is
// left out, how many at once, what is tried again is decided in src/routing;
// here it is carried out.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.h"
#include "request/request_manager.h"
#include "routing/concurrency_limit.h"
#include "routing/load_balancer.h"
#include "routing/outlier_detection.h"
#include "routing/retry_policy.h"
#include "scgi/message.h"

namespace cottonwing::scgi {

struct ServerTerms {
    net::Address at;
    double weight = 1;
    double most = 32;  // in flight at once, the operator's
    bool operator==(const ServerTerms&) const = default;
};

struct GroupTerms {
    std::string name;
    std::vector<ServerTerms> servers;
    routing::LoadBalancingPolicy way = routing::LoadBalancingPolicy::PowerOfTwoChoices;
    routing::RetryPolicyConfig attempts;
    routing::OutlierDetectionConfig members;
    Duration connectsWithin{std::chrono::milliseconds(500)};
    Duration checksEvery{0};  // 0: none
    std::string checkPath = "/";
};

// What all groups together may take.
struct GroupBounds {
    std::size_t connections = 256, reply = 1 << 20,
                bytes = 32 << 20;  // reply: of one; bytes: in all rings
};

struct GroupCounts {
    std::uint64_t attempts = 0, first = 0, again = 0, refused = 0, broken = 0, timedOut = 0, badReplies = 0,
                  saidFailed = 0, checks = 0;
    std::uint64_t notAgain[6] = {};
};

class ScgiGroups : public request::Executor {
public:
    // groupOf: by request class, the place in groups.
    ScgiGroups(net::Loop& loop, const std::vector<GroupTerms>& groups, std::vector<std::size_t> groupOf,
               std::vector<RequestClass> requestClasses, std::vector<std::string> requestClassNames,
               const GroupBounds& bounds, std::uint64_t seed, request::RequestManager& backend,
               telemetry::Log& log);
    ~ScgiGroups() override;

    void start(const request::RunSpec& run) override;
    void cancel(const std::string& name) override;
    void supplyReply(const std::string&, std::string_view) override {
    }  // these servers make no calls through us
    void skipDependencyCall(const std::string&) override {}
    void requestGauges() override;
    void verifyWork(std::function<void(std::optional<bool>)> told) override;

    // The same groups with other servers: added ones start slowly, removed ones
    // keep what they have in flight. Returns how many were added and removed.
    std::pair<std::size_t, std::size_t> change(const std::vector<GroupTerms>& groups);

    std::size_t flying() const { return lines_.size() - checks_; }
    std::size_t waiting() const;
    const GroupCounts& counts() const { return counts_; }
    std::size_t out(std::size_t group) const;  // servers that are left out now

private:
    struct Line;
    struct Server {
        ServerTerms terms;
        routing::ConcurrencyLimit limit;
        int flying = 0;
        bool leaving = false, gone = false;
        Line* check = nullptr;
    };
    struct Group {
        GroupTerms terms;
        routing::OutlierDetector members;
        routing::LoadBalancer choice;
        routing::RetryBudget budget;
        std::vector<Server> servers;    // by the members' places
        std::deque<RequestId> waiting;  // for a server that may be used; emptied by
                                        // that, by time and halts
    };
    struct Job {
        std::string name, request;
        std::size_t group = 0;
        int requestClass = 0;
        request::PayloadFormat format = request::PayloadFormat::Plain;
        Duration due{0}, since{0}, begun{0}, waited{0}, at{0};  // at: its entry in the agenda
        std::optional<std::size_t> server;                      // of the last attempt
        std::uint64_t subject = 0;
        int attempts = 0;
        Line* line = nullptr;
        bool waits = false;
        std::string said;  // the last reply that a server gave, where it told of a failure
    };
    void agenda(RequestId id, Job& job, Duration at);
    void pump();
    void begin(RequestId id, Duration now);
    void attemptFailed(RequestId id, routing::ExecutionState began, Duration now, const char* why);
    // The result by value: it may be the job's own, which ends here.
    void finish(RequestId id, Outcome outcome, std::string result);
    void replied(Line& line);
    void lineEnded(Line& line, net::ConnectionEnd end);
    void release(Line& line, std::optional<Duration> took, Duration now);
    void sendWaiting(Group& group, Duration now);
    void check(Duration now);
    void addServer(Group& group, const ServerTerms& terms);
    void tellStates(Group& group, std::size_t at, routing::OutlierDetector::State before, Duration now);

    net::Loop& loop_;
    const std::vector<std::size_t> groupOf_;
    const std::vector<RequestClass> requestClasses_;
    const std::vector<std::string> requestClassNames_;
    const GroupBounds bounds_;
    const std::shared_ptr<net::MemoryBudget> total_;
    std::mt19937 chance_;
    request::RequestManager& backend_;
    telemetry::Log& log_;
    std::vector<std::unique_ptr<Group>> groups_;
    std::unordered_map<RequestId, Job> jobs_;  // emptied by the ends of runs
    std::set<std::pair<Duration, RequestId>>
        agenda_;                               // an entry a job: its next attempt, or when it is given up
    std::vector<RequestId> over_;              // halted: their ends are said in the next turn
    std::list<std::unique_ptr<Line>> lines_;   // connections; emptied by their ends
    std::vector<std::unique_ptr<Line>> gone_;  // emptied by the next turn
    std::size_t checks_ = 0;
    Duration nextCheck_{0};
    GroupCounts counts_;
    net::Timer timer_;
};

}  // namespace cottonwing::scgi
