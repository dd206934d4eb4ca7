/// @file
/// A memory limit that several buffers share.
#pragma once

#include <cstddef>
#include <cstdint>

namespace cottonwing::net {

/// The limit on the total allocation of a group of buffers, and their current allocation.
struct MemoryBudget {
    std::size_t limitBytes = SIZE_MAX;
    std::size_t usedBytes = 0;
};

}  // namespace cottonwing::net
