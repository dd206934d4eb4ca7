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
    /// @param budget if null, nothing limits the size.
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::size_t bytes) : budget_(std::move(budget)) {
        setBytes(bytes);
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
        if (!canResize(bytes)) return false;
        setBytes(bytes);
        return true;
    }

    /// Whether resize() would change the size.
    bool canResize(std::size_t bytes) const {
        return bytes <= bytes_ || budget_ == nullptr || budget_->hasRoomFor(bytes - bytes_);
    }

    /// Gives the memory back.
    void release() { setBytes(0); }

private:
    void setBytes(std::size_t bytes) {
        if (budget_ != nullptr) budget_->usedBytes += bytes - bytes_;
        bytes_ = bytes;
    }

    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

}  // namespace cottonwing::net
