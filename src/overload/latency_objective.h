/// @file
/// When the latency objective of a request ends.
#pragma once

#include <vector>

#include "overload/types.h"

namespace cottonwing::overload {

/// What is known of a request's times when it is read.
struct RequestTimes {
    Timestamp arrivedAt{0};
    Timestamp deadline{0};
    Duration work{0};  ///< Expected; 0: unknown.
    bool isRetry = false;
};

/// Finds the end of the latency objective, which counts from the first attempt of a request. A retry that has
/// less time left than first attempts have was cut by its client's timeout, which tells when the first
/// attempt began.
class LatencyObjective {
public:
    explicit LatencyObjective(const std::vector<RequestClass>& requestClasses);

    /// @return the end of the objective, one control tick early and never after the deadline. Learns from
    /// first attempts how much time clients of the class give.
    Timestamp endFor(int requestClass, const RequestTimes& times);

private:
    struct ClassTimes {
        RequestClass requestClass;
        double maxFirstAttemptSeconds = 0;  ///< Most time that first attempts had left of late.
    };

    std::vector<ClassTimes> classes_;
};

}  // namespace cottonwing::overload
