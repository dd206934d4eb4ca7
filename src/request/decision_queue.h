/// @file
/// Collects the decisions of one OverloadController::decide call, so that they are carried out in order only
/// after the controller has returned: carrying one out may report further events.
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

/// Answers a request that ran, or may have run, without a result.
struct FailRequest {
    RequestId id;
};

/// Stops a run that nobody waits for any more.
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

/// Advertises the share of its usual traffic that the server can take.
struct AdvertiseLoadShare {
    double share;  ///< From 0 to 1.
};

/// Limits how long a client connection may stay unused.
struct SetIdleTimeout {
    Duration idleTimeout;
};

/// Requests the next control tick.
struct ScheduleTick {
    Duration delay;
};

/// One decision of the controller.
using Decision =
    std::variant<StartRun, RejectRequest, FailRequest, CancelRun, CallDependency, SkipDependencyCall,
                 JoinDuplicate, SetHealth, AdvertiseLoadShare, SetIdleTimeout, ScheduleTick>;

/// Records each decision in the order in which it was made. Log messages of the controller are passed on at
/// once.
class DecisionQueue : public DecisionSink {
public:
    /// @param log receives the controller's messages; must outlive the queue.
    explicit DecisionQueue(telemetry::Log& log) : log_(log) {}

    /// @return the decisions since the last clear(), in order.
    const std::vector<Decision>& decisions() const { return decisions_; }
    /// Empties the queue; its storage is kept for the next batch.
    void clear() { decisions_.clear(); }

    void startRun(RequestId id) override;
    void reject(RequestId id, const Pushback& pushback) override;
    void fail(RequestId id) override;
    void cancelRun(RequestId id) override;
    void callDependency(RequestId id, Duration timeout) override;
    void skipDependencyCall(RequestId id) override;
    /// Reported as an error: the server holds idempotency keys in memory of its own, so no key of the
    /// controller's takes memory that is booked for requests.
    void retainKey(RequestId id, Duration lifetime) override;
    /// Reported as an error, as retainKey.
    void releaseKey(RequestId id) override;
    void joinDuplicate(RequestId id) override;
    void setHealth(bool healthy) override;
    void advertiseLoadShare(double share) override;
    void setIdleTimeout(Duration idleTimeout) override;
    void scheduleTick(Duration delay) override;
    void log(std::string_view message) override;

private:
    telemetry::Log& log_;
    std::vector<Decision> decisions_;  // emptied once they are carried out
};

}  // namespace cottonwing::request
