#include "report/log.h"

#include <iomanip>

namespace cottonwing::report {

void Log::line(Level level, const char* kind, std::string_view text) {
    if (!takes(level)) return;
    static constexpr const char* kNames[] = {"error", "warn", "info", "debug"};
    const auto now = std::chrono::steady_clock::now();
    Storm& storm = storms_[kind];
    if (now - storm.since >= std::chrono::seconds(1)) {
        if (storm.dropped > 0) out_ << "info " << kind << ": " << storm.dropped << " more lines left out\n";
        storm = {now, 0, 0};
    }
    if (++storm.lines > kLinesASecond) {
        ++storm.dropped;
        return;
    }
    const auto unix = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch());
    out_ << std::fixed << std::setprecision(3) << unix.count() << ' ' << kNames[static_cast<int>(level)]
         << ' ' << kind << ": " << text << std::endl;
}

}  // namespace cottonwing::report
