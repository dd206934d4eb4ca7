#include "soak/recorder.h"

#include <cstdio>
#include <utility>

#include "net/clock.h"

namespace cottonwing::soak {

Attempt& Recorder::add(Attempt attempt) {
    indexById_[attempt.id] = observations.attempts.size();
    observations.attempts.push_back(std::move(attempt));
    return observations.attempts.back();
}

Attempt* Recorder::find(const std::string& id) {
    const auto found = indexById_.find(id);
    return found == indexById_.end() ? nullptr : &observations.attempts[found->second];
}

bool Recorder::isNoLongerAwaited(const std::string& id) {
    const Attempt* const attempt = find(id);
    return attempt == nullptr || !attempt->responses.empty() || attempt->cancelledAt ||
           attempt->connection != ConnectionOutcome::Open;
}

void Recorder::log(const std::string& source, const std::string& what, const std::string& attempt) {
    lines_.push_back({net::unixNow(), source, what, attempt});
}

std::string Recorder::timelineOf(const std::string& attempt) const {
    std::string text;
    for (const Line& line : lines_) {
        if (!line.attempt.empty() && line.attempt != attempt) continue;
        char at[32];
        std::snprintf(at, sizeof at, "  %12.3f ms  ",
                      static_cast<double>((line.at - lines_.front().at).count()) / 1e6);
        text += at + line.source + ": " + line.what + "\n";
    }
    return text;
}

}  // namespace cottonwing::soak
