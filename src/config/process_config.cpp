#include "config/process_config.h"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

namespace cottonwing::config {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

[[noreturn]] void complain(const std::string& key, const std::string& expected) {
    throw ConfigError(key + ": " + expected);
}

net::Address readAddress(const std::string& key, const std::string& text) {
    if (const auto address = net::Address::parse(text)) return *address;
    complain(key, "an address such as 127.0.0.1:8080 was expected, not '" + text + "'");
}

const Json& need(const Json& object, const std::string& path, const char* key) {
    const auto found = object.find(key);
    if (found == object.end()) complain(path + key, "is missing");
    return *found;
}

std::string text(const Json& all, const char* key) {
    const Json& value = need(all, "", key);
    if (!value.is_string() || value.get<std::string>().empty()) complain(key, "a text was expected");
    return value.get<std::string>();
}

double positive(const Json& object, const std::string& path, const char* key) {
    const Json& value = need(object, path, key);
    if (!value.is_number() || !(value.get<double>() > 0))
        complain(path + key, "a number above 0 was expected");
    return value.get<double>();
}

const Json& object(const Json& all, const std::string& path, const char* key) {
    const Json& value = need(all, path, key);
    if (!value.is_object()) complain(path + key, "an object was expected");
    return value;
}

std::uint64_t readSeed(const std::string& seed) {
    std::uint64_t value = 0;
    const char* const last = seed.data() + seed.size();
    const auto [end, error] = std::from_chars(seed.data(), last, value, 16);
    if (error != std::errc() || end != last) complain("seed", "up to 16 hex digits were expected");
    return value;
}

// What contradicts itself, or lacks what a backend can't do without.
void refuseContradictions(const ControllerConfig& terms) {
    for (const RequestClass& profile : terms.requestClasses) {
        if (profile.idempotency == Idempotency::WithKey && profile.idempotencyWindow <= 0ns)
            complain("settings.classes[].window_us", "a time above 0 was expected, as the class is guarded");
        if (profile.timeout <= 0ns) complain("settings.classes[].deadline_us", "a time above 0 was expected");
        if (profile.latencyObjective <= 0ns)
            complain("settings.classes[].aim_us", "a time above 0 was expected");
        if (profile.callsDependency && terms.dependency == DependencyKind::None)
            complain("settings.family_info.below", "'shared' or 'tier' was expected, as profiles call");
    }
}

// Sidecars open connections up to half of the descriptors, and others come beside them; a sixteenth of the
// descriptors is left for the other links and what the system opens.
ResourceLimits sharesOf(double megabytes, double sockets) {
    const auto bytes = [&](double share) { return static_cast<std::size_t>(megabytes * share * (1 << 20)); };
    return {static_cast<std::size_t>(sockets * 11 / 16),
            static_cast<std::size_t>(sockets / 4),
            bytes(0.25),
            bytes(0.125),
            bytes(0.125),
            bytes(0.125),
            bytes(0.125)};
}

}  // namespace

ProcessConfig readProcessConfig(const Environment& environment) {
    const auto variable = [&](const char* key) {
        const char* value = environment(key);
        if (value == nullptr || *value == '\0') complain(key, "is not set");
        return std::string(value);
    };
    ProcessConfig start;
    start.name = variable("GW_NAME");
    const std::string listen = variable("GW_LISTEN"), path = variable("GW_CONFIG");
    start.listen = readAddress("GW_LISTEN", listen);
    if (const char* level = environment("GW_LOG")) {
        static const std::map<std::string, telemetry::Level> kLevels = {{"error", telemetry::Level::Error},
                                                                        {"warn", telemetry::Level::Warn},
                                                                        {"info", telemetry::Level::Info},
                                                                        {"debug", telemetry::Level::Debug}};
        const auto found = kLevels.find(level);
        if (found == kLevels.end()) complain("GW_LOG", "error, warn, info or debug was expected");
        start.level = found->second;
    }
    std::ifstream file(path);
    if (!file) complain("GW_CONFIG", "'" + path + "' can't be opened");
    const Json all = Json::parse(file, nullptr, false);
    if (!all.is_object()) complain("GW_CONFIG", "'" + path + "' holds no JSON object");

    if (text(all, "name") != start.name) complain("name", "'" + start.name + "' was expected, as in GW_NAME");
    if (text(all, "listen") != listen) complain("listen", "'" + listen + "' was expected, as in GW_LISTEN");
    start.workerPool = readAddress("pool", text(all, "pool"));
    start.registry = readAddress("registry", text(all, "registry"));
    for (const char* key : {"stop_ms", "limits", "settings", "seed"})
        start.restartOnlyKeys[key] = need(all, "", key).dump();
    start.shutdownTimeout = Duration(static_cast<std::int64_t>(positive(all, "", "stop_ms") * 1e6));
    const Json& limits = object(all, "", "limits");
    positive(limits, "limits.", "cores");
    const double megabytes = positive(limits, "limits.", "memory_mb"),
                 sockets = positive(limits, "limits.", "sockets");
    if (megabytes < 16) complain("limits.memory_mb", "at least 16 were expected");
    if (sockets < 64) complain("limits.sockets", "at least 64 were expected");
    start.limits = sharesOf(megabytes, sockets);

    const Json& settings = object(all, "", "settings");
    start.controller = readControllerConfig(settings, readSeed(text(all, "seed")), start.nameTables);
    refuseContradictions(start.controller);
    // The simulator books entries in the memory of commands; here keys lie in our own, under a share of it.
    start.controller.idempotencyKeyKb = 0;
    const Json& mine = object(settings, "settings.", "family_info");
    // A backend of the last tier calls nothing, and is told of no address for it.
    if (start.controller.dependency != DependencyKind::None || all.contains("records"))
        start.dependency = readAddress("records", text(all, "records"));
    positive(mine, "settings.family_info.", "cores");
    positive(mine, "settings.family_info.", "heap_kb");
    const auto gauges = mine.find("own_stats");
    if (gauges != mine.end()) {
        if (!gauges->is_array()) complain("settings.family_info.own_stats", "a list of names was expected");
        for (const Json& gauge : *gauges) {
            if (!gauge.is_string()) complain("settings.family_info.own_stats", "names were expected");
            start.gaugeNames.push_back(gauge.get<std::string>());
        }
    }
    const auto follows = mine.find("readiness");
    if (follows != mine.end()) {
        if (!follows->is_boolean()) complain("settings.family_info.readiness", "true or false was expected");
        start.deregisterWhenUnhealthy = follows->get<bool>();
    }
    const auto told = mine.find("passes_deadline");
    if (told != mine.end()) {
        if (!told->is_boolean())
            complain("settings.family_info.passes_deadline", "true or false was expected");
        start.clientsSendTimeout = told->get<bool>();
    }
    return start;
}

}  // namespace cottonwing::config
