/// @file
/// Circuit breaker: stops work that fails persistently and probes for recovery.
#pragma once

#include <array>
#include <cstddef>

#include "overload/types.h"

namespace cottonwing::overload {

/// Opens after five consecutive failures, or when at least half of the last 20 outcomes failed. After its
/// open time it is half-open: one probe at a time is allowed; three successful probes close it, a failed one
/// opens it again. One breaker protects the dependency, a second one the server's own runs.
class CircuitBreaker {
public:
    enum class State { Closed, Open, HalfOpen };

    /// What recording an outcome changed.
    enum class Transition { None, Opened, Reopened, Closed };

    static constexpr int kSuccessfulProbesToClose = 3;
    static constexpr std::size_t kWindowSize = 20;

    State state() const { return state_; }
    bool isOpen() const { return state_ == State::Open; }

    /// @return when the open time ends; meaningful while open.
    Timestamp openUntil() const { return openUntil_; }

    /// Records one outcome.
    /// @param openTime how long the breaker stays open if this outcome opens it.
    Transition record(bool succeeded, Timestamp now, Duration openTime);

    /// Becomes half-open when the open time is over.
    /// @return whether the state changed.
    bool halfOpenWhenDue(Timestamp now);

    /// @return whether a probe is in flight; others wait for its result.
    bool probeInFlight() const { return probeInFlight_; }
    void probeStarted() { probeInFlight_ = true; }
    void probeEnded() { probeInFlight_ = false; }

    int consecutiveFailures() const { return consecutiveFailures_; }
    int successfulProbes() const { return successfulProbes_; }
    /// @return failures among the last 20 outcomes; 0 until there are 20.
    int windowFailures() const { return windowFailures_; }

private:
    void open(Timestamp until);
    Transition recordProbe(bool succeeded, Timestamp openUntil);
    void recordInWindow(bool failed);

    State state_ = State::Closed;
    Timestamp openUntil_{0};
    bool probeInFlight_ = false;
    int consecutiveFailures_ = 0;
    int successfulProbes_ = 0;
    std::array<bool, kWindowSize> failedInWindow_{};
    std::size_t recordedOutcomes_ = 0;
    int windowFailures_ = 0;
};

/// Jitters an open time by up to a fifth in either direction, so that servers whose breakers opened together
/// do not probe together.
/// @param random from 0 to under 1.
Duration jitteredOpenTime(Duration openTime, double random);

}  // namespace cottonwing::overload
