#include "overload/graceful_shutdown.h"

#include <algorithm>
#include <chrono>

namespace cottonwing::overload {

namespace {

constexpr Duration kAnswerMargin = std::chrono::milliseconds(30);
constexpr Duration kShutdownAnswerMargin = std::chrono::milliseconds(150);

}  // namespace

bool GracefulShutdown::begin(Timestamp now, const std::optional<Timestamp>& processEndsAt) {
    if (draining() || !processEndsAt) return false;
    noticeAt_ = now;
    processEndsAt_ = processEndsAt;
    return true;
}

bool GracefulShutdown::rejectsArrival(Timestamp fullyReceivedBy) const {
    return draining() && fullyReceivedBy > noticeAt_ + drainGrace_;
}

Timestamp GracefulShutdown::answerBy(Timestamp deadline) const {
    const Timestamp latest = deadline - kAnswerMargin;
    return processEndsAt_ ? std::min(latest, *processEndsAt_ - kShutdownAnswerMargin) : latest;
}

}  // namespace cottonwing::overload
