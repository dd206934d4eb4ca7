#include "config/controller_config.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "config/json_reader.h"
#include "config/keys.h"

namespace cottonwing::config {

namespace {

using namespace std::chrono_literals;

const std::map<std::string, Idempotency>& idempotencyValues() {
    static const std::map<std::string, Idempotency> kValues = {
        {keys::kIdempotent, Idempotency::Idempotent},
        {keys::kIdempotentWithKey, Idempotency::WithKey},
        {keys::kNotIdempotent, Idempotency::None},
    };
    return kValues;
}

const std::map<std::string, RunCancellation>& runCancellationValues() {
    static const std::map<std::string, RunCancellation> kValues = {
        {keys::kOff, RunCancellation::Unsupported},
        {keys::kCancellationAborts, RunCancellation::Abort},
        {keys::kCancellationSuspends, RunCancellation::Suspend},
    };
    return kValues;
}

const std::map<std::string, LoadSignal>& loadSignalValues() {
    static const std::map<std::string, LoadSignal> kValues = {
        {keys::kOff, LoadSignal::None},
        {keys::kSignalThreshold, LoadSignal::Threshold},
        {keys::kSignalWindow, LoadSignal::Window},
        {keys::kSignalShare, LoadSignal::Share},
    };
    return kValues;
}

const std::map<std::string, DependencyKind>& dependencyKindValues() {
    static const std::map<std::string, DependencyKind> kValues = {
        {keys::kOff, DependencyKind::None},
        {keys::kDependencyShared, DependencyKind::Shared},
        {keys::kDependencyTier, DependencyKind::Tier},
    };
    return kValues;
}

std::string readName(const JsonReader& entry, const char* key) {
    const nlohmann::json* const name = entry.find(key);
    if (name == nullptr || !name->is_string()) throw ConfigError(entry.pathOf(key), "a name");
    return name->get<std::string>();
}

RequestClass readRequestClass(const JsonReader& entry) {
    RequestClass requestClass;
    requestClass.idempotency = entry.choiceOr(keys::kIdempotency, idempotencyValues(), Idempotency::None);
    requestClass.latencyObjective = entry.microsecondsOr(keys::kLatencyObjectiveUs, 0ns);
    requestClass.timeout = entry.microsecondsOr(keys::kTimeoutUs, 0ns);
    requestClass.latencyObjectiveWorkFactor = entry.valueOr(keys::kLatencyObjectiveWorkFactor, 0.0);
    requestClass.idempotencyWindow = entry.microsecondsOr(keys::kIdempotencyWindowUs, 0ns);
    requestClass.priorityWeight = entry.valueOr(keys::kPriorityWeight, 1.0);
    requestClass.lateValueFraction = entry.valueOr(keys::kLateValueFraction, 0.0);
    return requestClass;
}

void readRequestClasses(const JsonReader& settings, ControllerConfig& controller, NameTables& names) {
    const JsonReader instance = settings.objectOrEmpty(keys::kInstance);
    // Both lists run parallel to the list of classes; classes beyond the end of a list keep the default.
    const auto degraded = instance.valueOr<std::vector<double>>(keys::kDegradedValueFractions, {});
    const auto callDependency = instance.valueOr<std::vector<bool>>(keys::kClassesCallDependency, {});
    for (const JsonReader& entry : settings.listOrEmpty(keys::kRequestClasses)) {
        const std::size_t index = controller.requestClasses.size();
        RequestClass requestClass = readRequestClass(entry);
        requestClass.degradedValueFraction = index < degraded.size() ? degraded[index] : 0.0;
        requestClass.callsDependency = index < callDependency.size() && callDependency[index];
        names.requestClasses.emplace(readName(entry, keys::kRequestClassName), static_cast<int>(index));
        controller.requestClasses.push_back(requestClass);
    }
}

void readTenants(const JsonReader& settings, ControllerConfig& controller, NameTables& names) {
    for (const JsonReader& entry : settings.listOrEmpty(keys::kTenants)) {
        const int index = static_cast<int>(controller.tenants.size());
        names.tenants.emplace(readName(entry, keys::kTenantName), index);
        controller.tenants.push_back({entry.valueOr(keys::kTenantQuotaPerSecond, 0.0)});
    }
}

void readValueOfRequests(const JsonReader& settings, ControllerConfig& controller) {
    const JsonReader goal = settings.objectOrEmpty(keys::kGoal);
    controller.overQuotaValueFraction = settings.valueOr(keys::kOverQuotaValueFraction, 1.0);
    controller.valueCountsWork =
        settings.valueOr<std::string>(keys::kValueUnit, keys::kValueByRequest) == keys::kValueByWork;
    controller.goalTotalValue = goal.valueOr(keys::kGoalTotalValue, 1.0);
    controller.goalWorstClass = goal.valueOr(keys::kGoalWorstClass, 0.0);
}

void readInstance(const JsonReader& instance, ControllerConfig& controller) {
    controller.cores = instance.valueOr(keys::kCores, 1);
    controller.startsCold = instance.valueOr(keys::kStartsCold, false);
    controller.memoryLimitKb = instance.valueOr(keys::kMemoryLimitKb, 0.0);
    controller.idempotencyKeyKb = instance.valueOr(keys::kIdempotencyKeyKb, 0.0);
    controller.runMemoryFactor = instance.valueOr(keys::kRunMemoryFactor, 1.0);
    controller.runCancellation =
        instance.choiceOr(keys::kRunCancellation, runCancellationValues(), RunCancellation::Unsupported);
    controller.loadSignal = instance.choiceOr(keys::kLoadSignal, loadSignalValues(), LoadSignal::None);
    controller.dependency =
        instance.choiceOr(keys::kDependencyKind, dependencyKindValues(), DependencyKind::None);
    controller.dependencyQuota = instance.valueOr(keys::kDependencyQuota, 0.0);
    controller.dependencyQuotaWindow = instance.microsecondsOr(keys::kDependencyQuotaWindowUs, 0ns);
    controller.abandonedCallTime = instance.microsecondsOr(keys::kAbandonedCallTimeUs, 0ns);
    controller.maxConnectionIdle = instance.microsecondsOr(keys::kMaxConnectionIdleUs, 0ns);
    controller.clientCount = instance.valueOr(keys::kClientCount, 0);
}

void readObligations(const JsonReader& obligations, ControllerConfig& controller) {
    controller.coldCapacityFraction = obligations.valueOr(keys::kColdCapacityFraction, 1.0);
    controller.warmUpTime = obligations.microsecondsOr(keys::kWarmUpTimeUs, 0ns);
    controller.drainGrace = obligations.microsecondsOr(keys::kDrainGraceUs, 0ns);
    controller.overloadFactor = obligations.valueOr(keys::kOverloadFactor, 1.0);
    controller.overloadWindow = obligations.microsecondsOr(keys::kOverloadWindowUs, 0ns);
}

void readPermissions(const JsonReader& permissions, ControllerConfig& controller) {
    controller.retryAfterAllowed = permissions.valueOr(keys::kRetryAfterAllowed, false);
    controller.maxRetryAfter = permissions.microsecondsOr(keys::kMaxRetryAfterUs, 0ns);
}

}  // namespace

ControllerConfig readControllerConfig(const nlohmann::json& settings, std::uint64_t seed, NameTables& names) {
    const JsonReader reader(settings, keys::kSettings);
    ControllerConfig controller;
    controller.seed = seed;
    readRequestClasses(reader, controller, names);
    readTenants(reader, controller, names);
    if (controller.requestClasses.empty())
        throw ConfigError(reader.pathOf(keys::kRequestClasses), "at least one class");
    readValueOfRequests(reader, controller);
    controller.peerCount = reader.valueOr(keys::kPeerCount, 1);
    readInstance(reader.objectOrEmpty(keys::kInstance), controller);
    readObligations(reader.objectOrEmpty(keys::kObligations), controller);
    readPermissions(reader.objectOrEmpty(keys::kPermissions), controller);
    return controller;
}

}  // namespace cottonwing::config
