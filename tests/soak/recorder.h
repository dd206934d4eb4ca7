/// @file
/// Collects what a soak run sees, with a time line of it that can be printed for one request.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "soak/observations.h"

namespace cottonwing::soak {

/// Observations in the making. Attempts are found by their id.
class Recorder {
public:
    Observations observations;

    /// Adds an attempt; its id has to be new.
    Attempt& add(Attempt attempt);
    Attempt* find(const std::string& id);
    /// @return whether nobody waits for the attempt any more.
    bool isNoLongerAwaited(const std::string& id);
    Incarnation& current() { return observations.incarnations.back(); }
    std::size_t currentIndex() const { return observations.incarnations.size() - 1; }

    /// Adds a line to the time line.
    /// @param attempt the request concerned; empty where it concerns the process.
    void log(const std::string& source, const std::string& what, const std::string& attempt = "");
    /// @return the lines of one attempt among those of the process, oldest first.
    std::string timelineOf(const std::string& attempt) const;

private:
    struct Line {
        Duration at{0};
        std::string source, what, attempt;
    };
    std::unordered_map<std::string, std::size_t> indexById_;  // of attempts, by id
    std::vector<Line> lines_;
};

}  // namespace cottonwing::soak
