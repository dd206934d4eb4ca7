#include "config/process_config.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "config/json_reader.h"
#include "config/keys.h"
#include "config/parse.h"

namespace cottonwing::config {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr double kNanosecondsPerMillisecond = 1e6;
constexpr double kBytesPerMegabyte = 1 << 20;
constexpr double kMinMemoryMb = 16;
constexpr double kMinSockets = 64;

// Clients may open connections for up to half of the descriptors, and other peers connect as well. A
// sixteenth of the descriptors is left for all other connections and for what the system opens.
constexpr double kThriftConnectionsFraction = 11.0 / 16;
constexpr double kDependencyConnectionsFraction = 1.0 / 4;

// A quarter of the memory is left for the program itself.
constexpr double kThriftMemoryFraction = 1.0 / 4;
constexpr double kDependencyMemoryFraction = 1.0 / 8;
constexpr double kRequestMemoryFraction = 1.0 / 8;
constexpr double kWorkerPoolMemoryFraction = 1.0 / 8;
constexpr double kIdempotencyKeyMemoryFraction = 1.0 / 8;

std::string quoted(const std::string& text) { return "'" + text + "'"; }

std::string readVariable(const Environment& environment, const char* name) {
    const char* const value = environment(name);
    if (value == nullptr || *value == '\0') throw ConfigError(name, "a non-empty value");
    return value;
}

net::Address readAddress(const std::string& path, const std::string& text) {
    const std::optional<net::Address> address = net::Address::parse(text);
    if (!address) throw ConfigError(path, "an address such as 127.0.0.1:8080", quoted(text));
    return *address;
}

net::Address readAddress(const JsonReader& file, const char* key) {
    return readAddress(file.pathOf(key), file.requiredString(key));
}

telemetry::Level readLogLevel(const Environment& environment) {
    static const std::map<std::string, telemetry::Level> kLevels = {{"error", telemetry::Level::Error},
                                                                    {"warn", telemetry::Level::Warn},
                                                                    {"info", telemetry::Level::Info},
                                                                    {"debug", telemetry::Level::Debug}};
    const char* const level = environment(keys::kLogLevelVariable);
    if (level == nullptr) return telemetry::Level::Info;
    const auto found = kLevels.find(level);
    if (found == kLevels.end())
        throw ConfigError(keys::kLogLevelVariable, "error, warn, info or debug", quoted(level));
    return found->second;
}

Json readFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw ConfigError(keys::kFileVariable, "a file that can be opened", quoted(path));
    Json document = Json::parse(file, nullptr, false);
    if (!document.is_object())
        throw ConfigError(keys::kFileVariable, "a file with a JSON object", quoted(path));
    return document;
}

// The file repeats these values of the environment, so that a file for another instance is rejected.
void validateMatchesVariable(const JsonReader& file, const char* key, const std::string& value,
                             const char* variable) {
    const std::string text = file.requiredString(key);
    if (text != value)
        throw ConfigError(file.pathOf(key), quoted(value) + " as in " + variable, quoted(text));
}

std::map<std::string, std::string> readRestartOnlyKeys(const JsonReader& file) {
    std::map<std::string, std::string> values;
    for (const char* key : {keys::kShutdownTimeoutMs, keys::kLimits, keys::kSettings, keys::kSeed})
        values[key] = file.required(key).dump();
    return values;
}

Duration readShutdownTimeout(const JsonReader& file) {
    const double milliseconds = file.requiredPositive(keys::kShutdownTimeoutMs);
    return Duration(static_cast<std::int64_t>(milliseconds * kNanosecondsPerMillisecond));
}

// The resource limits that the operating system sets for the process.
struct ProcessLimits {
    double memoryMb = 0;
    double sockets = 0;
};

ResourceLimits divideLimits(const ProcessLimits& limits) {
    const auto connections = [&](double fraction) {
        return static_cast<std::size_t>(limits.sockets * fraction);
    };
    const auto bytes = [&](double fraction) {
        return static_cast<std::size_t>(limits.memoryMb * fraction * kBytesPerMegabyte);
    };
    return {.thriftConnections = connections(kThriftConnectionsFraction),
            .dependencyConnections = connections(kDependencyConnectionsFraction),
            .thriftBytes = bytes(kThriftMemoryFraction),
            .dependencyBytes = bytes(kDependencyMemoryFraction),
            .requestBytes = bytes(kRequestMemoryFraction),
            .workerPoolBytes = bytes(kWorkerPoolMemoryFraction),
            .idempotencyKeyBytes = bytes(kIdempotencyKeyMemoryFraction)};
}

std::string describe(double number) { return Json(number).dump(); }

ResourceLimits readLimits(const JsonReader& file) {
    const JsonReader limits = file.requiredObject(keys::kLimits);
    limits.requiredPositive(keys::kLimitCores);
    const double memoryMb = limits.requiredPositive(keys::kLimitMemoryMb);
    const double sockets = limits.requiredPositive(keys::kLimitSockets);
    if (memoryMb < kMinMemoryMb)
        throw ConfigError(limits.pathOf(keys::kLimitMemoryMb), "at least 16", describe(memoryMb));
    if (sockets < kMinSockets)
        throw ConfigError(limits.pathOf(keys::kLimitSockets), "at least 64", describe(sockets));
    return divideLimits({.memoryMb = memoryMb, .sockets = sockets});
}

std::uint64_t readSeed(const JsonReader& file) {
    const std::string text = file.requiredString(keys::kSeed);
    const std::optional<std::uint64_t> seed = parseSeed(text);
    if (!seed) throw ConfigError(file.pathOf(keys::kSeed), "up to 16 hex digits", quoted(text));
    return *seed;
}

// Checks that apply to the server only: the simulator accepts a class without a timeout and calls without a
// dependency, but here either would leave requests that never end.
void validateRequestClasses(const ControllerConfig& controller) {
    const std::string entry = std::string(keys::kSettings) + "." + keys::kRequestClasses + "[].";
    const std::string instance = std::string(keys::kSettings) + "." + keys::kInstance + ".";
    for (const RequestClass& requestClass : controller.requestClasses) {
        if (requestClass.idempotency == Idempotency::WithKey && requestClass.idempotencyWindow <= 0ns)
            throw ConfigError(entry + keys::kIdempotencyWindowUs,
                              "a time above 0, as the class is 'guarded'");
        if (requestClass.timeout <= 0ns) throw ConfigError(entry + keys::kTimeoutUs, "a time above 0");
        if (requestClass.latencyObjective <= 0ns)
            throw ConfigError(entry + keys::kLatencyObjectiveUs, "a time above 0");
        if (requestClass.callsDependency && controller.dependency == DependencyKind::None)
            throw ConfigError(instance + keys::kDependencyKind,
                              "'shared' or 'tier', as a class calls the dependency");
    }
}

ControllerConfig readController(const JsonReader& file, NameTables& names) {
    const JsonReader settings = file.requiredObject(keys::kSettings);
    ControllerConfig controller = readControllerConfig(file.required(keys::kSettings), readSeed(file), names);
    validateRequestClasses(controller);
    // The simulator accounts idempotency keys to the memory of requests; the server stores them separately,
    // under a limit of their own.
    controller.idempotencyKeyKb = 0;
    return controller;
}

// An instance of the last tier has no dependency and needs no address for one.
std::optional<net::Address> readDependency(const JsonReader& file, DependencyKind kind) {
    if (kind == DependencyKind::None && !file.has(keys::kDependencyAddress)) return std::nullopt;
    return readAddress(file, keys::kDependencyAddress);
}

}  // namespace

ProcessConfig readProcessConfig(const Environment& environment) {
    ProcessConfig config;
    config.name = readVariable(environment, keys::kNameVariable);
    const std::string listen = readVariable(environment, keys::kListenVariable);
    const std::string path = readVariable(environment, keys::kFileVariable);
    config.listen = readAddress(keys::kListenVariable, listen);
    config.level = readLogLevel(environment);

    const Json document = readFile(path);
    const JsonReader file(document, "");
    validateMatchesVariable(file, keys::kName, config.name, keys::kNameVariable);
    validateMatchesVariable(file, keys::kListen, listen, keys::kListenVariable);
    config.workerPool = readAddress(file, keys::kWorkerPool);
    config.registry = readAddress(file, keys::kRegistry);
    config.restartOnlyKeys = readRestartOnlyKeys(file);
    config.shutdownTimeout = readShutdownTimeout(file);
    config.limits = readLimits(file);
    config.controller = readController(file, config.nameTables);

    const JsonReader instance = file.requiredObject(keys::kSettings).requiredObject(keys::kInstance);
    config.dependency = readDependency(file, config.controller.dependency);
    instance.requiredPositive(keys::kCores);
    instance.requiredPositive(keys::kMemoryLimitKb);
    config.gaugeNames = instance.stringsOrEmpty(keys::kGaugeNames);
    config.deregisterWhenUnhealthy = instance.flagOr(keys::kDeregisterWhenUnhealthy, false);
    config.clientsSendTimeout = instance.flagOr(keys::kClientsSendTimeout, false);
    return config;
}

}  // namespace cottonwing::config
