/// @file
/// The buffer of one direction of one connection.
#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "net/memory_budget.h"

namespace cottonwing::net {

/// A queue of bytes in a ring that grows as needed up to its limit, and within a budget that it may share
/// with other rings. One that becomes empty releases its storage if that is larger than 16 kB.
///
/// Views that it returns are valid until the next call that is not const.
class ByteRing {
public:
    /// @param maxBytes that it may hold.
    /// @param budget counts the capacity of the ring; none: only maxBytes limits it.
    explicit ByteRing(std::size_t maxBytes, std::shared_ptr<MemoryBudget> budget = nullptr);
    ~ByteRing();
    ByteRing(const ByteRing&) = delete;
    ByteRing& operator=(const ByteRing&) = delete;

    /// Bytes that it holds.
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    /// Bytes that it may still take under its own limit; the budget may allow fewer.
    std::size_t freeBytes() const { return maxBytes_ - size_; }
    /// Bytes that are allocated.
    std::size_t capacity() const { return capacity_; }

    /// Appends all of the bytes or, where they don't fit under the limit or the budget, none.
    /// @return whether they were appended.
    bool write(std::string_view bytes);

    /// Free storage behind the last byte, in one piece, which may be shorter than wanted; commit() appends
    /// what was put there. Empty only when the ring is full or the budget is used up.
    std::span<char> prepare(std::size_t wanted = 1);

    /// Appends the first count bytes of what space() returned.
    void commit(std::size_t count) { size_ += count; }

    /// The position of the first such byte at or after from, or size() when there is none.
    std::size_t find(char byte, std::size_t from) const;

    /// The first bytes, as far as they lie in one piece; empty only when the ring is.
    std::string_view front() const;

    /// The first count bytes in one piece; they are copied to scratch where they lie in two.
    /// @param count not more than size().
    std::string_view peek(std::size_t count, std::string& scratch) const;

    /// Removes the first count bytes.
    /// @param count not more than size().
    void drop(std::size_t count);

    /// Keeps the present storage alive while the system still reads from it, also if the ring grows
    /// meanwhile.
    std::shared_ptr<char[]> pin() const { return storage_; }

private:
    bool grow(std::size_t wanted);
    void setCapacity(std::size_t capacity);

    std::size_t maxBytes_;
    std::shared_ptr<MemoryBudget> budget_;
    std::shared_ptr<char[]> storage_;
    std::size_t capacity_ = 0;
    std::size_t head_ = 0;  // position of the first byte in the storage
    std::size_t size_ = 0;
};

}  // namespace cottonwing::net
