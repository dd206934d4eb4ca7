#include "overload/memory_admission.h"

#include <chrono>

namespace cottonwing::overload {

namespace {

constexpr double kArrivalLimitFraction = 0.85;
constexpr double kRunLimitFraction = 0.95;
constexpr Duration kKeyMargin = std::chrono::milliseconds(150);  // shorter stalls are not detected

}  // namespace

void MemoryAdmission::runStarted(double memoryKb) {
    queuedKb_ -= memoryKb;
    runningKb_ += memoryKb;
}

double MemoryAdmission::reservedKb(Timestamp now) {
    while (!keys_.empty() && keys_.begin()->first <= now) keys_.erase(keys_.begin());
    return queuedKb_ + runningKb_ * config_.runMemoryFactor +
           static_cast<double>(keys_.size()) * config_.idempotencyKeyKb;
}

bool MemoryAdmission::admitsArrival(Timestamp now, bool needsKey) {
    const double keyKb = needsKey ? config_.idempotencyKeyKb : 0;
    return reservedKb(now) + keyKb <= kArrivalLimitFraction * config_.limitKb;
}

bool MemoryAdmission::admitsRun(Timestamp now, double memoryKb) {
    const double additionalKb = memoryKb * (config_.runMemoryFactor - 1);
    return reservedKb(now) + additionalKb <= kRunLimitFraction * config_.limitKb;
}

Timestamp MemoryAdmission::retainKey(RequestId id, Duration idempotencyWindow, Timestamp now) {
    const Timestamp expiry = now + idempotencyWindow + kKeyMargin;
    keys_.emplace(expiry, id);
    return expiry;
}

void MemoryAdmission::releaseKey(RequestId id) {
    std::erase_if(keys_, [id](const auto& key) { return key.second == id; });
}

}  // namespace cottonwing::overload
