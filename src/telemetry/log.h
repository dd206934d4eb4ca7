// The log: lines on a stream, filtered by level; a storm of lines of one kind is cut and counted. Written
// through spdlog, as text or as one JSON object a line.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <unordered_map>

namespace spdlog {
class logger;
}

namespace cottonwing::telemetry {

enum class Level { Error, Warn, Info, Debug };
enum class Form { Text, Json };

class Log {
public:
    Log(std::ostream& out, Level level, Form form = Form::Text);
    ~Log();
    Log(const Log&) = delete;
    Log& operator=(const Log&) = delete;

    bool takes(Level level) const { return level <= level_; }
    // kind is one of the program's own words, so that the table of kinds stays small.
    void line(Level level, const char* kind, std::string_view text);
    void error(const char* kind, std::string_view text) { line(Level::Error, kind, text); }
    void warn(const char* kind, std::string_view text) { line(Level::Warn, kind, text); }
    void info(const char* kind, std::string_view text) { line(Level::Info, kind, text); }
    void debug(const char* kind, std::string_view text) { line(Level::Debug, kind, text); }

private:
    struct Storm {
        std::chrono::steady_clock::time_point since{};
        int lines = 0;
        std::uint64_t dropped = 0;
    };
    static constexpr int kLinesASecond = 10;

    void write(Level level, std::string_view kind, std::string_view text);

    Level level_;
    Form form_;
    std::unique_ptr<spdlog::logger> logger_;
    std::unordered_map<std::string_view, Storm> storms_;  // one a kind
};

}  // namespace cottonwing::telemetry
