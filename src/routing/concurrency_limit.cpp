#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::routing {

namespace {
double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }
}  // namespace

// Single answers of one server differ by factors; their mean over some tens of them hardly does.
void Limit::good(Duration took, int inFlight, Duration now) {
    if (skip_ > 0) {  // sent before the look at the floor began
        --skip_;
        return;
    }
    const double sample = std::max(1e-6, seconds(took));
    seen_ = std::min(seen_ + 1, kMean);
    recent_ += (sample - recent_) / seen_;
    if (seen_ < kMean) {
        // Nothing is known yet: a server that answers is asked for more, by one for each limit's worth.
        if (floor_ == 0 && 2 * inFlight >= static_cast<int>(limit_)) grow();
        return;
    }
    if (looking_) {
        floor_ = floor_ == 0 ? recent_ : (floor_ + recent_) / 2;
        looking_ = false;
        limit_ = settled_;
        nextLook_ = now + terms_.looksEvery;
        return;
    }
    // A floor taken from what is seen under load would rise with the crowd that it is to tell of.
    if (floor_ == 0 || now >= nextLook_) return look(inFlight);
    if (recent_ > terms_.crowded * floor_) return fall(now);
    // Only a limit that is used tells that more could be borne.
    if (recent_ < terms_.easy * floor_ && 2 * inFlight >= static_cast<int>(limit_)) grow();
}

void Limit::grow() { limit_ = std::min(terms_.most, limit_ + 1 / std::max(1.0, limit_)); }

void Limit::look(int inFlight) {
    looking_ = true;
    settled_ = limit_;
    limit_ = std::max(1.0, limit_ / 2);
    skip_ = inFlight;
    seen_ = 0;
    recent_ = 0;
}

void Limit::failed(Duration now) { fall(now); }

// Once for all answers that were out together.
void Limit::fall(Duration now) {
    const double round = std::max(recent_, 0.01);
    if (lastFall_ > Duration(0) && seconds(now - lastFall_) < round) return;
    lastFall_ = now;
    limit_ = std::max(1.0, limit_ * terms_.falls);
    settled_ = std::max(1.0, settled_ * terms_.falls);
}

void Limit::startAgain() {
    limit_ = std::min({terms_.first, terms_.most, std::max(1.0, limit_)});
    recent_ = floor_ = 0;
    seen_ = skip_ = 0;
    looking_ = false;
    lastFall_ = Duration(0);
}

}  // namespace cottonwing::routing
