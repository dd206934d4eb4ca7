/// @file
/// Keeps the calls of this server to a shared dependency within its quota.
#pragma once

#include <set>

#include "overload/call_time_model.h"
#include "overload/types.h"

namespace cottonwing::overload {

/// Limits the calls in progress at a shared dependency. The quota bounds their mean over a window, so:
///
/// - A concurrency limit between 0.4 and 0.8 of the quota may always be used. It shrinks while the dependency
///   is overloaded, as a slow dependency gets no faster by more calls, and grows otherwise.
/// - Beyond it calls are paid from the quota that was left unused: a single call where the limit is
///   below one, and up to twice the limit while the dependency is not overloaded.
///
/// A call that was abandoned counts for as long as the dependency may go on working on it. Other kinds of
/// dependency are not limited.
class DependencyLimiter {
public:
    struct Config {
        DependencyKind kind = DependencyKind::None;
        double quota = 0;               ///< Mean number of calls in progress.
        Duration abandonedCallTime{0};  ///< How long the dependency works on an abandoned call.
    };

    explicit DependencyLimiter(const Config& config);

    void callStarted() { ++inFlight_; }
    /// @param mayStillRun whether the dependency may go on working on the call.
    void callEnded(bool mayStillRun, Timestamp now);
    void removeExpiredAbandonedCalls(Timestamp now);

    /// Takes a random part of a timed-out call's time from the unused quota. All servers meet a slow
    /// dependency at once; those that wait for a random time do not call again in step.
    /// @param random from 0 to under 1.
    void chargeTimeout(Duration elapsed, double random);

    /// Adapts the concurrency limit, after each call that succeeded or timed out. A reduction is followed by
    /// none before the calls sent under the reduced limit can have ended.
    void adapt(const CallTimeModel& callTimes, Timestamp now);

    /// Adds the quota left unused over a time, or pays back what was borrowed.
    void accrueUnusedQuota(double elapsedSeconds);

    /// @return whether one more call may be sent.
    bool hasCapacity(bool dependencyOverloaded) const;

    /// @return seconds between two calls that the limit lets out; 0: not limited.
    /// @param callSeconds what a call takes at present.
    double secondsBetweenCalls(double callSeconds) const;

    bool hasUnusedQuota() const { return unusedQuota_ > 0; }

    /// @return calls sent and not ended.
    int inFlight() const { return inFlight_; }

    double concurrencyLimit() const { return concurrencyLimit_; }

private:
    /// @return calls at the dependency, abandoned ones included.
    double inProgress() const;
    double quotaAccrual() const;

    Config config_;
    int inFlight_ = 0;
    std::multiset<Timestamp> abandonedUntil_;
    double concurrencyLimit_;
    Timestamp nextAdaptation_{0};
    double unusedQuota_ = 0;  ///< In call seconds; negative: borrowed.
};

}  // namespace cottonwing::overload
