#include "overload/circuit_breaker.h"

#include <algorithm>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

constexpr int kConsecutiveFailuresToOpen = 5;
constexpr double kMinOpenTimeFactor = 0.8;
constexpr double kOpenTimeFactorRange = 0.4;

}  // namespace

CircuitBreaker::Transition CircuitBreaker::record(bool succeeded, Timestamp now, Duration openTime) {
    if (state_ == State::Open) return Transition::None;
    if (state_ == State::HalfOpen) return recordProbe(succeeded, now + openTime);
    recordInWindow(!succeeded);
    consecutiveFailures_ = succeeded ? 0 : consecutiveFailures_ + 1;
    const bool halfFailed = windowFailures_ * 2 >= static_cast<int>(kWindowSize);
    if (consecutiveFailures_ < kConsecutiveFailuresToOpen && !halfFailed) return Transition::None;
    open(now + openTime);
    return Transition::Opened;
}

CircuitBreaker::Transition CircuitBreaker::recordProbe(bool succeeded, Timestamp openUntil) {
    if (!succeeded) {
        open(openUntil);
        return Transition::Reopened;
    }
    ++successfulProbes_;
    if (successfulProbes_ < kSuccessfulProbesToClose) return Transition::None;
    *this = CircuitBreaker();
    return Transition::Closed;
}

void CircuitBreaker::recordInWindow(bool failed) {
    failedInWindow_[recordedOutcomes_ % kWindowSize] = failed;
    ++recordedOutcomes_;
    if (recordedOutcomes_ < kWindowSize) return;
    windowFailures_ = static_cast<int>(std::count(failedInWindow_.begin(), failedInWindow_.end(), true));
}

bool CircuitBreaker::halfOpenWhenDue(Timestamp now) {
    if (state_ != State::Open || now < openUntil_) return false;
    state_ = State::HalfOpen;
    successfulProbes_ = 0;
    probeInFlight_ = false;
    return true;
}

void CircuitBreaker::open(Timestamp until) {
    state_ = State::Open;
    openUntil_ = until;
    probeInFlight_ = false;
}

Duration jitteredOpenTime(Duration openTime, double random) {
    return fromSeconds(toSeconds(openTime) * (kMinOpenTimeFactor + kOpenTimeFactorRange * random));
}

}  // namespace cottonwing::overload
