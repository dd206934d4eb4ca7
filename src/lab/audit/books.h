// The books of the four rules, kept by what callers and emulators see and by
// nothing that the program says of itself. Callers' threads and the emulators'
// one write in it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/callers.h"

namespace cottonwing::lab {

enum class Rule { Lost, Twice, Drain, FallOver };
inline constexpr std::size_t kRules = 4;
const char* nameOf(Rule rule);

struct Breach {
    Rule rule;
    std::string what;  // with the command's id and the instance
};

class Books : public Watcher {
public:
    // Entries are dropped this long after their try was sent. heapKb: what the
    // commands of one instance may take, runFactor times as much while they run.
    Books(const std::vector<Profile>& profiles, Duration keeps, double heapKb, double runFactor);

    // Callers.
    void sent(const Planned& planned, const std::string& trace, const std::string& first,
              std::size_t target) override;
    void answered(const std::string& trace, Heard::Kind kind) override;
    void released(const std::string& trace) override;
    void ended(const Planned& planned, const std::string& lastTrace, End end) override;

    // Emulators; all times are of the steady clock.
    void spawned(std::size_t instance, const std::string& trace, const std::string& first, Duration now);
    void finished(const std::string& trace);
    void calling(std::size_t instance, const std::string& trace);
    void callEnded(const std::string& trace, bool knownNotRun);
    void notice(std::size_t instance, Duration now, Duration grace);
    void restarted(std::size_t instance);
    void fellOver(std::size_t instance, const std::string& what);

    std::vector<Breach> breaches() const;
    std::array<std::uint64_t, kRules> counts() const;
    std::size_t instanceOf(
        const std::string& trace) const;         // to which that try was sent; 0 where it is not known
    bool waits(const std::string& trace) const;  // its caller still waits for an answer to that try
    double memoryKb(std::size_t instance) const;
    double handledWork() const;  // seconds on cores that handled commands were worth
    std::size_t entries() const;

private:
    struct Try {
        std::string first;
        Duration sent{0};
        int profile = 0;
        std::size_t instance = 0;
        double kb = 0, booked = 0;  // as it says; as it counts now
        bool waits = true, runs = false;
        bool ran = false, called = false, lastCallMayHaveRun = false;
    };
    struct Family {
        int runs = 0, tries = 0;
    };
    void breach(Rule rule, const std::string& what);
    void forgetOld(Duration now);
    void book(Try& entry);

    mutable std::mutex guard_;
    const std::vector<Profile> profiles_;
    const Duration keeps_;
    const double heapKb_, runFactor_;
    std::map<std::size_t, double> memory_;              // by instance
    std::unordered_map<std::string, Try> tries_;        // by trace; emptied by time
    std::unordered_map<std::string, Family> families_;  // by the first try's trace; emptied with the last try
    std::deque<std::pair<Duration, std::string>> order_;
    std::map<std::size_t, Duration> closedSince_;  // instance: notice + grace
    std::vector<Breach> breaches_;                 // the first few
    std::array<std::uint64_t, kRules> counts_{};
    double handledWork_ = 0;
};

}  // namespace cottonwing::lab
