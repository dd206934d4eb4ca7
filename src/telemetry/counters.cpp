#include "telemetry/counters.h"

namespace cottonwing::telemetry {

void Counters::print(std::ostream& out) const {
    static constexpr const char* kNames[] = {
        "rounds",         "sidecars-opened", "commands-read",   "sidecars-evicted",  "commands-refused",
        "bad-frames",     "forgotten",       "health-checks",   "handled",           "bounced",
        "scrapped",       "no-memory",       "key-repeats",     "key-conflicts",     "callers-left",
        "runs-started",   "runs-halted",     "runs-ended",      "calls-begun",       "calls-ok",
        "calls-error",    "calls-full",      "calls-timed-out", "calls-unreachable", "calls-broken",
        "calls-spoilt",   "calls-moot",      "calls-given-up",  "calls-no-room",     "pool-links",
        "pool-unknown",   "pool-unreadable", "reports-sent",    "reports-failed",    "reloads",
        "reloads-refused"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(Count::kLast));
    out << "counters:";
    for (std::size_t i = 0; i < counts_.size(); ++i) out << ' ' << kNames[i] << '=' << counts_[i];
    for (int i = 0; i < net::kConnectionEnds; ++i)
        out << " end-" << net::nameOf(static_cast<net::ConnectionEnd>(i)) << '=' << ends_[i];
    out << std::endl;
}

}  // namespace cottonwing::telemetry
