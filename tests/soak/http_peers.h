/// @file
/// The dependency and the registry of a soak run, with the faults of its plan.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "soak/plan.h"
#include "soak/recorder.h"
#include "support/fake_http_server.h"

namespace cottonwing::soak {

/// Runs functions at given times.
class TaskScheduler {
public:
    void schedule(Duration time, std::function<void()> task) { entries_.emplace(time, std::move(task)); }
    /// Runs the tasks that are due.
    void runDue(Duration now);

private:
    std::multimap<Duration, std::function<void()>> entries_;
};

/// The dependency: answers calls after a delay; some fail, are rejected, hang or return a truncated response.
class DependencyPeer {
public:
    /// @param hangs whether some calls get no response
    /// @param isBlocked returns whether a run waits for the call of an attempt
    /// @param segmentOf returns the index of the current call within the run of an attempt
    DependencyPeer(net::Loop& loop, TaskScheduler& scheduler, RandomGenerator& random, Recorder& recorder,
                   bool hangs, std::function<bool(const std::string&)> isBlocked,
                   std::function<int(const std::string&)> segmentOf);
    net::Address address(bool other) const { return (other ? second_ : first_)->server.address(); }

private:
    std::string answer(net::Connection& on, const std::string& head, const std::string& body);
    void replyLater(net::Connection& on, Duration after, const std::string& reply);

    TaskScheduler& scheduler_;
    RandomGenerator& random_;
    Recorder& recorder_;
    const bool hangs_;
    const std::function<bool(const std::string&)> isBlocked_;
    const std::function<int(const std::string&)> segmentOf_;
    std::unique_ptr<testing::FakeHttpServer> first_, second_;
};

/// The registry: records reports and answers late or not at all, as the plan requires.
class RegistryPeer {
public:
    RegistryPeer(net::Loop& loop, TaskScheduler& scheduler, Recorder& recorder);
    net::Address address(bool other) const { return (other ? second_ : first_)->server.address(); }
    void behave(bool silent, Duration delay);

private:
    std::string answer(net::Connection& on, const std::string& body);

    TaskScheduler& scheduler_;
    Recorder& recorder_;
    bool silent_ = false;
    Duration delay_{0};
    std::unique_ptr<testing::FakeHttpServer> first_, second_;
};

}  // namespace cottonwing::soak
