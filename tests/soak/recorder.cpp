#include "soak/recorder.h"

#include <cstdio>
#include <utility>

#include "net/clock.h"

namespace cottonwing::soak {

Attempt& Recorder::add(Attempt attempt) {
    places_[attempt.id] = seen.attempts.size();
    seen.attempts.push_back(std::move(attempt));
    return seen.attempts.back();
}

Attempt* Recorder::find(const std::string& id) {
    const auto found = places_.find(id);
    return found == places_.end() ? nullptr : &seen.attempts[found->second];
}

bool Recorder::isOver(const std::string& id) {
    const Attempt* const attempt = find(id);
    return attempt == nullptr || !attempt->responses.empty() || attempt->cancelledAt ||
           attempt->connection != ConnectionFate::Open;
}

void Recorder::note(const std::string& source, const std::string& what, const std::string& attempt) {
    lines_.push_back({net::unixNow(), source, what, attempt});
}

std::string Recorder::timeLineOf(const std::string& attempt) const {
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
