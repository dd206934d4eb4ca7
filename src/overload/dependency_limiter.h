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
///   is overloaded, as more calls would not make a slow dependency faster, and grows otherwise.
/// - Calls beyond it are paid for with quota that was left unused: a single call where the limit is below
///   one, and up to twice the limit while the dependency is not overloaded.
///
/// An abandoned call counts for as long as the dependency may keep working on it. Other kinds of dependency
/// are not limited.
class DependencyLimiter {
public:
    struct Config {
        DependencyKind kind = DependencyKind::None;
        double quota = 0;               ///< Mean number of calls in progress.
        Duration abandonedCallTime{0};  ///< How long the dependency works on an abandoned call.
    };

    explicit DependencyLimiter(const Config& config);

    void callStarted() { ++inFlight_; }
    /// @param mayStillRun whether the dependency may keep working on the call.
    void callEnded(bool mayStillRun, Timestamp now);
    void removeExpiredAbandonedCalls(Timestamp now);

    /// Deducts a random part of a timed-out call's duration from the unused quota. All servers observe a slow
    /// dependency at the same time; the random deduction keeps them from sending their next calls in
    /// lockstep.
    /// @param random from 0 to under 1.
    void chargeTimeout(Duration elapsed, double random);

    /// Adapts the concurrency limit, after each call that succeeded or timed out. After a reduction it stays
    /// unchanged until calls sent under the reduced limit can have ended.
    void adapt(const CallTimeModel& callTimes, Timestamp now);

    /// Adds the quota left unused during the elapsed time, or pays back borrowed quota.
    void accrueUnusedQuota(double elapsedSeconds);

    /// @return whether one more call may be sent.
    bool hasCapacity(bool dependencyOverloaded) const;

    /// @return interval between calls that the limit allows, in seconds; 0: not limited.
    /// @param callSeconds current duration of a call.
    double secondsBetweenCalls(double callSeconds) const;

    bool hasUnusedQuota() const { return unusedQuota_ > 0; }

    /// @return number of calls in flight.
    int inFlight() const { return inFlight_; }

    double concurrencyLimit() const { return concurrencyLimit_; }

private:
    /// @return number of calls in progress at the dependency, including abandoned ones.
    double inProgress() const;
    /// @return unused quota accrued per second, which is also the most that is kept.
    double quotaAccrual() const;

    Config config_;
    int inFlight_ = 0;
    std::multiset<Timestamp> abandonedUntil_;
    double concurrencyLimit_;
    Timestamp nextAdaptation_{0};
    double unusedQuota_ = 0;  ///< In call-seconds; negative: borrowed.
};

}  // namespace cottonwing::overload
