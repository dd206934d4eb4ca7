/// @file
/// Executes one plan: runs the real server process with the peers of the soak through all incarnations.
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

/// One run of the soak.
class SoakRun {
public:
    /// @param program path of the server program
    /// @param folder  existing folder for its configuration and logs
    SoakRun(SoakPlan plan, std::string program, std::string folder);
    ~SoakRun();

    /// Executes the plan.
    void run();
    const Recorder& recorder() const { return recorder_; }
    /// @return why the run could not be executed, such as a program that cannot be started; empty on success.
    const std::string& failure() const { return failure_; }
    /// @return the number of SIGTERM and SIGHUP signals sent.
    int signalsSent() const { return signalsSent_; }
    /// @return the server's log of one incarnation.
    std::string logOf(std::size_t incarnation) const;

private:
    void tick();
    void startIncarnation();
    void writeConfig(PlannedSignal::File file);
    void checkStartup(Duration now);
    void scheduleTraffic(Duration from);
    void scheduleEnd(Duration from);
    void sendSignal(const PlannedSignal& planned);
    void scheduleKill(Duration unpaused);
    void awaitSanitizerExit();
    void kill();
    void endPause();
    void pauseProcess(Duration length);
    void killWithoutNotice();
    void processEnded(int code, int signal);
    void finishIncarnation();
    void readLog();
    void observeProcess(Duration now);
    const IncarnationPlan& currentPlan() const { return plan_.incarnations[recorder_.currentIndex()]; }
    bool isCurrent(std::size_t incarnation) const {
        return incarnation == recorder_.currentIndex() && !done_;
    }
    void scheduleWhileRunning(Duration time, std::function<void()> task);
    Duration pausedSince(Duration from) const;

    const SoakPlan plan_;
    const std::string program_, folder_;
    RandomGenerator random_;
    Recorder recorder_;
    net::Loop loop_;
    TaskScheduler scheduler_;
    WorkerPoolProcess pool_;
    DependencyPeer dependency_;
    RegistryPeer registry_;
    Clients clients_;
    std::unique_ptr<loadtest::ChildProcess> process_;
    net::Timer timer_;
    net::Address listen_;
    Duration lastTick_{0}, nextSample_{0};
    Duration nextStartNotBefore_{0};  ///< time of the kill, also if the process exits earlier
    bool otherAddresses_ = false, starting_ = false, done_ = false;
    std::optional<Duration> pausedAt_;  ///< time of SIGSTOP, until SIGCONT
    int signalsSent_ = 0;
    std::string failure_;
};

}  // namespace cottonwing::soak
