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

enum class Invariant { Lost, Duplicate, Drain, Overload };
inline constexpr std::size_t kInvariants = 4;
const char* nameOf(Invariant invariant);

struct Violation {
    Invariant invariant;
    std::string description;  // with the request's id and the instance
};

class InvariantChecker : public RequestObserver {
public:
    // Entries are dropped this long after their try was sent. heapKb: what the
    // requests of one instance may take, runFactor times as much while they run.
    InvariantChecker(const std::vector<RequestClassLoad>& requestClasses, Duration retention, double heapKb,
                     double runFactor);

    // Clients.
    void onAttemptSent(const ScheduledRequest& planned, const std::string& trace, const std::string& first,
                       std::size_t target) override;
    void onResponse(const std::string& trace, ClientResponse::Kind kind) override;
    void onAttemptReleased(const std::string& trace) override;
    void onRequestEnded(const ScheduledRequest& planned, const std::string& lastTrace,
                        RequestOutcome outcome) override;

    // Emulators; all times are of the steady clock.
    void runStarted(std::size_t instance, const std::string& trace, const std::string& first, Duration now);
    void runEnded(const std::string& trace);
    void callStarted(std::size_t instance, const std::string& trace);
    void callEnded(const std::string& trace, bool knownNotRun);
    void drainStarted(std::size_t instance, Duration now, Duration grace);
    void instanceRestarted(std::size_t instance);
    void overloaded(std::size_t instance, const std::string& description);

    std::vector<Violation> violations() const;
    std::array<std::uint64_t, kInvariants> counts() const;
    std::size_t instanceOf(
        const std::string& trace) const;               // to which that try was sent; 0 where it is not known
    bool clientWaits(const std::string& trace) const;  // its client still waits for an answer to that try
    double memoryKb(std::size_t instance) const;
    double completedWork() const;  // seconds on cores that completed requests were worth
    std::size_t attemptCount() const;

private:
    struct Attempt {
        std::string first;
        Duration sent{0};
        int requestClass = 0;
        std::size_t instance = 0;
        double declaredKb = 0, countedKb = 0;  // as it says; as it counts now
        bool clientWaits = true, running = false;
        bool hasRun = false, called = false, lastCallMayHaveRun = false;
    };
    struct Request {
        int runs = 0, attempts = 0;
    };
    void violation(Invariant invariant, const std::string& description);
    void removeExpired(Duration now);
    void updateMemory(Attempt& attempt);

    mutable std::mutex mutex_;
    const std::vector<RequestClassLoad> requestClasses_;
    const Duration retention_;
    const double heapKb_, runFactor_;
    std::map<std::size_t, double> memoryByInstance_;     // by instance
    std::unordered_map<std::string, Attempt> attempts_;  // by trace; emptied by time
    std::unordered_map<std::string, Request>
        requests_;  // by the first try's trace; emptied with the last try
    std::deque<std::pair<Duration, std::string>> expiryOrder_;
    std::map<std::size_t, Duration> drainEndsAt_;  // instance: notice + grace
    std::vector<Violation> violations_;            // the first few
    std::array<std::uint64_t, kInvariants> counts_{};
    double completedWork_ = 0;
};

}  // namespace cottonwing::loadtest
