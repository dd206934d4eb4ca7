/// @file
/// Buffers the decisions of one OverloadController::decide call. They are carried out in order after the
/// controller has returned, because carrying one out may report further events.
#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "overload/decision_sink.h"
#include "overload/types.h"
#include "telemetry/log.h"

namespace cottonwing::request {

/// Starts the run of a queued request.
struct StartRun {
    RequestId id;
};

/// Sheds a request that never ran.
struct RejectRequest {
    RequestId id;
    Pushback pushback;
};

/// Fails a request that ran, or may have run, and has no result.
struct FailRequest {
    RequestId id;
};

/// Cancels a run whose result no client waits for.
struct CancelRun {
    RequestId id;
};

/// Sends the dependency call that a run waits for.
struct CallDependency {
    RequestId id;
    Duration timeout;  ///< Of this attempt.
};

/// Lets a run continue without its dependency call.
struct SkipDependencyCall {
    RequestId id;
};

/// Answers a duplicate with the result of the attempt that holds its idempotency key.
struct JoinDuplicate {
    RequestId id;
};

/// Sets the health that health checks report.
struct SetHealth {
    bool healthy;
};

/// Advertises the fraction of its usual traffic that this server can accept.
struct AdvertiseLoadShare {
    double share;  ///< From 0 to 1.
};

/// Sets the idle timeout of client connections.
struct SetIdleTimeout {
    Duration idleTimeout;
};

/// Schedules the next control tick, which delivers current gauges to the controller.
struct ScheduleTick {
    Duration delay;
};

/// One decision of the controller.
using Decision =
    std::variant<StartRun, RejectRequest, FailRequest, CancelRun, CallDependency, SkipDependencyCall,
                 JoinDuplicate, SetHealth, AdvertiseLoadShare, SetIdleTimeout, ScheduleTick>;

/// Buffers decisions in the order in which they are made. Log messages of the controller are written
/// immediately.
class DecisionQueue : public DecisionSink {
public:
    /// @param log receives the controller's messages; must outlive the queue.
    explicit DecisionQueue(telemetry::Log& log) : log_(log) {}

    /// @return the decisions since the last clear(), in order.
    const std::vector<Decision>& decisions() const { return decisions_; }
    /// Clears the queue but keeps its capacity for the next batch.
    void clear() { decisions_.clear(); }

    void startRun(RequestId id) override;
    void reject(RequestId id, const Pushback& pushback) override;
    void fail(RequestId id) override;
    void cancelRun(RequestId id) override;
    void callDependency(RequestId id, Duration timeout) override;
    void skipDependencyCall(RequestId id) override;
    /// Logs an error, because the controller should not make this decision: the server stores idempotency
    /// keys itself, outside the memory that the controller accounts for requests.
    void retainKey(RequestId id, Duration lifetime) override;
    /// Logs an error, as retainKey does.
    void releaseKey(RequestId id) override;
    void joinDuplicate(RequestId id) override;
    void setHealth(bool healthy) override;
    void advertiseLoadShare(double share) override;
    void setIdleTimeout(Duration idleTimeout) override;
    void scheduleTick(Duration delay) override;
    void log(std::string_view message) override;

private:
    telemetry::Log& log_;
    std::vector<Decision> decisions_;  // cleared once they have been carried out
};

}  // namespace cottonwing::request
