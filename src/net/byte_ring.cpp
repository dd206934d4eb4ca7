#include "net/byte_ring.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace cottonwing::net {

namespace {

constexpr std::size_t kInitialCapacityBytes = 2048;
constexpr std::size_t kMaxCapacityWhenEmptyBytes = 16384;

}  // namespace

ByteRing::ByteRing(std::size_t maxBytes, std::shared_ptr<MemoryBudget> budget, std::size_t guaranteedBytes)
    : maxBytes_(maxBytes),
      guaranteedBytes_(guaranteedBytes),
      reservation_(std::move(budget), guaranteedBytes) {}

void ByteRing::release() {
    size_ = 0;
    head_ = 0;
    guaranteedBytes_ = 0;
    freeStorage();
}

bool ByteRing::canWrite(std::size_t count) const {
    return count <= freeBytes() &&
           (size_ + count <= capacity_ || reservation_.canResize(reservationFor(size_ + count)));
}

bool ByteRing::write(std::string_view bytes) {
    if (bytes.size() > freeBytes()) return false;
    const std::size_t wanted = size_ + bytes.size();
    if (wanted > capacity_ && !grow(wanted) && !growTo(wanted)) return false;
    while (!bytes.empty()) {
        const std::span<char> free = prepare(bytes.size());
        const std::size_t count = std::min(free.size(), bytes.size());
        std::memcpy(free.data(), bytes.data(), count);
        commit(count);
        bytes.remove_prefix(count);
    }
    return true;
}

std::span<char> ByteRing::prepare(std::size_t wanted) {
    // If the ring cannot grow, the free part of the current storage is returned.
    if (size_ + wanted > capacity_ && capacity_ < maxBytes_) static_cast<void>(grow(size_ + wanted));
    if (size_ == capacity_) return {};
    const std::size_t tail = (head_ + size_) % capacity_;
    const std::size_t end = tail < head_ ? head_ : capacity_;
    return {storage_.get() + tail, end - tail};
}

std::size_t ByteRing::find(char byte, std::size_t from) const {
    const std::string_view first = front();
    const std::string_view wrapped(storage_.get(), size_ - first.size());
    if (from < first.size()) {
        const std::size_t position = first.find(byte, from);
        if (position != std::string_view::npos) return position;
        from = first.size();
    }
    const std::size_t position = wrapped.find(byte, from - first.size());
    return position == std::string_view::npos ? size_ : first.size() + position;
}

std::string_view ByteRing::front() const {
    return {storage_.get() + head_, std::min(size_, capacity_ - head_)};
}

std::string_view ByteRing::peek(std::size_t count, std::string& scratch) const {
    const std::string_view first = front();
    if (first.size() >= count) return first.substr(0, count);
    scratch.assign(first);
    scratch.append(storage_.get(), count - first.size());
    return scratch;
}

void ByteRing::drop(std::size_t count) {
    size_ -= count;
    head_ = size_ == 0 ? 0 : (head_ + count) % capacity_;
    const std::size_t keptBytes = guaranteedBytes_ > 0 ? guaranteedBytes_ : kMaxCapacityWhenEmptyBytes;
    if (size_ == 0 && capacity_ > keptBytes) freeStorage();
}

// Grows to at least what is wanted, in steps that are large enough for few copies.
bool ByteRing::grow(std::size_t wanted) {
    return growTo(
        std::min(maxBytes_, std::max({wanted, 2 * capacity_, kInitialCapacityBytes, guaranteedBytes_})));
}

bool ByteRing::growTo(std::size_t capacity) {
    const std::size_t reservedBytes = reservationFor(capacity);
    if (capacity <= capacity_ || !reservation_.canResize(reservedBytes)) return false;
    std::shared_ptr<char[]> storage(new char[capacity]);
    if (size_ > 0) {
        const std::string_view first = front();
        std::memcpy(storage.get(), first.data(), first.size());
        std::memcpy(storage.get() + first.size(), storage_.get(), size_ - first.size());
    }
    storage_ = std::move(storage);
    reservation_.resize(reservedBytes);
    capacity_ = capacity;
    head_ = 0;
    return true;
}

std::size_t ByteRing::reservationFor(std::size_t capacity) const {
    return std::max(capacity, guaranteedBytes_);
}

void ByteRing::freeStorage() {
    storage_.reset();
    capacity_ = 0;
    reservation_.resize(reservationFor(0));
}

}  // namespace cottonwing::net
