/// @file
/// A memory limit that several buffers share, and the part of it that one owner holds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace cottonwing::net {

/// The limit on the total allocation of a group of buffers, and their current allocation.
struct MemoryBudget {
    std::size_t limitBytes = SIZE_MAX;
    std::size_t usedBytes = 0;

    /// Whether this much more can be allocated.
    bool hasRoomFor(std::size_t bytes) const {
        return usedBytes <= limitBytes && bytes <= limitBytes - usedBytes;
    }
};

/// Memory of a budget that is set aside for a later use. The destructor gives it back.
class MemoryReservation {
public:
    /// Holds nothing.
    MemoryReservation() = default;
    /// Takes the bytes in any case; the caller has asked MemoryBudget::hasRoomFor().
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::size_t bytes)
        : budget_(std::move(budget)), bytes_(bytes) {
        budget_->usedBytes += bytes_;
    }
    ~MemoryReservation() { release(); }
    MemoryReservation(MemoryReservation&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    MemoryReservation& operator=(MemoryReservation&& other) noexcept {
        if (this == &other) return *this;
        release();
        budget_ = std::exchange(other.budget_, nullptr);
        bytes_ = std::exchange(other.bytes_, 0);
        return *this;
    }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    std::size_t bytes() const { return bytes_; }

    /// Changes the size, if the budget has room for what is added.
    /// @return whether the size was changed.
    bool resize(std::size_t bytes) {
        if (bytes > bytes_ && !budget_->hasRoomFor(bytes - bytes_)) return false;
        budget_->usedBytes += bytes - bytes_;
        bytes_ = bytes;
        return true;
    }

    /// Gives the memory back.
    void release() {
        if (budget_ != nullptr) budget_->usedBytes -= bytes_;
        bytes_ = 0;
    }

private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

}  // namespace cottonwing::net
