/// @file
/// The emulated dependency ("records" in experiments) and registry on loopback, with configurable faults.
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
    int slots = 20;            // calls served concurrently
    int queueCapacity = 200;   // calls that wait for a slot; more are rejected
    double queueSlowdown = 1;  // with a full queue a call takes 1 + this times as long
    /// Mean number of calls in flight over the overload window at which the service goes down; 0: never.
    double overloadThreshold = 0;
    Duration overloadWindow{std::chrono::seconds(5)};
    Duration downTime{std::chrono::seconds(5)};
    /// Mean number of calls in flight over the quota window that one backend may have.
    double callQuota = 10;
    Duration quotaWindow{std::chrono::seconds(5)};
    /// An abandoned call stays in flight for this long.
    Duration lingerTime{std::chrono::milliseconds(200)};
    std::uint64_t seed = 1;
};

class DependencyService {
public:
    DependencyService(net::Loop& loop, const std::vector<net::Address>& addresses,
                      const DependencyConfig& config, InvariantChecker& checker);
    ~DependencyService();
    /// Calls take this many times as long.
    void setSlowdown(double factor) { slowdown_ = factor; }
    /// Fraction of the calls that are never answered.
    void setHangFraction(double fraction) { hangFraction_ = fraction; }
    /// Fraction of the calls that get a malformed response.
    void setMalformedFraction(double fraction) { malformedFraction_ = fraction; }
    /// Going down drops all calls; while the service is down, connections are refused.
    void setDown(bool down);

    std::uint64_t calls() const { return calls_; }
    std::uint64_t rejectedCalls() const { return rejectedCalls_; }
    std::uint64_t overloads() const { return overloads_; }
    std::size_t callsInFlight() const { return openCalls_.size(); }
    /// @return the largest mean of the instance's calls in flight over the quota window.
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
    std::map<std::uint64_t, Call> openCalls_;                       // by number; removed when they end
    std::unordered_map<std::string, std::uint64_t> callByRequest_;  // open calls by the id of their request
    std::deque<std::uint64_t> queue_;                               // calls that wait for a slot
    std::multimap<Duration, std::uint64_t> completions_;            // calls by the time they end
    std::vector<InstanceLoad> instanceLoads_;
    std::deque<std::pair<Duration, double>> loadSamples_;  // calls in flight in the overload window
    std::vector<double> callsByInstance_;                  // calls in flight, by instance
    double loadSum_ = 0, slowdown_ = 1, hangFraction_ = 0, malformedFraction_ = 0;
    std::uint64_t nextCall_ = 1, calls_ = 0, rejectedCalls_ = 0, overloads_ = 0;
    int callsInService_ = 0;
    Duration nextSampleAt_{0}, restartAt_{0};
    bool down_ = false;
    PreciseTimer timer_;
};

class RegistryService {
public:
    RegistryService(net::Loop& loop, const net::Address& address, Duration responseDelay = Duration(0));
    void setSilent(bool silent) { silent_ = silent; }
    std::uint64_t reports() const { return reports_; }
    /// @return the last reported state of the instance; empty if none was reported.
    std::string state(const std::string& name) const;

private:
    Duration responseDelay_;
    bool silent_ = false;
    std::uint64_t reports_ = 0;
    std::map<std::string, std::string> states_;  // by the name of the instance
    std::multimap<Duration, std::weak_ptr<HttpServer::Connection>> pendingResponses_;
    PreciseTimer timer_;
    HttpServer server_;
};

}  // namespace cottonwing::loadtest
