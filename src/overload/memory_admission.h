/// @file
/// Memory accounting: which requests fit into memory, and how long idempotency keys are retained.
#pragma once

#include <set>
#include <utility>

#include "overload/types.h"

namespace cottonwing::overload {

/// Reserves memory for queued requests, for runs (a multiple of it) and for retained idempotency keys.
/// Arrivals are admitted up to 85% of the limit, runs start up to 95%, so that queued requests can still be
/// run when arrivals no longer fit.
class MemoryAdmission {
public:
    struct Config {
        double limitKb = 0;
        double idempotencyKeyKb = 0;  ///< 0: keys are held elsewhere.
        double runMemoryFactor = 1;   ///< Multiple of a request's memory that its run needs.
    };

    explicit MemoryAdmission(const Config& config) : config_(config) {}

    void requestArrived(double memoryKb) { queuedKb_ += memoryKb; }
    void queuedRequestLeft(double memoryKb) { queuedKb_ -= memoryKb; }
    void runStarted(double memoryKb);
    void runEnded(double memoryKb) { runningKb_ -= memoryKb; }

    /// @return whether a request that has arrived may be kept.
    /// @param needsKey whether an idempotency key must be retained for it.
    bool admitsArrival(Timestamp now, bool needsKey);

    /// @return whether a queued request may start its run.
    bool admitsRun(Timestamp now, double memoryKb);

    /// @return whether keys take memory here, and so must be retained and released.
    bool retainsKeys() const { return config_.idempotencyKeyKb > 0; }

    /// Retains the idempotency key of a request that may run from now on. The key has to outlive the period
    /// in which a duplicate may arrive, even one that a stalled process reads late.
    /// @return when it expires.
    Timestamp retainKey(RequestId id, Duration idempotencyWindow, Timestamp now);
    void releaseKey(RequestId id);

    /// @return reserved memory, in KB.
    double reservedKb(Timestamp now);

private:
    Config config_;
    double queuedKb_ = 0;
    double runningKb_ = 0;                            ///< Without the run memory factor.
    std::set<std::pair<Timestamp, RequestId>> keys_;  ///< Retained keys by their expiry.
};

}  // namespace cottonwing::overload
