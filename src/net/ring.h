/// @file
/// The earlier name of net/byte_ring.h.
#pragma once

#include "net/byte_ring.h"
