/// @file
/// Decodes the events of a batch, one line each, into the event types of the controller. The functions keep
/// no state and throw MalformedBatch on invalid input.
#pragma once

#include "config/controller_config.h"
#include "overload/types.h"
#include "simulator/wire_line.h"

namespace cottonwing::simulator {

/// Reads a request that arrived.
/// @param names  the names of the instance's request classes and tenants
Request readRequest(const WireLine& line, const config::NameTables& names);

/// Reads the end of a run or of a dependency call.
Completion readCompletion(const WireLine& line);

/// Reads the gauges of a tick; unknown ones are ignored.
Gauges readGauges(const WireLine& line);

}  // namespace cottonwing::simulator
