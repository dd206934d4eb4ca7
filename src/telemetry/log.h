/// @file
/// The log: lines on a stream, as text or JSON, filtered by level. Lines of one component beyond a rate limit
/// are suppressed and counted. Written through spdlog.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string_view>
#include <unordered_map>

namespace spdlog {
class logger;
}

namespace cottonwing::telemetry {

/// From the most to the least severe. A log with one of these levels also writes the levels above it.
enum class Level {
    Error,  ///< a failure that should not happen
    Warn,   ///< unexpected behavior of a peer or a file; the program continues
    Info,   ///< a change of state that concerns operators
    Debug   ///< events of individual connections and requests
};

/// How a line is written. Times are seconds since the Unix epoch, with three decimals.
enum class LogFormat {
    Text,  ///< "1764755000.123 warn registry: registry rejected a report: status=500"
    Json   ///< {"time":1764755000.123,"level":"warn","kind":"registry","text":"..."}
};

/// Writes lines to a stream and flushes each. Not thread-safe.
///
/// At most 10 lines per second are written for each component; further lines in that second are suppressed.
/// The component's next line is preceded by a line of level info with the number of suppressed lines.
class Log {
public:
    /// @param out must outlive the log.
    /// @param level less severe lines are not written.
    Log(std::ostream& out, Level level, LogFormat format = LogFormat::Text);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    /// Whether lines of this level are written.
    bool isEnabled(Level level) const { return level <= level_; }

    /// Writes a line, unless its level is not enabled or its component is suppressed.
    /// @param component the part of the program that writes the line. Must be a string literal, so that the
    /// table of components stays small and its keys stay valid.
    /// @param text may hold any bytes; in JSON, those that are not UTF-8 are replaced.
    void line(Level level, const char* component, std::string_view text);

    void error(const char* component, std::string_view text) { line(Level::Error, component, text); }
    void warn(const char* component, std::string_view text) { line(Level::Warn, component, text); }
    void info(const char* component, std::string_view text) { line(Level::Info, component, text); }
    void debug(const char* component, std::string_view text) { line(Level::Debug, component, text); }

private:
    /// The lines of one component in the current interval.
    struct Interval {
        std::chrono::steady_clock::time_point begin{};
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    bool isSuppressed(const char* component);
    void write(Level level, std::string_view component, std::string_view text);

    Level level_;
    LogFormat format_;
    std::unique_ptr<spdlog::logger> logger_;
    std::unordered_map<std::string_view, Interval> intervals_;  // by component; few, never cleared
};

}  // namespace cottonwing::telemetry
