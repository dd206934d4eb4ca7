/// @file
/// A limit on memory that several buffers share.
#pragma once

#include <cstddef>
#include <cstdint>

namespace cottonwing::net {

/// What the buffers of one kind of connection may allocate together, and what they have allocated.
struct MemoryBudget {
    std::size_t limitBytes = SIZE_MAX;
    std::size_t usedBytes = 0;
};

}  // namespace cottonwing::net
