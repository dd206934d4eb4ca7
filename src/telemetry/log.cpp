#include "telemetry/log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <nlohmann/json.hpp>
#include <string>

namespace cottonwing::telemetry {

namespace {

constexpr std::chrono::seconds kSuppressionInterval{1};
constexpr int kMaxLinesPerInterval = 10;

const char* nameOf(Level level) {
    switch (level) {
        case Level::Error:
            return "error";
        case Level::Warn:
            return "warn";
        case Level::Info:
            return "info";
        case Level::Debug:
            break;
    }
    return "debug";
}

spdlog::level::level_enum spdlogLevelOf(Level level) {
    switch (level) {
        case Level::Error:
            return spdlog::level::err;
        case Level::Warn:
            return spdlog::level::warn;
        case Level::Info:
            return spdlog::level::info;
        case Level::Debug:
            break;
    }
    return spdlog::level::debug;
}

// Formats a JSON string. Bytes that are not UTF-8 are replaced, because a line may contain data from a peer
// and must be valid JSON.
std::string quoted(std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Log::Log(std::ostream& out, Level level, LogFormat format) : level_(level), format_(format) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(out, /*force_flush=*/true);
    logger_ = std::make_unique<spdlog::logger>("cottonwing", std::move(sink));
    logger_->set_level(spdlog::level::trace);  // already filtered by isEnabled()
    logger_->set_pattern(format == LogFormat::Text ? "%E.%e %v" : R"({"time":%E.%e,%v})",
                         spdlog::pattern_time_type::utc);
}

Log::~Log() = default;

void Log::line(Level level, const char* component, std::string_view text) {
    if (isEnabled(level) && !isSuppressed(component)) write(level, component, text);
}

bool Log::isSuppressed(const char* component) {
    const auto now = std::chrono::steady_clock::now();
    Interval& interval = intervals_[component];
    if (now - interval.begin >= kSuppressionInterval) {
        if (interval.suppressed > 0)
            write(Level::Info, component, std::to_string(interval.suppressed) + " more lines suppressed");
        interval = {now, 0, 0};
    }
    ++interval.lines;
    if (interval.lines <= kMaxLinesPerInterval) return false;
    ++interval.suppressed;
    return true;
}

void Log::write(Level level, std::string_view component, std::string_view text) {
    const spdlog::level::level_enum spdlogLevel = spdlogLevelOf(level);
    const char* const name = nameOf(level);
    if (format_ == LogFormat::Text)
        logger_->log(spdlogLevel, "{} {}: {}", name, component, text);
    else
        logger_->log(spdlogLevel, R"("level":"{}","kind":{},"text":{})", name, quoted(component),
                     quoted(text));
}

}  // namespace cottonwing::telemetry
