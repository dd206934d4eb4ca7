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
constexpr Duration kObserverStalled = 10ms;  // between two ticks: meanwhile nothing was read or written
constexpr Duration kLookInterval = 50ms;     // at the process's memory and descriptors
constexpr Duration kGivesUpStarting = 31s;   // STANDING.md: over 30 s to be ready is a crash
constexpr Duration kBeforeSignals = 410ms;   // the earliest signal of a drain comes that long before SIGTERM
constexpr Duration kAfterEnd = 20ms;         // until the next life
constexpr int kMemoryMb = 192;               // DEPLOY.md: the most on scored days
constexpr double kPoolMemoryKb = 8000;

WorkerPoolSettings poolSettings(const Plan& plan) {
    WorkerPoolSettings settings;
    settings.overloadWindow = 1500ms;
    settings.warmUpTime = 2s;
    settings.sendsPieces = plan.poolSendsPieces;
    return settings;
}

// Under an address of its own the port cannot be taken by a connection of somebody else between two lives.
net::Address freeAddress(net::Loop& loop, std::uint64_t seed) {
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

std::string textOf(const net::Address& address) { return address.host + ":" + std::to_string(address.port); }

std::size_t descriptorsOf(int process) {
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd", error);
    if (error) return 0;
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

// Of the line of counters that the server prints at its end.
std::int64_t unansweredOf(const std::string& counters) {
    const auto valueOf = [&](const std::string& name) -> std::int64_t {
        const std::size_t at = counters.find(" " + name + "=");
        return at == counters.npos ? 0 : std::stoll(counters.substr(at + name.size() + 2));
    };
    return valueOf("requests-read") - valueOf("requests-completed") - valueOf("requests-rejected") -
           valueOf("requests-failed") - valueOf("requests-cancelled-by-client");
}

}  // namespace

SoakRun::SoakRun(Plan plan, std::string program, std::string folder)
    : plan_(std::move(plan)),
      program_(std::move(program)),
      folder_(std::move(folder)),
      chance_(plan_.seed * 104729 + 3),
      pool_(loop_, poolSettings(plan_), chance_, recorder_),
      dependency_(
          loop_, agenda_, chance_, recorder_, plan_.hungCalls,
          [this](const std::string& id) { return pool_.isBlocked(id); },
          [this](const std::string& id) { return pool_.segmentOf(id); }),
      registry_(loop_, agenda_, recorder_),
      clients_(plan_, freeAddress(loop_, plan_.seed), agenda_, chance_, recorder_),
      timer_(loop_, [this] { tick(); }),
      listen_(clients_.server()) {
    Observations& seen = recorder_.seen;
    seen.classes = {{"read", Idempotency::Idempotent},
                    {"look", Idempotency::Idempotent},
                    {"once", Idempotency::None},
                    {"keyed", Idempotency::WithKey}};
    seen.drainGrace = plan_.drainGrace;
    seen.memoryLimitMb = kMemoryMb;
    seen.descriptorLimit = static_cast<std::size_t>(plan_.sockets);
    seen.bookedLimitKb = kPoolMemoryKb;
}

SoakRun::~SoakRun() = default;

void SoakRun::play() {
    loop_.onUncaughtException([this](const std::string& what) {
        failure_ = what;
        done_ = true;
    });
    startLife();
    timer_.start(kTick);
    while (!done_) loop_.runOnce();
}

void SoakRun::tick() {
    const Duration now = net::unixNow();
    if (lastTick_ > 0ns && now - lastTick_ > kObserverStalled) {
        recorder_.seen.pauses.push_back({lastTick_, now});
        recorder_.note("observer", "did not run for " + std::to_string((now - lastTick_) / 1ms) + " ms");
    }
    lastTick_ = now;
    pool_.tick(now);
    agenda_.runUntil(now);
    clients_.tick(now);
    if (starting_) whileStarting(now);
    observeProcess(now);
    if (!done_) timer_.start(kTick);
}

void SoakRun::at(Duration time, std::function<void()> what) {
    agenda_.at(time, [this, life = recorder_.lifeNumber(), what = std::move(what)] {
        if (isCurrent(life) && process_ && process_->running()) what();
    });
}

// ---- A life ---------------------------------------------------------------------------------------------

void SoakRun::startLife() {
    const std::size_t number = recorder_.seen.lives.size();
    const LifePlan& plan = plan_.lives[number];
    recorder_.seen.lives.emplace_back();
    recorder_.life().startedAt = net::unixNow();
    notBefore_ = 0ns;
    if (number == 0 || plan.poolRestarts || plan.endsBeforeReady)
        pool_.restart(plan.poolIsCold, plan.poolStartsAfter);
    pool_.serverStarted();
    registry_.behave(plan.registrySilent, plan.registryDelay);
    writeConfig(PlannedSignal::File::Same);
    recorder_.note("process", "starts, life " + std::to_string(number));
    process_ = std::make_unique<loadtest::ChildProcess>(
        loop_, program_, std::vector<std::string>{},
        std::map<std::string, std::string>{{"GW_NAME", "n3"},
                                           {"GW_LISTEN", textOf(listen_)},
                                           {"GW_CONFIG", folder_ + "/start.json"},
                                           {"GW_LOG", "info"}},
        folder_ + "/life-" + std::to_string(number) + ".log",
        [this](int code, int signal) { processEnded(code, signal); });
    clients_.beginLife();
    starting_ = true;
    if (plan.endsBeforeReady) planEnd(net::unixNow() + plan.traffic);
}

void SoakRun::writeConfig(PlannedSignal::File file) {
    if (file == PlannedSignal::File::OtherAddresses) otherAddresses_ = !otherAddresses_;
    Json config = testing::plainConfigFile();
    config["listen"] = textOf(listen_);
    config["pool"] = textOf(pool_.address(otherAddresses_));
    config["records"] = textOf(dependency_.address(otherAddresses_));
    config["registry"] = textOf(registry_.address(otherAddresses_));
    config["stop_ms"] = plan_.stopAfter / 1ms;
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
    // In one step, as the program may read it at any time.
    std::ofstream(folder_ + "/next.json") << text;
    std::filesystem::rename(folder_ + "/next.json", folder_ + "/start.json");
}

void SoakRun::whileStarting(Duration now) {
    if (lifePlan().endsBeforeReady) return;
    if (clients_.sawReady()) {
        starting_ = false;
        recorder_.life().readyAt = now;
        recorder_.note("process", "is ready");
        clients_.startTraffic();
        return planTraffic(now);
    }
    if (now - recorder_.life().startedAt < kGivesUpStarting) return;
    starting_ = false;
    planEnd(now);
}

void SoakRun::planTraffic(Duration from) {
    const LifePlan& plan = lifePlan();
    if (plan.stoppedFor > 0ns) at(from + plan.stoppedAt, [this, &plan] { stopProcess(plan.stoppedFor); });
    if (plan.linkBreaksAt > 0ns) at(from + plan.linkBreaksAt, [this] { pool_.breakConnection(); });
    planEnd(from + plan.traffic);
}

void SoakRun::planEnd(Duration from) {
    const LifePlan& plan = lifePlan();
    if (plan.end == LifePlan::End::Kill) return at(from, [this] { killOutright(); });
    for (const PlannedSignal& signal : plan.signals)
        at(from + kBeforeSignals + signal.at, [this, signal] { sendSignal(signal); });
}

void SoakRun::sendSignal(const PlannedSignal& planned) {
    if (planned.number == SIGHUP) writeConfig(planned.file);
    recorder_.note("process", planned.number == SIGHUP ? "SIGHUP" : "SIGTERM");
    process_->sendSignal(planned.number);
    ++signalsSent_;
    if (planned.number != SIGTERM || recorder_.life().terminated) return;
    const Duration now = net::unixNow();
    recorder_.life().terminated = now;
    starting_ = false;
    notBefore_ = now + plan_.stopAfter;
    killAfter(plan_.stopAfter);
}

// The kill comes when the stop time has passed without the machine's pauses.
void SoakRun::killAfter(Duration unpaused) {
    at(net::unixNow() + unpaused, [this] {
        const Duration since = *recorder_.life().terminated, now = net::unixNow();
        const Duration left = plan_.stopAfter - (now - since - pausedSince(since));
        if (stoppedAt_ || left > 0ns) return killAfter(std::max<Duration>(left, kTick));
        recorder_.life().killed = now;
        recorder_.note("process", "SIGKILL");
        process_->sendSignal(SIGKILL);
    });
}

Duration SoakRun::pausedSince(Duration from) const {
    Duration sum{0};
    for (const MachinePause& pause : recorder_.seen.pauses)
        sum += std::max(Duration(0), pause.to - std::max(from, pause.from));
    return sum;
}

void SoakRun::stopProcess(Duration length) {
    stoppedAt_ = net::unixNow();
    recorder_.note("process", "SIGSTOP");
    process_->sendSignal(SIGSTOP);
    at(*stoppedAt_ + length, [this] {
        process_->sendSignal(SIGCONT);
        recorder_.note("process", "SIGCONT");
        endPause();
    });
}

void SoakRun::endPause() {
    if (!stoppedAt_) return;
    recorder_.seen.pauses.push_back({*stoppedAt_, net::unixNow()});
    stoppedAt_.reset();
}

void SoakRun::killOutright() {
    recorder_.life().killedOutright = true;
    recorder_.life().killed = net::unixNow();
    recorder_.note("process", "SIGKILL outright");
    process_->sendSignal(SIGKILL);
    endPause();
}

void SoakRun::processEnded(int code, int signal) {
    Life& life = recorder_.life();
    life.endedAt = net::unixNow();
    life.exitCode = code;
    life.exitSignal = signal;
    endPause();
    recorder_.note("process",
                   "ended, exit code " + std::to_string(code) + ", signal " + std::to_string(signal));
    const Duration next = std::max(*life.endedAt, notBefore_) + kAfterEnd;
    agenda_.at(next, [this] { finishLife(); });
}

void SoakRun::finishLife() {
    clients_.endLife();
    starting_ = false;
    readLog();
    if (recorder_.seen.lives.size() < plan_.lives.size()) return startLife();
    done_ = true;
}

void SoakRun::readLog() {
    Life& life = recorder_.life();
    std::istringstream log(logOf(recorder_.lifeNumber()));
    for (std::string line; std::getline(log, line);) {
        if (line.starts_with("counters:")) life.unansweredByCounters = unansweredOf(line);
        if (line.find("ERROR: AddressSanitizer") != line.npos || line.find("runtime error:") != line.npos ||
            line.find("ERROR: LeakSanitizer") != line.npos)
            life.sanitizerReport = line;
    }
}

void SoakRun::observeProcess(Duration now) {
    if (now < nextLook_ || !process_ || !process_->running()) return;
    nextLook_ = now + kLookInterval;
    Life& life = recorder_.life();
    life.mostMemoryMb = std::max(life.mostMemoryMb, process_->memoryMb());
    life.mostDescriptors = std::max(life.mostDescriptors, descriptorsOf(process_->pid()));
}

std::string SoakRun::logOf(std::size_t life) const {
    std::ifstream file(folder_ + "/life-" + std::to_string(life) + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace cottonwing::soak
