// The books of the four rules, kept by what clients and emulators see and by
// nothing that the program says of itself. Clients' threads and the emulators'
// one write in it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "loadtest/load_clients.h"

namespace cottonwing::loadtest {

enum class Rule { Lost, Twice, Drain, FallOver };
inline constexpr std::size_t kRules = 4;
const char* nameOf(Rule rule);

struct Violation {
    Rule rule;
    std::string what;  // with the request's id and the instance
};

class InvariantChecker : public RequestObserver {
public:
    // Entries are dropped this long after their try was sent. heapKb: what the
    // requests of one instance may take, runFactor times as much while they run.
    InvariantChecker(const std::vector<RequestClassLoad>& requestClasses, Duration keeps, double heapKb,
                     double runFactor);

    // Clients.
    void onAttemptSent(const ScheduledRequest& planned, const std::string& trace, const std::string& first,
                       std::size_t target) override;
    void onResponse(const std::string& trace, ClientResponse::Kind kind) override;
    void onAttemptReleased(const std::string& trace) override;
    void onRequestEnded(const ScheduledRequest& planned, const std::string& lastTrace,
                        RequestOutcome outcome) override;

    // Emulators; all times are of the steady clock.
    void spawned(std::size_t instance, const std::string& trace, const std::string& first, Duration now);
    void finished(const std::string& trace);
    void calling(std::size_t instance, const std::string& trace);
    void callEnded(const std::string& trace, bool knownNotRun);
    void notice(std::size_t instance, Duration now, Duration grace);
    void restarted(std::size_t instance);
    void fellOver(std::size_t instance, const std::string& what);

    std::vector<Violation> violations() const;
    std::array<std::uint64_t, kRules> counts() const;
    std::size_t instanceOf(
        const std::string& trace) const;         // to which that try was sent; 0 where it is not known
    bool waits(const std::string& trace) const;  // its client still waits for an answer to that try
    double memoryKb(std::size_t instance) const;
    double completedWork() const;  // seconds on cores that completed requests were worth
    std::size_t entries() const;

private:
    struct Try {
        std::string first;
        Duration sent{0};
        int requestClass = 0;
        std::size_t instance = 0;
        double kb = 0, booked = 0;  // as it says; as it counts now
        bool waits = true, runs = false;
        bool ran = false, called = false, lastCallMayHaveRun = false;
    };
    struct Family {
        int runs = 0, tries = 0;
    };
    void violation(Rule rule, const std::string& what);
    void forgetOld(Duration now);
    void book(Try& entry);

    mutable std::mutex guard_;
    const std::vector<RequestClassLoad> requestClasses_;
    const Duration keeps_;
    const double heapKb_, runFactor_;
    std::map<std::size_t, double> memory_;              // by instance
    std::unordered_map<std::string, Try> tries_;        // by trace; emptied by time
    std::unordered_map<std::string, Family> families_;  // by the first try's trace; emptied with the last try
    std::deque<std::pair<Duration, std::string>> order_;
    std::map<std::size_t, Duration> closedSince_;  // instance: notice + grace
    std::vector<Violation> violations_;            // the first few
    std::array<std::uint64_t, kRules> counts_{};
    double completedWork_ = 0;
};

}  // namespace cottonwing::loadtest
