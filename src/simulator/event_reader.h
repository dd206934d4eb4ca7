/// @file
/// Decodes the events of a batch, one line each, into the event types of the controller. Pure; all functions
/// throw MalformedBatch.
#pragma once

#include "config/controller_config.h"
#include "overload/types.h"
#include "simulator/wire_line.h"

namespace cottonwing::simulator {

/// A request that arrived.
/// @param names  of the instance's request classes and tenants
Request readRequest(const WireLine& line, const config::NameTables& names);

/// The end of a run or of a dependency call.
Completion readCompletion(const WireLine& line);

/// The gauges of a tick; those that are unknown are ignored.
Gauges readGauges(const WireLine& line);

}  // namespace cottonwing::simulator
