#include "soak/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "net/clock.h"
#include "net/listener.h"
#include "support/plain_config.h"

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;
using testing::Json;

constexpr Duration kTick = 1ms;
constexpr Duration kObserverStallThreshold = 10ms;  // between two ticks; nothing is read or written meanwhile
constexpr Duration kSampleInterval = 50ms;          // of the memory and descriptors of the process
constexpr Duration kStartupTimeout = 31s;           // STANDING.md: a start of over 30 s counts as a crash
constexpr Duration kEarliestSignalLead =
    410ms;                                // the earliest signal of a drain precedes SIGTERM by up to 400 ms
constexpr Duration kRestartDelay = 20ms;  // between two incarnations
constexpr int kMemoryMb = 192;            // DEPLOY.md: the maximum on scored days
constexpr double kPoolMemoryKb = 8000;
// The sanitizer works in the process after the program's own end: it looks for leaks and releases its memory.
#if defined(__SANITIZE_ADDRESS__)
constexpr Duration kSanitizerExitTimeout = 10s;
#else
constexpr Duration kSanitizerExitTimeout = 0s;
#endif

WorkerPoolSettings poolSettings(const SoakPlan& plan) {
    WorkerPoolSettings settings;
    settings.overloadWindow = 1500ms;
    settings.warmUpTime = 2s;
    settings.splitsNotices = plan.poolSplitsNotices;
    return settings;
}

// On an address of its own, the port cannot be taken by a connection of another process between two
// incarnations.
net::Address findFreeAddress(net::Loop& loop, std::uint64_t seed) {
    const std::string host = "127." + std::to_string(64 + getpid() % 128) + "." +
                             std::to_string(seed / 250 % 250) + "." + std::to_string(2 + seed % 250);
    const net::Listener probe(
        loop, {host, 0}, [](net::PendingConnection) {}, [] { return false; });
    return {host, probe.port()};
}

Json requestClass(const char* name, const char* idempotency, int timeoutMs) {
    Json description = {{"name", name},        {"repeat", idempotency},           {"aim_us", 2000000},
                        {"worth", 1},          {"deadline_us", timeoutMs * 1000}, {"late_value", 0.2},
                        {"window_us", 5000000}};
    return description;
}

std::string toText(const net::Address& address) { return address.host + ":" + std::to_string(address.port); }

std::filesystem::directory_iterator descriptorsOf(int process) {
    std::error_code error;
    return std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error);
}

std::size_t countDescriptors(int process) {
    const std::filesystem::directory_iterator descriptors = descriptorsOf(process);
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

bool holdsSockets(int process) {
    const std::filesystem::directory_iterator descriptors = descriptorsOf(process);
    return std::any_of(begin(descriptors), end(descriptors), [](const auto& descriptor) {
        std::error_code error;
        return std::filesystem::read_symlink(descriptor, error).string().starts_with("socket:");
    });
}

// Evaluates the line of counters that the server prints at exit.
std::int64_t countUnanswered(const std::string& counters) {
    const auto valueOf = [&](const std::string& name) -> std::int64_t {
        const std::size_t at = counters.find(" " + name + "=");
        return at == counters.npos ? 0 : std::stoll(counters.substr(at + name.size() + 2));
    };
    return valueOf("requests-read") - valueOf("requests-completed") - valueOf("requests-rejected") -
           valueOf("requests-failed") - valueOf("requests-cancelled-by-client");
}

}  // namespace

SoakRun::SoakRun(SoakPlan plan, std::string program, std::string folder)
    : plan_(std::move(plan)),
      program_(std::move(program)),
      folder_(std::move(folder)),
      random_(plan_.seed * 104729 + 3),
      pool_(loop_, poolSettings(plan_), random_, recorder_),
      dependency_(
          loop_, scheduler_, random_, recorder_, plan_.dependencyHangs,
          [this](const std::string& id) { return pool_.isBlocked(id); },
          [this](const std::string& id) { return pool_.segmentOf(id); }),
      registry_(loop_, scheduler_, recorder_),
      clients_(plan_, findFreeAddress(loop_, plan_.seed), scheduler_, random_, recorder_),
      timer_(loop_, [this] { tick(); }),
      listen_(clients_.server()) {
    Observations& observations = recorder_.observations;
    observations.classes = {{"read", Idempotency::Idempotent},
                            {"look", Idempotency::Idempotent},
                            {"once", Idempotency::None},
                            {"keyed", Idempotency::WithKey}};
    observations.drainGrace = plan_.drainGrace;
    observations.memoryLimitMb = kMemoryMb;
    observations.descriptorLimit = static_cast<std::size_t>(plan_.sockets);
    observations.reservedLimitKb = kPoolMemoryKb;
}

SoakRun::~SoakRun() = default;

void SoakRun::run() {
    loop_.onUncaughtException([this](const std::string& what) {
        failure_ = what;
        done_ = true;
    });
    startIncarnation();
    timer_.start(kTick);
    while (!done_) loop_.runOnce();
}

void SoakRun::tick() {
    const Duration now = net::unixNow();
    if (lastTick_ > 0ns && now - lastTick_ > kObserverStallThreshold) {
        recorder_.observations.pauses.push_back({lastTick_, now});
        recorder_.log("observer", "did not run for " + std::to_string((now - lastTick_) / 1ms) + " ms");
    }
    lastTick_ = now;
    pool_.tick(now);
    scheduler_.runDue(now);
    clients_.tick(now);
    if (starting_) checkStartup(now);
    observeProcess(now);
    if (!done_) timer_.start(kTick);
}

void SoakRun::scheduleWhileRunning(Duration time, std::function<void()> task) {
    scheduler_.schedule(time, [this, incarnation = recorder_.currentIndex(), task = std::move(task)] {
        if (isCurrent(incarnation) && process_ && process_->running()) task();
    });
}

// ---- Incarnations ----------------------------------------------------------------------------------------

void SoakRun::startIncarnation() {
    const std::size_t number = recorder_.observations.incarnations.size();
    const IncarnationPlan& plan = plan_.incarnations[number];
    recorder_.observations.incarnations.emplace_back();
    recorder_.current().startedAt = net::unixNow();
    nextStartNotBefore_ = 0ns;
    if (number == 0 || plan.poolRestarts || plan.endsBeforeReady)
        pool_.restart(plan.poolStartsCold, plan.poolStartsAfter);
    pool_.serverStarted();
    registry_.behave(plan.registrySilent, plan.registryDelay);
    writeConfig(PlannedSignal::File::Same);
    recorder_.log("process", "started, incarnation " + std::to_string(number));
    process_ = std::make_unique<loadtest::ChildProcess>(
        loop_, program_, std::vector<std::string>{},
        std::map<std::string, std::string>{{"GW_NAME", "n3"},
                                           {"GW_LISTEN", toText(listen_)},
                                           {"GW_CONFIG", folder_ + "/start.json"},
                                           {"GW_LOG", "info"}},
        folder_ + "/incarnation-" + std::to_string(number) + ".log",
        [this](int code, int signal) { processEnded(code, signal); });
    clients_.beginIncarnation();
    starting_ = true;
    if (plan.endsBeforeReady) scheduleEnd(net::unixNow() + plan.traffic);
}

void SoakRun::writeConfig(PlannedSignal::File file) {
    if (file == PlannedSignal::File::OtherAddresses) otherAddresses_ = !otherAddresses_;
    Json config = testing::plainConfigFile();
    config["listen"] = toText(listen_);
    config["pool"] = toText(pool_.address(otherAddresses_));
    config["records"] = toText(dependency_.address(otherAddresses_));
    config["registry"] = toText(registry_.address(otherAddresses_));
    config["stop_ms"] = plan_.shutdownTimeout / 1ms;
    config["limits"] = {{"cores", 1.0}, {"memory_mb", kMemoryMb}, {"sockets", plan_.sockets}};
    Json& settings = config["settings"];
    settings["classes"] = {requestClass("read", "free", 3000), requestClass("look", "free", 3000),
                           requestClass("once", "single_shot", 3000), requestClass("keyed", "guarded", 3000)};
    settings["family_info"]["class_calls"] = {false, true, true, false};
    settings["family_info"]["degraded_worth"] = {0, 0, 0, 0};
    settings["family_info"]["cores"] = 2;
    settings["family_info"]["heap_kb"] = kPoolMemoryKb;
    settings["obligations"] = {{"drain_grace_us", plan_.drainGrace / 1us},
                               {"fall_multiple", 8},
                               {"overload_for_us", 1500000},
                               {"start_capacity", 0.3},
                               {"ramp_time_us", 2000000}};
    std::string text = config.dump();
    if (file == PlannedSignal::File::Malformed) text.resize(text.size() / 2);
    // Replaced atomically, as the server may read the file at any time.
    std::ofstream(folder_ + "/next.json") << text;
    std::filesystem::rename(folder_ + "/next.json", folder_ + "/start.json");
}

void SoakRun::checkStartup(Duration now) {
    if (currentPlan().endsBeforeReady) return;
    if (clients_.isServerReady()) {
        starting_ = false;
        recorder_.current().readyAt = now;
        recorder_.log("process", "is ready");
        clients_.startTraffic();
        return scheduleTraffic(now);
    }
    if (now - recorder_.current().startedAt < kStartupTimeout) return;
    starting_ = false;
    scheduleEnd(now);
}

void SoakRun::scheduleTraffic(Duration from) {
    const IncarnationPlan& plan = currentPlan();
    if (plan.pauseDuration > 0ns)
        scheduleWhileRunning(from + plan.pausedAt, [this, &plan] { pauseProcess(plan.pauseDuration); });
    if (plan.connectionBreaksAt > 0ns)
        scheduleWhileRunning(from + plan.connectionBreaksAt, [this] { pool_.breakConnection(); });
    scheduleEnd(from + plan.traffic);
}

void SoakRun::scheduleEnd(Duration from) {
    const IncarnationPlan& plan = currentPlan();
    if (plan.end == IncarnationPlan::End::Kill)
        return scheduleWhileRunning(from, [this] { killWithoutNotice(); });
    for (const PlannedSignal& signal : plan.signals)
        scheduleWhileRunning(from + kEarliestSignalLead + signal.at, [this, signal] { sendSignal(signal); });
}

void SoakRun::sendSignal(const PlannedSignal& planned) {
    if (planned.number == SIGHUP) writeConfig(planned.file);
    recorder_.log("process", planned.number == SIGHUP ? "SIGHUP" : "SIGTERM");
    process_->sendSignal(planned.number);
    ++signalsSent_;
    if (planned.number != SIGTERM || recorder_.current().terminatedAt) return;
    const Duration now = net::unixNow();
    recorder_.current().terminatedAt = now;
    starting_ = false;
    nextStartNotBefore_ = now + plan_.shutdownTimeout;
    scheduleKill(plan_.shutdownTimeout);
}

// Kills the process when the shutdown timeout has passed, not counting pauses of the machine.
void SoakRun::scheduleKill(Duration unpaused) {
    scheduleWhileRunning(net::unixNow() + unpaused, [this] {
        const Duration since = *recorder_.current().terminatedAt, now = net::unixNow();
        const Duration left = plan_.shutdownTimeout - (now - since - pausedSince(since));
        if (pausedAt_ || left > 0ns) return scheduleKill(std::max<Duration>(left, kTick));
        if (kSanitizerExitTimeout > 0ns && !holdsSockets(process_->pid())) return awaitSanitizerExit();
        kill();
    });
}

// The program has ended in time when it holds no socket any more: its exit closes them after its last answer.
void SoakRun::awaitSanitizerExit() {
    recorder_.current().awaitedSanitizer = true;
    recorder_.log("process", "holds no socket; the sanitizer is at work");
    scheduleWhileRunning(net::unixNow() + kSanitizerExitTimeout, [this] { kill(); });
}

void SoakRun::kill() {
    recorder_.current().killedAt = net::unixNow();
    recorder_.log("process", "SIGKILL");
    process_->sendSignal(SIGKILL);
}

Duration SoakRun::pausedSince(Duration from) const {
    Duration sum{0};
    for (const MachinePause& pause : recorder_.observations.pauses)
        sum += std::max(Duration(0), pause.to - std::max(from, pause.from));
    return sum;
}

void SoakRun::pauseProcess(Duration length) {
    pausedAt_ = net::unixNow();
    recorder_.log("process", "SIGSTOP");
    process_->sendSignal(SIGSTOP);
    scheduleWhileRunning(*pausedAt_ + length, [this] {
        process_->sendSignal(SIGCONT);
        recorder_.log("process", "SIGCONT");
        endPause();
    });
}

void SoakRun::endPause() {
    if (!pausedAt_) return;
    recorder_.observations.pauses.push_back({*pausedAt_, net::unixNow()});
    pausedAt_.reset();
}

void SoakRun::killWithoutNotice() {
    recorder_.current().killedWithoutNotice = true;
    recorder_.log("process", "without notice:");
    kill();
    endPause();
}

void SoakRun::processEnded(int code, int signal) {
    Incarnation& incarnation = recorder_.current();
    incarnation.endedAt = net::unixNow();
    incarnation.exitCode = code;
    incarnation.exitSignal = signal;
    endPause();
    recorder_.log("process",
                  "ended, exit code " + std::to_string(code) + ", signal " + std::to_string(signal));
    const Duration next = std::max(*incarnation.endedAt, nextStartNotBefore_) + kRestartDelay;
    scheduler_.schedule(next, [this] { finishIncarnation(); });
}

void SoakRun::finishIncarnation() {
    clients_.endIncarnation();
    starting_ = false;
    readLog();
    if (recorder_.observations.incarnations.size() < plan_.incarnations.size()) return startIncarnation();
    done_ = true;
}

void SoakRun::readLog() {
    Incarnation& incarnation = recorder_.current();
    std::istringstream log(logOf(recorder_.currentIndex()));
    for (std::string line; std::getline(log, line);) {
        if (line.starts_with("counters:")) incarnation.unansweredByCounters = countUnanswered(line);
        if (line.find("ERROR: AddressSanitizer") != line.npos || line.find("runtime error:") != line.npos ||
            line.find("ERROR: LeakSanitizer") != line.npos)
            incarnation.sanitizerReport = line;
    }
}

void SoakRun::observeProcess(Duration now) {
    if (now < nextSample_ || !process_ || !process_->running()) return;
    nextSample_ = now + kSampleInterval;
    Incarnation& incarnation = recorder_.current();
    incarnation.peakMemoryMb = std::max(incarnation.peakMemoryMb, process_->memoryMb());
    incarnation.peakDescriptors = std::max(incarnation.peakDescriptors, countDescriptors(process_->pid()));
}

std::string SoakRun::logOf(std::size_t incarnation) const {
    std::ifstream file(folder_ + "/incarnation-" + std::to_string(incarnation) + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace cottonwing::soak
