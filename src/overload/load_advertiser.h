/// @file
/// The load share that the server advertises to its clients.
#pragma once

#include <optional>

#include "overload/types.h"

namespace cottonwing::overload {

/// Advertises the fraction of its usual traffic that the server can handle. Used with LoadSignal::Share only:
/// with a threshold or a window, a client gives requests up instead of sending them to other servers of the
/// fleet.
class LoadAdvertiser {
public:
    explicit LoadAdvertiser(LoadSignal signal) : signal_(signal) {}

    /// Lowers the share while requests are shed, down to 0.4, and raises it slowly otherwise.
    /// @param shedFraction of the requests, from 0 to 1.
    /// @return the share to advertise if it changed.
    std::optional<double> update(double shedFraction);

private:
    LoadSignal signal_;
    double share_ = 1;
};

}  // namespace cottonwing::overload
