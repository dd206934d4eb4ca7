/// @file
/// The interface to what runs requests: a worker pool or upstream servers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "overload/types.h"
#include "request/payload_format.h"

namespace cottonwing::request {

/// What a run is started with. Refers to storage of the caller and is valid during Executor::start only.
struct RunSpec {
    const std::string& externalId;  ///< The request's id in the form in which the client sent it.
    int requestClass;               ///< Index into ControllerConfig::requestClasses.
    std::string_view body;
    PayloadFormat format;
    std::uint64_t routingKey;  ///< Names what the request is about, for executors that route by it.
    Timestamp deadline;        ///< When the client stops waiting.
};

/// Runs requests. Reports back through RequestManager, possibly from within start. Runs are addressed by the
/// external id of their request.
class Executor {
public:
    virtual ~Executor() = default;

    /// Starts a run. Starting one that is in progress has no effect.
    /// @param run valid during the call only.
    virtual void start(const RunSpec& run) = 0;

    /// Stops a run that nobody waits for any more. Its end is reported all the same.
    /// @param externalId of the request.
    virtual void cancel(const std::string& externalId) = 0;

    /// Lets a run that waits for its dependency call continue with the reply.
    /// @param externalId of the request.
    /// @param reply body of the dependency's reply; valid during the call only.
    virtual void supplyReply(const std::string& externalId, std::string_view reply) = 0;

    /// Lets a run that waits for its dependency call continue without it (degraded response).
    /// @param externalId of the request.
    virtual void skipDependencyCall(const std::string& externalId) = 0;

    /// Requests fresh measurements; they arrive through RequestManager::updateGauges.
    virtual void requestGauges() = 0;

    /// Checks end to end that work gets done, by doing a little of it.
    /// @param onVerified receives the result, or nothing when none came in time.
    virtual void verifyWork(std::function<void(std::optional<bool>)> onVerified) = 0;
};

}  // namespace cottonwing::request
