// The records service and the registry on loopback, with the faults they are
// told to have.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "loadtest/emulators/http_server.h"
#include "loadtest/invariants/invariant_checker.h"
#include "loadtest/precise_timer.h"

namespace cottonwing::loadtest {

struct DependencyConfig {
    int slots = 20;                // calls served at once
    int queueCapacity = 200;       // that wait for one; beyond it they are turned away
    double queueSlowdown = 1;      // a call in a full line takes 1 + this times as long
    double overloadThreshold = 0;  // calls in hand, on the mean of fallOver, at which it
                                   // falls over; 0: never
    Duration overloadWindow{std::chrono::seconds(5)};
    Duration downTime{std::chrono::seconds(5)};
    double callQuota = 10;  // what one backend may have in its hands, on the mean of callsOver
    Duration quotaWindow{std::chrono::seconds(5)};
    Duration lingerTime{std::chrono::milliseconds(200)};  // an abandoned call is in its hands for so long
    std::uint64_t seed = 1;
};

class DependencyService {
public:
    DependencyService(net::Loop& loop, const std::vector<net::Address>& addresses,
                      const DependencyConfig& config, InvariantChecker& checker);
    ~DependencyService();
    void setSlowdown(double factor) { slowdown_ = factor; }
    void setHangFraction(double fraction) {
        hangFraction_ = fraction;
    }  // part of the calls that are never answered
    void setMalformedFraction(double fraction) {
        malformedFraction_ = fraction;
    }                         // that get a reply which can't be read
    void setDown(bool down);  // connections are refused while it is

    std::uint64_t calls() const { return calls_; }
    std::uint64_t rejectedCalls() const { return rejectedCalls_; }
    std::uint64_t overloads() const { return overloads_; }
    std::size_t callsInFlight() const { return openCalls_.size(); }
    double maxMeanCalls(std::size_t instance) const { return instanceLoads_[instance].maxMean; }

private:
    struct Call {
        std::weak_ptr<HttpServer::Connection> connection;
        std::size_t instance = 0;
        std::string requestId;
        double serviceSeconds = 0;
        bool inService = false, abandoned = false, hangs = false;
    };
    struct InstanceLoad {
        std::deque<std::pair<Duration, double>> samples;
        double sum = 0, maxMean = 0;
        bool quotaExceeded = false;
    };
    void listen();
    void onRequest(std::size_t instance, const std::shared_ptr<HttpServer::Connection>& connection,
                   HttpServer::Request&& request);
    void onConnectionClosed(HttpServer::Connection& connection);
    void startQueuedCalls(Duration now);
    void finishCall(std::uint64_t callNumber, Duration now);
    void removeCall(std::uint64_t callNumber);
    void onTimer();
    void sampleLoad(Duration now);

    net::Loop& loop_;
    const std::vector<net::Address> addresses_;
    const DependencyConfig config_;
    InvariantChecker& checker_;
    std::mt19937 random_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::map<std::uint64_t, Call> openCalls_;                       // by number; emptied by ends
    std::unordered_map<std::string, std::uint64_t> callByRequest_;  // of those
    std::deque<std::uint64_t> queue_;                               // for a slot
    std::multimap<Duration, std::uint64_t> completions_;            // served, by their ends
    std::vector<InstanceLoad> instanceLoads_;
    std::deque<std::pair<Duration, double>> loadSamples_;
    std::vector<double> callsByInstance_;  // calls in its hands, by instance
    double loadSum_ = 0, slowdown_ = 1, hangFraction_ = 0, malformedFraction_ = 0;
    std::uint64_t nextCall_ = 1, calls_ = 0, rejectedCalls_ = 0, overloads_ = 0;
    int callsInService_ = 0;
    Duration nextSampleAt_{0}, restartAt_{0};
    bool down_ = false;
    PreciseTimer timer_;
};

class RegistryService {
public:
    RegistryService(net::Loop& loop, const net::Address& at, Duration responseDelay = Duration(0));
    void setSilent(bool silent) { silent_ = silent; }
    std::uint64_t reports() const { return reports_; }
    // What was last said of that name; empty where nothing was.
    std::string state(const std::string& name) const;

private:
    Duration responseDelay_;
    bool silent_ = false;
    std::uint64_t reports_ = 0;
    std::map<std::string, std::string> states_;  // one a name
    std::multimap<Duration, std::weak_ptr<HttpServer::Connection>> pendingResponses_;
    PreciseTimer timer_;
    HttpServer server_;
};

}  // namespace cottonwing::loadtest
