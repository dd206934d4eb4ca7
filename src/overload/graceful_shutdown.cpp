#include "overload/graceful_shutdown.h"

#include <algorithm>
#include <chrono>

namespace cottonwing::overload {

namespace {

constexpr Duration kAnswerMargin = std::chrono::milliseconds(30);
constexpr Duration kShutdownAnswerMargin = std::chrono::milliseconds(150);

}  // namespace

bool GracefulShutdown::begin(Timestamp now, const std::optional<Timestamp>& endsAt) {
    if (draining() || !endsAt) return false;
    noticeAt_ = now;
    endsAt_ = endsAt;
    return true;
}

bool GracefulShutdown::refuses(Timestamp arrivedAt) const {
    return draining() && arrivedAt > noticeAt_ + drainGrace_;
}

Timestamp GracefulShutdown::answerBy(Timestamp deadline) const {
    const Timestamp latest = deadline - kAnswerMargin;
    return endsAt_ ? std::min(latest, *endsAt_ - kShutdownAnswerMargin) : latest;
}

}  // namespace cottonwing::overload
