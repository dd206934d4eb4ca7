/// @file
/// The interface to the backend that runs requests: a worker pool or upstream servers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "overload/types.h"
#include "request/payload_format.h"

namespace cottonwing::request {

/// The parameters of a run. Refers to storage of the caller and is valid only during Executor::start.
struct RunSpec {
    const std::string& externalId;  ///< The request's id in the form in which the client sent it.
    int requestClass;               ///< Index into ControllerConfig::requestClasses.
    std::string_view body;
    PayloadFormat format;
    std::uint64_t routingKey;  ///< Hash of the request's subject, for executors that route by subject.
    Timestamp deadline;        ///< When the client stops waiting.
};

/// Runs requests and reports to the RequestManager, possibly from within start. A run is identified by the
/// external id of its request.
class Executor {
public:
    virtual ~Executor() = default;

    /// Starts a run. Starting one that is in progress has no effect.
    /// @param run valid during the call only.
    /// @return whether the message was sent; if not, nothing was started.
    virtual bool start(const RunSpec& run) = 0;

    /// Cancels a run whose result no client waits for. The end of the run is still reported.
    /// @param externalId of the request.
    virtual void cancel(const std::string& externalId) = 0;

    /// Lets a run that waits for its dependency call continue with the reply. Must be sent only while the run
    /// certainly waits for this call: a run that has come to its next call takes it for the reply to that
    /// one.
    /// @param externalId of the request.
    /// @param reply body of the dependency's reply; valid during the call only.
    /// @return whether the message was sent; if not, the run has certainly not received it.
    virtual bool supplyReply(const std::string& externalId, std::string_view reply) = 0;

    /// Lets a run that waits for its dependency call continue without it (degraded response). Subject to the
    /// same condition as supplyReply.
    /// @param externalId of the request.
    /// @return whether the message was sent; if not, the run has certainly not received it.
    virtual bool skipDependencyCall(const std::string& externalId) = 0;

    /// Requests confirmation that all reports that the executor has made so far have been delivered. It is
    /// delivered through RequestManager::reportsDelivered; it is lost with the connection.
    /// @param id is passed on with the confirmation.
    virtual void confirmReports(RequestId id) = 0;

    /// Requests current gauges, which are delivered through RequestManager::updateGauges.
    virtual void requestGauges() = 0;

    /// Checks end to end that work can be done, by doing a small piece of test work.
    /// @param onVerified receives the result; nullopt if there was none in time.
    virtual void verifyWork(std::function<void(std::optional<bool>)> onVerified) = 0;
};

}  // namespace cottonwing::request
