#include "config/controller_config.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace cottonwing::config {

namespace {

using Json = nlohmann::json;

template <typename T>
T valueOr(const Json& object, const char* key, T otherwise) {
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) return otherwise;
    try {
        return found->get<T>();
    } catch (const Json::exception&) {
        throw ConfigError(std::string("settings: ") + key + ": a value of another type was expected, not " +
                          found->dump());
    }
}

Duration microsOr(const Json& object, const char* key, std::int64_t otherwise) {
    return std::chrono::microseconds(valueOr<std::int64_t>(object, key, otherwise));
}

const Json& part(const Json& object, const char* key) {
    static const Json kEmpty = Json::object();
    const auto found = object.find(key);
    return found == object.end() || !found->is_object() ? kEmpty : *found;
}

const Json& list(const Json& object, const char* key) {
    static const Json kEmpty = Json::array();
    const auto found = object.find(key);
    if (found == object.end()) return kEmpty;
    if (!found->is_array()) throw ConfigError(std::string("settings: ") + key + ": a list was expected");
    return *found;
}

std::string nameOf(const Json& entry) {
    if (!entry.is_object() || !entry.contains("name") || !entry["name"].is_string())
        throw ConfigError("settings: name: each of classes and tenants needs one");
    return entry["name"].get<std::string>();
}

template <typename T>
T choice(const Json& object, const char* key, const std::map<std::string, T>& names, T otherwise) {
    const auto name = valueOr<std::string>(object, key, "");
    if (name.empty()) return otherwise;
    const auto found = names.find(name);
    if (found == names.end())
        throw ConfigError(std::string("settings: ") + key + ": unknown value '" + name + "'");
    return found->second;
}

}  // namespace

ControllerConfig readControllerConfig(const Json& all, std::uint64_t seed, NameTables& names) {
    ControllerConfig terms;
    terms.seed = seed;
    const Json& mine = part(all, "family_info");
    const Json& permissions = part(all, "permissions");
    const Json& obligations = part(all, "obligations");
    const Json& goal = part(all, "goal");
    const auto poorer = valueOr<std::vector<double>>(mine, "degraded_worth", {});
    const auto calls = valueOr<std::vector<bool>>(mine, "class_calls", {});
    for (const Json& entry : list(all, "classes")) {
        RequestClass profile;
        const std::size_t at = terms.requestClasses.size();
        profile.idempotency = choice<Idempotency>(entry, "repeat",
                                                  {{"free", Idempotency::Idempotent},
                                                   {"guarded", Idempotency::WithKey},
                                                   {"single_shot", Idempotency::None}},
                                                  Idempotency::None);
        profile.latencyObjective = microsOr(entry, "aim_us", 0);
        profile.timeout = microsOr(entry, "deadline_us", 0);
        profile.latencyObjectiveWorkFactor = valueOr(entry, "aim_stretch", 0.0);
        profile.idempotencyWindow = microsOr(entry, "window_us", 0);
        profile.priorityWeight = valueOr(entry, "worth", 1.0);
        profile.lateValueFraction = valueOr(entry, "late_value", 0.0);
        profile.degradedValueFraction = at < poorer.size() ? poorer[at] : 0.0;
        profile.callsDependency = at < calls.size() && calls[at];
        names.requestClasses.emplace(nameOf(entry), static_cast<int>(at));
        terms.requestClasses.push_back(profile);
    }
    for (const Json& entry : list(all, "tenants")) {
        names.tenants.emplace(nameOf(entry), static_cast<int>(terms.tenants.size()));
        terms.tenants.push_back({valueOr(entry, "quota_per_s", 0.0)});
    }
    if (terms.requestClasses.empty()) throw ConfigError("settings: classes: at least one was expected");
    terms.overQuotaValueFraction = valueOr(all, "over_share_worth", 1.0);
    terms.valueCountsWork = valueOr<std::string>(all, "value_by", "request") == "work";
    terms.goalTotalValue = valueOr(goal, "whole", 1.0);
    terms.goalWorstClass = valueOr(goal, "worst_class", 0.0);
    terms.peerCount = valueOr(all, "peers_total", 1);
    terms.cores = valueOr(mine, "cores", 1);
    terms.startsCold = valueOr(mine, "cold", false);
    terms.coldCapacityFraction = valueOr(obligations, "start_capacity", 1.0);
    terms.warmUpTime = microsOr(obligations, "ramp_time_us", 0);
    terms.memoryLimitKb = valueOr(mine, "heap_kb", 0.0);
    terms.idempotencyKeyKb = valueOr(mine, "key_kb", 0.0);
    terms.runMemoryFactor = valueOr(mine, "run_factor", 1.0);
    terms.runCancellation = choice<RunCancellation>(mine, "halt",
                                                    {{"off", RunCancellation::Unsupported},
                                                     {"abort", RunCancellation::Abort},
                                                     {"suspend", RunCancellation::Suspend}},
                                                    RunCancellation::Unsupported);
    terms.loadSignal = choice<LoadSignal>(mine, "signal",
                                          {{"off", LoadSignal::None},
                                           {"threshold", LoadSignal::Threshold},
                                           {"window", LoadSignal::Window},
                                           {"share_of", LoadSignal::Share}},
                                          LoadSignal::None);
    terms.dependency = choice<DependencyKind>(
        mine, "below",
        {{"off", DependencyKind::None}, {"shared", DependencyKind::Shared}, {"tier", DependencyKind::Tier}},
        DependencyKind::None);
    terms.dependencyQuota = valueOr(mine, "dep_share", 0.0);
    terms.dependencyQuotaWindow = microsOr(mine, "calls_over_us", 0);
    terms.abandonedCallTime = microsOr(mine, "linger_us", 0);
    terms.maxConnectionIdle = microsOr(mine, "idle_us", 0);
    terms.clientCount = valueOr(mine, "senders", 0);
    terms.drainGrace = microsOr(obligations, "drain_grace_us", 0);
    terms.overloadFactor = valueOr(obligations, "fall_multiple", 1.0);
    terms.overloadWindow = microsOr(obligations, "overload_for_us", 0);
    terms.retryAfterAllowed = valueOr(permissions, "retry_after", false);
    terms.maxRetryAfter = microsOr(permissions, "max_retry_after_us", 0);
    return terms;
}

}  // namespace cottonwing::config
