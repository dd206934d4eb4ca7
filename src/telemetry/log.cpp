#include "telemetry/log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <nlohmann/json.hpp>

namespace cottonwing::telemetry {

namespace {

constexpr const char* kNames[] = {"error", "warn", "info", "debug"};
constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::err, spdlog::level::warn, spdlog::level::info,
                                                 spdlog::level::debug};

// Bytes that are no UTF-8 (a peer's words may stand in a line) are replaced, so that each line is JSON.
std::string quoted(std::string_view text) {
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

Log::Log(std::ostream& out, Level level, Form form) : level_(level), form_(form) {
    logger_ = std::make_unique<spdlog::logger>(
        "cottonwing", std::make_shared<spdlog::sinks::ostream_sink_st>(out, /*force_flush=*/true));
    logger_->set_level(spdlog::level::trace);
    logger_->set_pattern(form == Form::Text ? "%E.%e %v" : R"({"time":%E.%e,%v})",
                         spdlog::pattern_time_type::utc);
}

Log::~Log() = default;

void Log::write(Level level, std::string_view kind, std::string_view text) {
    const int at = static_cast<int>(level);
    if (form_ == Form::Text)
        logger_->log(kLevels[at], "{} {}: {}", kNames[at], kind, text);
    else
        logger_->log(kLevels[at], R"("level":"{}","kind":{},"text":{})", kNames[at], quoted(kind),
                     quoted(text));
}

void Log::line(Level level, const char* kind, std::string_view text) {
    if (!takes(level)) return;
    const auto now = std::chrono::steady_clock::now();
    Storm& storm = storms_[kind];
    if (now - storm.since >= std::chrono::seconds(1)) {
        if (storm.dropped > 0)
            write(Level::Info, kind, std::to_string(storm.dropped) + " more lines left out");
        storm = {now, 0, 0};
    }
    if (++storm.lines > kLinesASecond) {
        ++storm.dropped;
        return;
    }
    write(level, kind, text);
}

}  // namespace cottonwing::telemetry
