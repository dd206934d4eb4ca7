#include "overload/admission_queue.h"

#include <algorithm>
#include <cstddef>
#include <optional>

#include "overload/units.h"

namespace cottonwing::overload {

namespace {

// Fraction of its expected time that a request must have left: estimates lag behind a sudden recovery.
constexpr double kRequiredTimeFraction = 0.75;

class SheddingSchedule {
public:
    explicit SheddingSchedule(const QueueLoad& load);

    void add(const QueuedRequest& request);
    const std::vector<RequestId>& shed() const { return shed_; }

private:
    /// What a request can still achieve.
    struct Target {
        Timestamp latestEnd{0};
        double value = 0;
    };
    struct Scheduled {
        RequestId id = 0;
        double coreSeconds = 0;
        double valueDensity = 0;  ///< Value per core-second.
        double callSeconds = 0;   ///< Time that its calls occupy the dependency.
    };
    /// Time that a request waits for the cores and the dependency, behind those scheduled before it.
    struct Wait {
        double coreSeconds = 0;
        double callSeconds = 0;
        bool dependencyIsBottleneck() const { return callSeconds > coreSeconds; }
        double seconds() const { return std::max(coreSeconds, callSeconds); }
    };

    void addUpcomingCalls(Timestamp deadline);
    std::optional<Target> targetOf(const QueuedRequest& request) const;
    void schedule(const QueuedRequest& request, double value);
    Wait waitOf(const QueuedRequest& request) const;
    void shedLeastValuable(bool onlyThoseWithCalls);

    const QueueLoad& load_;
    double coreBacklogSeconds_;
    double callBacklogSeconds_;
    std::size_t nextUpcoming_ = 0;
    std::vector<Scheduled> scheduled_;
    std::vector<RequestId> shed_;
};

SheddingSchedule::SheddingSchedule(const QueueLoad& load)
    : load_(load),
      coreBacklogSeconds_(-load.freeCoreSeconds),
      // If no call is in flight or upcoming, the first one does not wait: however slow calls seem, one must
      // be sent, or a recovery of the dependency would never be noticed.
      callBacklogSeconds_(load.dependencyIdle ? -load.secondsBetweenCalls : 0) {}

void SheddingSchedule::addUpcomingCalls(Timestamp deadline) {
    const std::span<const UpcomingCalls> upcoming = load_.upcomingCalls;
    while (nextUpcoming_ < upcoming.size() && upcoming[nextUpcoming_].deadline <= deadline) {
        callBacklogSeconds_ += upcoming[nextUpcoming_].count * load_.secondsBetweenCalls;
        ++nextUpcoming_;
    }
}

std::optional<SheddingSchedule::Target> SheddingSchedule::targetOf(const QueuedRequest& request) const {
    const Timestamp earliestEnd = load_.now + fromSeconds(kRequiredTimeFraction * request.totalSeconds);
    if (earliestEnd <= request.objectiveEnd) return Target{request.objectiveEnd, request.value};
    const Target late{request.answerBy, request.value * request.lateValueFraction};
    const bool probesMachine = load_.coresIdle && scheduled_.empty() && load_.now < request.objectiveEnd;
    const bool achievable = late.value > 0 && earliestEnd <= late.latestEnd;
    if (!probesMachine && !achievable) return std::nullopt;
    return late;
}

void SheddingSchedule::schedule(const QueuedRequest& request, double value) {
    Scheduled entry;
    entry.id = request.id;
    entry.coreSeconds = request.coreSeconds;
    entry.valueDensity = value / request.coreSeconds;
    entry.callSeconds = request.dependencyCalls * load_.secondsBetweenCalls;
    coreBacklogSeconds_ += entry.coreSeconds;
    callBacklogSeconds_ += entry.callSeconds;
    scheduled_.push_back(entry);
}

SheddingSchedule::Wait SheddingSchedule::waitOf(const QueuedRequest& request) const {
    const double limit = load_.concurrencyLimit;
    Wait wait;
    wait.coreSeconds = std::max(0.0, coreBacklogSeconds_ / limit - request.coreSeconds / limit);
    // A request that makes no call does not wait for the dependency.
    wait.callSeconds = request.dependencyCalls > 0 ? callBacklogSeconds_ : 0;
    return wait;
}

void SheddingSchedule::shedLeastValuable(bool onlyThoseWithCalls) {
    auto leastValuable = scheduled_.end();
    for (auto entry = scheduled_.begin(); entry != scheduled_.end(); ++entry) {
        if (onlyThoseWithCalls && entry->callSeconds <= 0) continue;
        if (leastValuable == scheduled_.end() || entry->valueDensity < leastValuable->valueDensity)
            leastValuable = entry;
    }
    if (leastValuable == scheduled_.end()) leastValuable = scheduled_.end() - 1;
    coreBacklogSeconds_ -= leastValuable->coreSeconds;
    callBacklogSeconds_ -= leastValuable->callSeconds;
    shed_.push_back(leastValuable->id);
    scheduled_.erase(leastValuable);
}

void SheddingSchedule::add(const QueuedRequest& request) {
    addUpcomingCalls(request.deadline);
    const std::optional<Target> target = targetOf(request);
    if (!target) {
        shed_.push_back(request.id);
        return;
    }
    schedule(request, target->value);
    const Wait wait = waitOf(request);
    const double neededSeconds = wait.seconds() + kRequiredTimeFraction * request.totalSeconds;
    if (load_.now + fromSeconds(neededSeconds) <= target->latestEnd) return;
    shedLeastValuable(wait.dependencyIsBottleneck());
}

}  // namespace

std::vector<RequestId> selectRequestsToShed(const std::vector<QueuedRequest>& byDeadline,
                                            const QueueLoad& load) {
    SheddingSchedule schedule(load);
    for (const QueuedRequest& request : byDeadline) schedule.add(request);
    return schedule.shed();
}

}  // namespace cottonwing::overload
