/// @file
/// How long runs of each request class take, on the cores and in total.
#pragma once

#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// The times and calls of one run.
struct RunTimes {
    double coreSeconds = 0;   ///< Time on the cores, without the waits for its dependency calls.
    double totalSeconds = 0;  ///< From its start to its end.
    int dependencyCalls = 0;
};

/// The runs that are on the cores at one moment.
struct RunsOnCores {
    double ageSeconds = 0;       ///< Sum of the times that they have been on the cores.
    double expectedSeconds = 0;  ///< Sum of the mean core times of their classes.
    int cores = 1;
};

/// Learned means per request class, scaled by the expected work of a request and by the current slowdown of
/// the machine.
class ServiceTimeModel {
public:
    /// Starts from an initial estimate, a sixth of the latency objective, which the first successful run
    /// replaces.
    explicit ServiceTimeModel(const std::vector<RequestClass>& requestClasses);

    /// Updates the mean expected work of a class. The first value initializes the mean: if the mean grew from
    /// zero, early requests would appear to be many times larger than average.
    void recordExpectedWork(int requestClass, Duration work);

    void recordSuccess(int requestClass, const RunTimes& run);

    /// Learns from a run whose client stopped waiting: it takes at least this long. On a machine that is slow
    /// or hangs, no run may ever end in time, and means of completed runs alone would never change.
    void recordUnfinished(int requestClass, const RunTimes& soFar);

    /// Updates the slowdown factor from the runs on the cores, which reveals a slow or hanging machine before
    /// any of them has ended. The mean age of runs in progress is taken to be the mean duration of a run.
    /// They are averaged with one run of baseline duration per core, so that a single long run does not raise
    /// the slowdown.
    void updateSlowdown(const RunsOnCores& runs);

    /// @param work expected work of the request; 0: unknown.
    /// @return expected time on the cores, in seconds.
    double expectedCoreSeconds(int requestClass, Duration work) const;
    /// @return expected time from start to end, in seconds.
    double expectedTotalSeconds(int requestClass, Duration work) const;
    /// @return mean number of dependency calls of a run.
    double expectedCalls(int requestClass) const;
    /// @return mean core time of the class without the slowdown, in seconds.
    double baselineCoreSeconds(int requestClass) const;
    /// @return unweighted mean of baselineCoreSeconds over all classes.
    double meanBaselineCoreSeconds() const;
    /// @return ratio of the current duration of runs to their baseline, from 1 to 10.
    double slowdown() const { return slowdown_; }

private:
    struct ClassMeans {
        double coreSeconds = 0;
        double totalSeconds = 0;
        double calls = 0;
        double workSeconds = 0;  ///< Of requests whose expected work is known; 0: none seen.
        int runs = 0;
    };

    const ClassMeans& meansOf(int requestClass) const;
    ClassMeans& meansOf(int requestClass);

    std::vector<ClassMeans> classes_;
    double slowdown_ = 1;
};

}  // namespace cottonwing::overload
