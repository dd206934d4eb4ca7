/// @file
/// Graceful shutdown: which requests may still run after the notice, and by when they are answered.
#pragma once

#include <optional>

#include "overload/types.h"

namespace cottonwing::overload {

/// After the shutdown notice the server drains: requests that arrive after a grace period are rejected, and
/// all requests are answered before the process ends.
class GracefulShutdown {
public:
    /// @param drainGrace time after the notice in which arrivals are still run.
    explicit GracefulShutdown(Duration drainGrace) : drainGrace_(drainGrace) {}

    /// Begins to drain; only the first notice has an effect.
    /// @param processEndsAt when the process ends.
    /// @return whether it was the first.
    bool begin(Timestamp now, const std::optional<Timestamp>& processEndsAt);

    bool draining() const { return processEndsAt_.has_value(); }

    /// @param fullyReceivedBy the latest time at which the last byte of a request may have reached the
    /// machine.
    /// @return whether that request arrived too late to be run.
    bool rejectsArrival(Timestamp fullyReceivedBy) const;

    /// @param deadline when the client stops waiting.
    /// @return when its request must be answered: shortly before the deadline, and before the process ends.
    Timestamp answerBy(Timestamp deadline) const;

private:
    Duration drainGrace_;
    Timestamp noticeAt_{0};
    std::optional<Timestamp> processEndsAt_;
};

}  // namespace cottonwing::overload
