/// @file
/// The messages of the worker pool protocol: one JSON object per line in each direction. Pure functions,
/// without I/O. The names used on the wire are defined in protocol.cpp.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "overload/types.h"
#include "worker_pool/base64.h"

namespace cottonwing::worker_pool {

// ---- Messages from the worker pool.

/// The pool accepted the connection. Sent on every connection.
struct ConnectionAccepted {
    bool cold = false;   ///< Whether the pool needs to warm up.
    Duration uptime{0};  ///< Time since the pool started.
};

/// How a run ended, as reported by the pool.
enum class RunEnd {
    Completed,
    Cancelled,
    NothingRan,  ///< The pool runs nothing for the request and did not start it.
    Failed
};

/// A run ended.
struct RunFinished {
    std::string job;  ///< External id of the request.
    RunEnd end = RunEnd::Failed;
    Duration elapsed{0};
    std::string result;
};

/// A run waits for its dependency call.
struct RunBlocked {
    std::string job;       ///< External id of the request.
    std::string callBody;  ///< Body of the call.
};

/// The answer to a poll.
struct PollAnswered {
    std::string reference;       ///< Copied from the poll.
    std::vector<double> gauges;  ///< In the configured order; NaN if the value is unknown.
};

/// The answer to a verify message, which checks that the pool can do work.
struct WorkVerified {
    std::string reference;  ///< Copied from the verify message.
    bool succeeded = false;
};

/// The pool rejected a message, because it does not know the request.
struct MessageRejected {
    std::string job;          ///< External id of the request.
    std::string messageType;  ///< Type of the rejected message, as on the wire.
    bool isStart = false;     ///< Whether the rejected message was to start a run.
};

/// A message that requires no action.
struct InformationalMessage {};

/// One message from the worker pool.
struct PoolMessage {
    /// Position among the pool's numbered messages, from 1; 0 for types that are not numbered.
    std::uint64_t sequenceNumber = 0;
    std::variant<InformationalMessage, ConnectionAccepted, RunFinished, RunBlocked, PollAnswered,
                 WorkVerified, MessageRejected>
        content;
};

/// @param line without its end of line.
/// @return the message; nullopt if the line is malformed or of an unknown type.
std::optional<PoolMessage> parsePoolMessage(std::string_view line);

/// @return the outcome of a run that ended this way.
Outcome outcomeOf(RunEnd end);

/// @param names of the gauges, in the order in which the pool reports them; unknown names are skipped.
/// @param values as reported; non-finite values are treated as absent.
Gauges gaugesOf(const std::vector<std::string>& names, const std::vector<double>& values);

// ---- Messages to the worker pool, each a complete line.

/// The first message on a connection.
/// @param lastSequenceNumber of the last numbered message that was read; the pool repeats all later ones. 0:
/// none.
std::string bindLine(std::uint64_t lastSequenceNumber);
/// Starts a run; no effect if it is in progress.
std::string startLine(std::string_view job, std::string_view requestClass, std::string_view body);
std::string cancelLine(std::string_view job);
/// Lets a blocked run continue with the reply to its dependency call.
std::string supplyLine(std::string_view job, std::string_view reply);
/// Lets a blocked run continue without its dependency call.
std::string skipDependencyCallLine(std::string_view job);
/// @param reference is copied into the answer.
std::string pollLine(std::string_view reference);
/// @param reference is copied into the answer.
std::string verifyLine(std::string_view reference);

}  // namespace cottonwing::worker_pool
