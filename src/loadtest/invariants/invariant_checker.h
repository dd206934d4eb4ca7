/// @file
/// Checks the four invariants of a run from what clients and emulators observe. Nothing that the server under
/// test reports about itself is used. Thread-safe: called by the clients' threads and by the emulators'
/// thread.
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

/// The results name them "lost", "twice", "drain" and "fall-over":
/// - Lost: a client got a result for a request that never ran.
/// - Duplicate: a request that is not idempotent ran twice, or made a call again although its last one may
/// have
///   run; a run of an attempt that no client has sent recently; an attempt that was rejected after it had
///   run.
/// - Drain: a request that was sent after the drain grace was run.
/// - Overload: an instance exceeded its memory, its concurrency, its quota of dependency calls or its stop
/// time.
enum class Invariant { Lost, Duplicate, Drain, Overload };
inline constexpr std::size_t kInvariants = 4;
/// @return the name in the results.
const char* nameOf(Invariant invariant);

struct Violation {
    Invariant invariant;
    std::string description;  ///< names the request's id or the instance
};

class InvariantChecker : public RequestObserver {
public:
    /// @param retention an attempt is forgotten this long after it was sent.
    /// @param heapKb memory that the requests of one instance may use.
    /// @param runFactor a request counts this many times its declared memory while it runs.
    InvariantChecker(const std::vector<RequestClassLoad>& requestClasses, Duration retention, double heapKb,
                     double runFactor);

    // Called by clients.
    void onAttemptSent(const ScheduledRequest& planned, const std::string& trace,
                       const std::string& firstTrace, std::size_t target) override;
    void onResponse(const std::string& trace, ClientResponse::Kind kind) override;
    void onAttemptReleased(const std::string& trace) override;
    void onRequestEnded(const ScheduledRequest& planned, const std::string& lastTrace,
                        RequestOutcome outcome) override;

    // Called by emulators; all times are of the steady clock.
    void runStarted(std::size_t instance, const std::string& trace, const std::string& firstTrace,
                    Duration now);
    void runEnded(const std::string& trace);
    void callStarted(std::size_t instance, const std::string& trace);
    /// @param knownNotRun the call is known not to have run, so that it may be made again.
    void callEnded(const std::string& trace, bool knownNotRun);
    /// The instance was told to shut down; requests sent after the grace must not run.
    void drainStarted(std::size_t instance, Duration now, Duration grace);
    void instanceRestarted(std::size_t instance);
    /// Records a violation of Invariant::Overload.
    void overloaded(std::size_t instance, const std::string& description);

    /// @return the first 50; counts() includes all.
    std::vector<Violation> violations() const;
    std::array<std::uint64_t, kInvariants> counts() const;
    /// @return the instance that the attempt was sent to; 0 if the attempt is not known.
    std::size_t instanceOf(const std::string& trace) const;
    /// @return whether the client still waits for a response to the attempt.
    bool clientWaits(const std::string& trace) const;
    double memoryKb(std::size_t instance) const;
    /// @return core-seconds of work of the requests that were completed, in time or late.
    double completedWork() const;
    /// @return the number of attempts that are not forgotten yet.
    std::size_t attemptCount() const;

private:
    struct Attempt {
        std::string firstTrace;
        Duration sent{0};
        int requestClass = 0;
        std::size_t instance = 0;
        double declaredKb = 0, countedKb = 0;  // by the request; included in memoryByInstance_
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
    std::map<std::size_t, double> memoryByInstance_;     // KB
    std::unordered_map<std::string, Attempt> attempts_;  // by trace; removed after the retention
    // By the first attempt's trace; removed with the last attempt.
    std::unordered_map<std::string, Request> requests_;
    std::deque<std::pair<Duration, std::string>> expiryOrder_;  // by the time sent
    std::map<std::size_t, Duration> drainEndsAt_;  // by instance: start of the drain plus the grace
    std::vector<Violation> violations_;            // the first 50
    std::array<std::uint64_t, kInvariants> counts_{};
    double completedWork_ = 0;
};

}  // namespace cottonwing::loadtest
