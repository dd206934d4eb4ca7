/// @file
/// Base configurations for tests: deterministic, and every rule of the controller can take effect.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "config/process_config.h"
#include "overload/types.h"

namespace cottonwing::testing {

using namespace std::chrono_literals;
using Json = nlohmann::json;
/// Names and values as text: fields of a Thrift request or environment variables.
using FieldMap = std::map<std::string, std::string>;

/// A warmed-up server with two cores and three request classes: 0 idempotent, 1 with an idempotency key,
/// 2 neither (a degraded response is allowed).
inline ControllerConfig plainControllerConfig() {
    ControllerConfig config;
    config.seed = 7;
    config.requestClasses = {{Idempotency::Idempotent, 2s, 0, 5s, 5s, 1, 0, 0, true},
                             {Idempotency::WithKey, 2s, 0, 5s, 3s, 4, 0.2, 0, true},
                             {Idempotency::None, 2s, 0, 5s, 5s, 2, 0, 0.5, true}};
    config.goalWorstClass = 0.2;
    config.peerCount = 4;
    config.cores = 2;
    config.coldCapacityFraction = 0.2;
    config.warmUpTime = 18s;
    config.memoryLimitKb = 4000;
    config.idempotencyKeyKb = 20;
    config.runMemoryFactor = 4;
    config.dependency = DependencyKind::Tier;
    config.drainGrace = 1s;
    config.overloadFactor = 4;
    config.overloadWindow = 1500ms;
    config.dependencyQuotaWindow = 5s;
    config.abandonedCallTime = 200ms;
    config.retryAfterAllowed = true;
    config.maxRetryAfter = 1s;
    config.maxConnectionIdle = 30s;
    return config;
}

/// The `settings` object of a configuration file with two request classes and one tenant.
inline Json plainSettings() {
    return Json::parse(R"({
        "classes": [{"name": "read", "repeat": "free", "aim_us": 3400000, "deadline_us": 8000000, "worth": 1},
                    {"name": "look", "repeat": "free", "aim_us": 2300000, "deadline_us": 5000000, "worth": 5}],
        "tenants": [{"name": "acme", "quota_per_s": 1000.0}],
        "family_info": {"below": "shared", "calls_over_us": 5000000, "class_calls": [true, false], "cores": 6,
            "degraded_worth": [0, 0], "dep_share": 40, "halt": "suspend", "heap_kb": 30000, "idle_us": 30000000,
            "linger_us": 200000, "own_stats": ["core_use", "on_cores", "heap_share", "links"],
            "passes_deadline": true, "readiness": true, "run_factor": 4, "senders": 3, "signal": "share_of"},
        "obligations": {"drain_grace_us": 200000, "fall_multiple": 8, "overload_for_us": 1500000},
        "permissions": {"max_retry_after_us": 1000000, "retry_after": true}, "peers_total": 3})");
}

/// A complete configuration file; tests replace the addresses with those of the fake peers.
inline Json plainConfigFile() {
    return {{"name", "n3"},
            {"listen", "127.0.0.1:0"},
            {"pool", "127.0.0.1:1"},
            {"registry", "127.0.0.1:1"},
            {"records", "127.0.0.1:1"},
            {"seed", "8c1f30d27a5be964"},
            {"stop_ms", 1500},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
            {"settings", plainSettings()}};
}

/// Writes a configuration file and calls `use` with an environment that refers to it.
/// @return what `use` returns.
template <typename Use>
auto withConfigFile(const Json& file, Use&& use,
                    FieldMap variables = {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}}) {
    const std::string path = ::testing::TempDir() + "cottonwing-start-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << file.dump();
    variables.emplace("GW_CONFIG", path);
    return use([&](const char* key) -> const char* {
        const auto found = variables.find(key);
        return found == variables.end() ? nullptr : found->second.c_str();
    });
}
/// Reads the configuration as the server does at startup.
inline config::ProcessConfig processConfigFrom(const Json& file,
                                               FieldMap variables = {{"GW_NAME", "n3"},
                                                                     {"GW_LISTEN", "127.0.0.1:0"}}) {
    return withConfigFile(file, config::readProcessConfig, std::move(variables));
}

}  // namespace cottonwing::testing
