/// @file
/// The dependency and the registry in a soak run, with the faults that its plan draws.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "soak/plan.h"
#include "soak/recorder.h"
#include "support/fake_http_server.h"

namespace cottonwing::soak {

/// Functions to be run later, by time.
class TaskScheduler {
public:
    void schedule(Duration time, std::function<void()> task) { entries_.emplace(time, std::move(task)); }
    /// Runs what is due.
    void runDue(Duration now);

private:
    std::multimap<Duration, std::function<void()>> entries_;
};

/// The records service: answers calls after a while; some fail, are turned away, hang or break off.
class DependencyPeer {
public:
    /// @param isBlocked whether a run waits for the call of this attempt
    /// @param segmentOf which call of its run it is
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

/// The registry: notes what is reported, and answers late or not at all where the plan has it so.
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
