/// @file
/// Collects the observations of a soak run and a timeline that can be printed for one request.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "soak/observations.h"

namespace cottonwing::soak {

/// Records observations while a run is in progress. Attempts are indexed by their id.
class Recorder {
public:
    Observations observations;

    /// Adds an attempt; its id must be unique.
    Attempt& add(Attempt attempt);
    Attempt* find(const std::string& id);
    /// @return whether the attempt is answered, cancelled or disconnected, so that no client awaits it.
    bool isNoLongerAwaited(const std::string& id);
    /// @return the current incarnation of the server.
    Incarnation& current() { return observations.incarnations.back(); }
    std::size_t currentIndex() const { return observations.incarnations.size() - 1; }

    /// Adds a line to the timeline.
    /// @param attempt id of the attempt concerned; empty if the line concerns the process
    void log(const std::string& source, const std::string& what, const std::string& attempt = "");
    /// @return the lines of one attempt and of the process, oldest first.
    std::string timelineOf(const std::string& attempt) const;

private:
    struct Line {
        Duration at{0};
        std::string source, what, attempt;
    };
    std::unordered_map<std::string, std::size_t> indexById_;  // positions of attempts, by id
    std::vector<Line> lines_;
};

}  // namespace cottonwing::soak
