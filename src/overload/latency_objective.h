/// @file
/// When the latency objective of a request ends.
#pragma once

#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// The times of a request that are known when it is read.
struct RequestTimes {
    Timestamp arrivedAt{0};
    Timestamp deadline{0};
    Duration work{0};  ///< Expected; 0: unknown.
    bool isRetry = false;
};

/// Finds the end of the latency objective, which counts from the first attempt of a request. A retry that has
/// less time left than first attempts have was shortened by its client's timeout, from which the start of the
/// first attempt follows.
class LatencyObjective {
public:
    explicit LatencyObjective(const std::vector<RequestClass>& requestClasses);

    /// Also learns from first attempts how much time clients of the class allow.
    /// @return the end of the objective or the deadline, whichever is earlier, less one control tick.
    Timestamp endFor(int requestClass, const RequestTimes& times);

private:
    struct ClassTimes {
        RequestClass requestClass;
        double maxFirstAttemptSeconds = 0;  ///< Decaying maximum of the time that first attempts had left.
    };

    std::vector<ClassTimes> classes_;
};

}  // namespace cottonwing::overload
