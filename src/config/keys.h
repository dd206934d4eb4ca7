/// @file
/// All names of the configuration format, each mapped once to the term used in the code: environment
/// variables, keys of the JSON file, and keys and values of its `settings` object. The platform defines these
/// names, so they cannot be changed here.
#pragma once

namespace cottonwing::config::keys {

// Environment variables.
inline constexpr char kNameVariable[] = "GW_NAME";
inline constexpr char kListenVariable[] = "GW_LISTEN";
inline constexpr char kFileVariable[] = "GW_CONFIG";
inline constexpr char kLogLevelVariable[] = "GW_LOG";

// The file.
inline constexpr char kName[] = "name";
inline constexpr char kListen[] = "listen";
inline constexpr char kWorkerPool[] = "pool";
inline constexpr char kRegistry[] = "registry";
inline constexpr char kDependencyAddress[] = "records";
inline constexpr char kShutdownTimeoutMs[] = "stop_ms";
inline constexpr char kLimits[] = "limits";
inline constexpr char kSettings[] = "settings";
inline constexpr char kSeed[] = "seed";

// `limits`: the resource limits that the operating system sets for the process.
inline constexpr char kLimitCores[] = "cores";
inline constexpr char kLimitMemoryMb[] = "memory_mb";
inline constexpr char kLimitSockets[] = "sockets";

// `settings`.
inline constexpr char kRequestClasses[] = "classes";
inline constexpr char kTenants[] = "tenants";
inline constexpr char kInstance[] = "family_info";
inline constexpr char kPermissions[] = "permissions";
inline constexpr char kObligations[] = "obligations";
inline constexpr char kGoal[] = "goal";
inline constexpr char kPeerCount[] = "peers_total";
inline constexpr char kOverQuotaValueFraction[] = "over_share_worth";
inline constexpr char kValueUnit[] = "value_by";

// `settings.classes[]`; times in microseconds.
inline constexpr char kRequestClassName[] = "name";
inline constexpr char kIdempotency[] = "repeat";
inline constexpr char kLatencyObjectiveUs[] = "aim_us";
inline constexpr char kTimeoutUs[] = "deadline_us";
inline constexpr char kLatencyObjectiveWorkFactor[] = "aim_stretch";
inline constexpr char kIdempotencyWindowUs[] = "window_us";
inline constexpr char kPriorityWeight[] = "worth";
inline constexpr char kLateValueFraction[] = "late_value";

// `settings.tenants[]`.
inline constexpr char kTenantName[] = "name";
inline constexpr char kTenantQuotaPerSecond[] = "quota_per_s";

// `settings.family_info`: the instance and its site.
inline constexpr char kDegradedValueFractions[] = "degraded_worth";  // one for each class
inline constexpr char kClassesCallDependency[] = "class_calls";      // one for each class
inline constexpr char kCores[] = "cores";
inline constexpr char kStartsCold[] = "cold";
inline constexpr char kMemoryLimitKb[] = "heap_kb";
inline constexpr char kIdempotencyKeyKb[] = "key_kb";
inline constexpr char kRunMemoryFactor[] = "run_factor";
inline constexpr char kRunCancellation[] = "halt";
inline constexpr char kLoadSignal[] = "signal";
inline constexpr char kDependencyKind[] = "below";
inline constexpr char kDependencyQuota[] = "dep_share";
inline constexpr char kDependencyQuotaWindowUs[] = "calls_over_us";
inline constexpr char kAbandonedCallTimeUs[] = "linger_us";
inline constexpr char kMaxConnectionIdleUs[] = "idle_us";
inline constexpr char kClientCount[] = "senders";
inline constexpr char kGaugeNames[] = "own_stats";
inline constexpr char kDeregisterWhenUnhealthy[] = "readiness";
inline constexpr char kClientsSendTimeout[] = "passes_deadline";

// `settings.obligations`.
inline constexpr char kColdCapacityFraction[] = "start_capacity";
inline constexpr char kWarmUpTimeUs[] = "ramp_time_us";
inline constexpr char kDrainGraceUs[] = "drain_grace_us";
inline constexpr char kOverloadFactor[] = "fall_multiple";
inline constexpr char kOverloadWindowUs[] = "overload_for_us";

// `settings.permissions`.
inline constexpr char kRetryAfterAllowed[] = "retry_after";
inline constexpr char kMaxRetryAfterUs[] = "max_retry_after_us";

// `settings.goal`: how the parts of the result are weighted.
inline constexpr char kGoalTotalValue[] = "whole";
inline constexpr char kGoalWorstClass[] = "worst_class";

// Enumeration values.
inline constexpr char kIdempotent[] = "free";
inline constexpr char kIdempotentWithKey[] = "guarded";
inline constexpr char kNotIdempotent[] = "single_shot";
inline constexpr char kOff[] = "off";
inline constexpr char kCancellationAborts[] = "abort";
inline constexpr char kCancellationSuspends[] = "suspend";
inline constexpr char kSignalThreshold[] = "threshold";
inline constexpr char kSignalWindow[] = "window";
inline constexpr char kSignalShare[] = "share_of";
inline constexpr char kDependencyShared[] = "shared";
inline constexpr char kDependencyTier[] = "tier";
inline constexpr char kValueByRequest[] = "request";
inline constexpr char kValueByWork[] = "work";

}  // namespace cottonwing::config::keys
