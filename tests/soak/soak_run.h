/// @file
/// Plays one plan: the real server process between the peers of the soak, through its lives.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "loadtest/child_process.h"
#include "net/loop.h"
#include "net/timer.h"
#include "soak/clients.h"
#include "soak/http_peers.h"
#include "soak/plan.h"
#include "soak/recorder.h"
#include "soak/worker_pool_process.h"

namespace cottonwing::soak {

class SoakRun {
public:
    /// @param program the server's path
    /// @param folder  for its configuration and its logs; it has to exist
    SoakRun(Plan plan, std::string program, std::string folder);
    ~SoakRun();

    /// Plays the plan to its end.
    void play();
    const Recorder& recorder() const { return recorder_; }
    /// Why the run itself failed, such as a program that can't be started; empty where it was played.
    const std::string& failure() const { return failure_; }
    /// Signals sent, for the report of counts.
    int signalsSent() const { return signalsSent_; }
    /// The log of one life of the server.
    std::string logOf(std::size_t life) const;

private:
    void tick();
    void startLife();
    void writeConfig(PlannedSignal::File file);
    void whileStarting(Duration now);
    void planTraffic(Duration from);
    void planEnd(Duration from);
    void sendSignal(const PlannedSignal& planned);
    void killAfter(Duration unpaused);
    void endPause();
    void stopProcess(Duration length);
    void killOutright();
    void processEnded(int code, int signal);
    void finishLife();
    void readLog();
    void observeProcess(Duration now);
    const LifePlan& lifePlan() const { return plan_.lives[recorder_.lifeNumber()]; }
    bool isCurrent(std::size_t life) const { return life == recorder_.lifeNumber() && !done_; }
    void at(Duration time, std::function<void()> what);
    Duration pausedSince(Duration from) const;

    const Plan plan_;
    const std::string program_, folder_;
    Chance chance_;
    Recorder recorder_;
    net::Loop loop_;
    Agenda agenda_;
    WorkerPoolProcess pool_;
    DependencyPeer dependency_;
    RegistryPeer registry_;
    Clients clients_;
    std::unique_ptr<loadtest::ChildProcess> process_;
    net::Timer timer_;
    net::Address listen_;
    Duration lastTick_{0}, nextLook_{0};
    Duration notBefore_{0};  ///< the next life: the kill's time, also after an earlier end
    bool otherAddresses_ = false, starting_ = false, done_ = false;
    std::optional<Duration> stoppedAt_;  ///< by SIGSTOP, and not going on yet
    int signalsSent_ = 0;
    std::string failure_;
};

}  // namespace cottonwing::soak
