/// @file
/// All names of the simulator's wire format, each mapped to the term that the code uses. The simulator
/// defines these names; they cannot be changed here.
#pragma once

#include <cstddef>

namespace cottonwing::simulator::wire {

inline constexpr char kAbsent[] = "-";

// Lines that delimit a batch and its reply.
inline constexpr char kBatchBegin[] = "CLOCK";
inline constexpr char kBatchEnd[] = "YOUR_TURN";
inline constexpr char kReplyEnd[] = "READY";

// Events.
inline constexpr char kInstanceStarted[] = "HELLO";
inline constexpr char kInstanceStopped[] = "RETIRE";
inline constexpr char kRequestArrived[] = "INBOUND";
inline constexpr char kClientCancelled[] = "GONE";
inline constexpr char kWaitingForDependency[] = "BLOCKED";
inline constexpr char kDependencyCallCompleted[] = "CALL_RESULT";
inline constexpr char kRunCompleted[] = "ENDED";
inline constexpr char kTick[] = "BELL";
inline constexpr char kShutdownNotice[] = "LAME_DUCK";

// Decisions.
inline constexpr char kStartRun[] = "START";
inline constexpr char kReject[] = "DENY";
inline constexpr char kFail[] = "FAIL";
inline constexpr char kCancelRun[] = "SUSPEND";
inline constexpr char kCallDependency[] = "REACH_OUT";
inline constexpr char kSkipDependencyCall[] = "GO_ON";
inline constexpr char kRetainKey[] = "RETAIN";
inline constexpr char kReleaseKey[] = "DROP_KEY";
inline constexpr char kJoinDuplicate[] = "ECHO";
inline constexpr char kSetHealth[] = "REPORT_HEALTH";
inline constexpr char kAdvertiseLoadShare[] = "ANNOUNCE";
inline constexpr char kCloseIdleConnections[] = "IDLE";
inline constexpr char kScheduleTick[] = "SET_ALARM";
inline constexpr char kLog[] = "DEBUG";
inline constexpr char kBug[] = "BUG";
inline constexpr char kTickTag[] = "wake";  // arbitrary; the simulator returns it with the tick

// Outcomes of runs and dependency calls.
inline constexpr char kOutcomeOk[] = "ok";
inline constexpr char kOutcomeError[] = "error";
inline constexpr char kOutcomeResourceExhausted[] = "full";
inline constexpr char kOutcomeTimedOut[] = "timeout";
inline constexpr char kOutcomeConnectionLost[] = "reset";
inline constexpr char kOutcomeUnreachable[] = "connect_failed";
inline constexpr char kOutcomeSuperseded[] = "moot";
inline constexpr char kOutcomeCancelled[] = "cancelled";

// Gauges of a tick; others are ignored.
inline constexpr char kCoreUtilization[] = "core_use";
inline constexpr char kCoreDemand[] = "on_cores";
inline constexpr char kMemoryUtilization[] = "heap_share";
inline constexpr char kOpenConnections[] = "links";

/// One field of an event: its position in the line, where the message name has position 0, and its name.
struct Field {
    std::size_t position;
    const char* name;
};

// Pseudo-fields for errors that concern a whole line.
inline constexpr char kFieldCount[] = "count";
inline constexpr char kMessageName[] = "name";

// Start of a batch.
inline constexpr Field kClockUs = {1, "clock"};

// All events.
inline constexpr Field kInstance = {1, "i"};
inline constexpr Field kRequestId = {2, "req"};

// An instance started.
inline constexpr Field kSeed = {2, "rng_seed"};
inline constexpr Field kSettings = {3, "settings"};  // extends to the end of the line

// A request arrived.
inline constexpr Field kRequestClass = {3, "service"};
inline constexpr Field kTenant = {4, "realm"};
inline constexpr Field kRoutingKey = {5, "object"};
inline constexpr Field kDeadlineUs = {6, "give_up_at_us"};
inline constexpr Field kExpectedWorkUs = {7, "work_us"};
inline constexpr Field kMemoryKb = {8, "held_kb"};
inline constexpr Field kRank = {9, "precedence"};
inline constexpr Field kFlags = {10, "bitmap"};
inline constexpr Field kClient = {11, "author"};
inline constexpr Field kQueuedBeforeReadUs = {12, "backlog_time_us"};
inline constexpr Field kDuplicateOf = {13, "repeats"};
inline constexpr std::size_t kRequestFields = 13;
inline constexpr unsigned kFlagExpectedWorkKnown = 1U;
inline constexpr unsigned kFlagRetry = 2U;
inline constexpr char kNoTenant[] = "0";

// A run or a dependency call completed.
inline constexpr Field kOutcome = {3, "status"};
inline constexpr Field kElapsedUs = {4, "lag_us"};
inline constexpr std::size_t kCompletionFields = 4;

// Other events.
inline constexpr Field kGauges = {3, "health_info"};
inline constexpr std::size_t kTickFields = 3;
inline constexpr Field kShutdownAtUs = {2, "give_up_at_us"};
inline constexpr std::size_t kShutdownFields = 2;
inline constexpr std::size_t kRequestNoticeFields = 2;  // of events that carry only a request id
inline constexpr std::size_t kInstanceStoppedFields = 1;
inline constexpr std::size_t kBatchBeginFields = 1;

}  // namespace cottonwing::simulator::wire
