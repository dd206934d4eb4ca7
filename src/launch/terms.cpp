#include "launch/terms.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace cottonwing::launch {

namespace {

using Json = nlohmann::json;

template <typename T>
T valueOr(const Json& object, const char* key, T otherwise) {
    const auto found = object.find(key);
    if (found == object.end() || found->is_null()) return otherwise;
    try {
        return found->get<T>();
    } catch (const Json::exception&) {
        throw BadKey(std::string("settings: ") + key + ": a value of another type was expected, not " +
                     found->dump());
    }
}

Nanos microsOr(const Json& object, const char* key, std::int64_t otherwise) {
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
    if (!found->is_array()) throw BadKey(std::string("settings: ") + key + ": a list was expected");
    return *found;
}

std::string nameOf(const Json& entry) {
    if (!entry.is_object() || !entry.contains("name") || !entry["name"].is_string())
        throw BadKey("settings: name: each of classes and tenants needs one");
    return entry["name"].get<std::string>();
}

template <typename T>
T choice(const Json& object, const char* key, const std::map<std::string, T>& names, T otherwise) {
    const auto name = valueOr<std::string>(object, key, "");
    if (name.empty()) return otherwise;
    const auto found = names.find(name);
    if (found == names.end())
        throw BadKey(std::string("settings: ") + key + ": unknown value '" + name + "'");
    return found->second;
}

}  // namespace

StartTerms readTerms(const Json& all, std::uint64_t seed, Names& names) {
    StartTerms terms;
    terms.seed = seed;
    const Json& mine = part(all, "family_info");
    const Json& permissions = part(all, "permissions");
    const Json& obligations = part(all, "obligations");
    const Json& goal = part(all, "goal");
    const auto poorer = valueOr<std::vector<double>>(mine, "degraded_worth", {});
    const auto calls = valueOr<std::vector<bool>>(mine, "class_calls", {});
    for (const Json& entry : list(all, "classes")) {
        ProfileTerms profile;
        const std::size_t at = terms.profiles.size();
        profile.repeat = choice<Repeat>(
            entry, "repeat",
            {{"free", Repeat::Repeatable}, {"guarded", Repeat::Keyed}, {"single_shot", Repeat::OnceOnly}},
            Repeat::OnceOnly);
        profile.promised = microsOr(entry, "aim_us", 0);
        profile.hardStop = microsOr(entry, "deadline_us", 0);
        profile.promisedStretch = valueOr(entry, "aim_stretch", 0.0);
        profile.window = microsOr(entry, "window_us", 0);
        profile.earnings = valueOr(entry, "worth", 1.0);
        profile.lateShare = valueOr(entry, "late_value", 0.0);
        profile.poorerShare = at < poorer.size() ? poorer[at] : 0.0;
        profile.calls = at < calls.size() && calls[at];
        names.profiles.emplace(nameOf(entry), static_cast<int>(at));
        terms.profiles.push_back(profile);
    }
    for (const Json& entry : list(all, "tenants")) {
        names.customers.emplace(nameOf(entry), static_cast<int>(terms.customers.size()));
        terms.customers.push_back({valueOr(entry, "quota_per_s", 0.0)});
    }
    if (terms.profiles.empty()) throw BadKey("settings: classes: at least one was expected");
    terms.overShareWorth = valueOr(all, "over_share_worth", 1.0);
    terms.earningsByWork = valueOr<std::string>(all, "value_by", "request") == "work";
    terms.goalWhole = valueOr(goal, "whole", 1.0);
    terms.goalWorstProfile = valueOr(goal, "worst_class", 0.0);
    terms.peers = valueOr(all, "peers_total", 1);
    terms.cores = valueOr(mine, "cores", 1);
    terms.cold = valueOr(mine, "cold", false);
    terms.startCapacity = valueOr(obligations, "start_capacity", 1.0);
    terms.rampTime = microsOr(obligations, "ramp_time_us", 0);
    terms.memoryKb = valueOr(mine, "heap_kb", 0.0);
    terms.entryKb = valueOr(mine, "key_kb", 0.0);
    terms.runFactor = valueOr(mine, "run_factor", 1.0);
    terms.halting = choice<Halting>(
        mine, "halt", {{"off", Halting::Never}, {"abort", Halting::Abort}, {"suspend", Halting::Pause}},
        Halting::Never);
    terms.freeValue = choice<FreeValue>(mine, "signal",
                                        {{"off", FreeValue::None},
                                         {"threshold", FreeValue::Level},
                                         {"window", FreeValue::Window},
                                         {"share_of", FreeValue::Share}},
                                        FreeValue::None);
    terms.below = choice<Below>(mine, "below",
                                {{"off", Below::Nothing}, {"shared", Below::Shared}, {"tier", Below::Tier}},
                                Below::Nothing);
    terms.callShare = valueOr(mine, "dep_share", 0.0);
    terms.callsOver = microsOr(mine, "calls_over_us", 0);
    terms.linger = microsOr(mine, "linger_us", 0);
    terms.longestIdle = microsOr(mine, "idle_us", 0);
    terms.senders = valueOr(mine, "senders", 0);
    terms.drainGrace = microsOr(obligations, "drain_grace_us", 0);
    terms.fallMultiple = valueOr(obligations, "fall_multiple", 1.0);
    terms.fallOver = microsOr(obligations, "overload_for_us", 0);
    terms.comeBackAllowed = valueOr(permissions, "retry_after", false);
    terms.longestComeBack = microsOr(permissions, "max_retry_after_us", 0);
    return terms;
}

}  // namespace cottonwing::launch
