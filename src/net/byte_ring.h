/// @file
/// A ring buffer of bytes: the input or the output buffer of a connection.
#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "net/memory_budget.h"

namespace cottonwing::net {

/// A FIFO queue of bytes in a ring buffer, which grows on demand up to its own limit and within a memory
/// budget that it may share with other rings. A part of the budget can be guaranteed to the ring: it is set
/// aside for its lifetime, so that growing up to it never fails. When the ring becomes empty, storage beyond
/// that part is freed, or beyond 16 kB if nothing is guaranteed.
///
/// Returned views are valid until the next call of a non-const member function.
class ByteRing {
public:
    /// @param maxBytes the largest number of bytes in the ring.
    /// @param budget charged with the capacity of the ring; if null, only maxBytes limits it.
    /// @param guaranteedBytes of the budget; at most maxBytes.
    explicit ByteRing(std::size_t maxBytes, std::shared_ptr<MemoryBudget> budget = nullptr,
                      std::size_t guaranteedBytes = 0);
    ~ByteRing() = default;
    ByteRing(const ByteRing&) = delete;
    ByteRing& operator=(const ByteRing&) = delete;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    /// The number of bytes that can still be appended under maxBytes; the budget may allow fewer.
    std::size_t freeBytes() const { return maxBytes_ - size_; }
    /// The allocated storage in bytes.
    std::size_t capacity() const { return capacity_; }

    /// The bytes of the budget that the ring holds beyond those that are guaranteed to it.
    std::size_t bytesBeyondGuarantee() const { return reservation_.bytes() - guaranteedBytes_; }

    /// Whether write() would append this many bytes.
    bool canWrite(std::size_t count) const;

    /// Appends all of the bytes, or none if they exceed the limit or the budget.
    /// @return whether the bytes were appended.
    bool write(std::string_view bytes);

    /// Returns contiguous free storage behind the last byte, for the caller to fill and then commit(). It may
    /// be shorter than wanted, and is empty only when the ring is full or the budget is exhausted.
    std::span<char> prepare(std::size_t wanted = 1);

    /// Appends the first count bytes of the storage that prepare() returned.
    void commit(std::size_t count) { size_ += count; }

    /// The position of the first occurrence of byte at or after from, or size() if there is none.
    std::size_t find(char byte, std::size_t from) const;

    /// The longest contiguous run of bytes at the front; empty only if the ring is empty.
    std::string_view front() const;

    /// The first count bytes as one contiguous view. Bytes that wrap around the end of the storage are copied
    /// to scratch, which the view then refers to.
    /// @param count at most size().
    std::string_view peek(std::size_t count, std::string& scratch) const;

    /// Removes the first count bytes.
    /// @param count at most size().
    void drop(std::size_t count);

    /// Drops all bytes and frees the storage and the guaranteed part of the budget; for a ring that is not
    /// used any more.
    void release();

    /// Shares ownership of the current storage, so that a pending write can still read from it after the ring
    /// has grown.
    std::shared_ptr<char[]> pin() const { return storage_; }

private:
    bool grow(std::size_t wanted);
    bool growTo(std::size_t capacity);
    std::size_t reservationFor(std::size_t capacity) const;
    void freeStorage();

    std::size_t maxBytes_;
    std::size_t guaranteedBytes_;
    MemoryReservation reservation_;  // of the capacity, or of what is guaranteed if that is more
    std::shared_ptr<char[]> storage_;
    std::size_t capacity_ = 0;
    std::size_t head_ = 0;  // offset of the first byte in the storage
    std::size_t size_ = 0;
};

}  // namespace cottonwing::net
