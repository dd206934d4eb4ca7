// The log: lines on a stream, filtered by level; a storm of lines of one kind is cut and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cottonwing::report {

enum class Level { Error, Warn, Info, Debug };

class Log {
public:
    Log(std::ostream& out, Level level) : out_(out), level_(level) {}

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

    std::ostream& out_;
    Level level_;
    std::unordered_map<std::string_view, Storm> storms_;  // one a kind
};

}  // namespace cottonwing::report
