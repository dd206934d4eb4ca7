/// @file
/// The log: lines on a stream, as text or JSON, filtered by level. A flood of lines of one kind is suppressed
/// and counted. Written through spdlog.
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

/// From the most to the least urgent. A log of one level writes the levels above it too.
enum class Level {
    Error,  ///< something has failed that should not
    Warn,   ///< a peer or a file does what it should not; the program goes on
    Info,   ///< a change of state that an operator wants to see
    Debug   ///< events of single connections and requests
};

/// How a line is written. Times are seconds since the Unix epoch with milliseconds.
enum class LogFormat {
    Text,  ///< "1764755000.123 warn registry: answered 500 to a report"
    Json   ///< {"time":1764755000.123,"level":"warn","kind":"registry","text":"answered 500 to a report"}
};

/// Writes lines to a stream and flushes each. Not for use from several threads.
///
/// Of each kind at most 10 lines a second are written; the rest of that second is suppressed. The first line
/// of the kind after it is preceded by one of level info that says how many were.
class Log {
public:
    /// @param out has to outlive the log.
    /// @param level lines that are less urgent are not written.
    Log(std::ostream& out, Level level, LogFormat format = LogFormat::Text);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    /// Whether lines of this level are written.
    bool isEnabled(Level level) const { return level <= level_; }

    /// Writes a line, unless its level is not enabled or its kind is suppressed.
    /// @param component the part of the program that writes: a string literal, so that the table of kinds
    /// stays
    ///        small and its keys valid.
    /// @param text may hold any bytes; in JSON, those that are not UTF-8 are replaced.
    void line(Level level, const char* component, std::string_view text);

    void error(const char* component, std::string_view text) { line(Level::Error, component, text); }
    void warn(const char* component, std::string_view text) { line(Level::Warn, component, text); }
    void info(const char* component, std::string_view text) { line(Level::Info, component, text); }
    void debug(const char* component, std::string_view text) { line(Level::Debug, component, text); }

private:
    /// The lines of one kind in the present interval.
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
    std::unordered_map<std::string_view, Interval> intervals_;  // by kind; never emptied, as kinds are few
};

}  // namespace cottonwing::telemetry
