#include "net/byte_ring.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace cottonwing::net {

namespace {

constexpr std::size_t kInitialCapacityBytes = 2048;
constexpr std::size_t kMaxCapacityWhenEmptyBytes = 16384;

}  // namespace

ByteRing::ByteRing(std::size_t maxBytes, std::shared_ptr<MemoryBudget> budget)
    : maxBytes_(maxBytes), budget_(std::move(budget)) {}

ByteRing::~ByteRing() { setCapacity(0); }

bool ByteRing::write(std::string_view bytes) {
    if (bytes.size() > freeBytes()) return false;
    if (size_ + bytes.size() > capacity_ && !grow(size_ + bytes.size())) return false;
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
    if (size_ == 0 && capacity_ > kMaxCapacityWhenEmptyBytes) {
        storage_.reset();
        setCapacity(0);
    }
}

bool ByteRing::grow(std::size_t wanted) {
    const std::size_t capacity =
        std::min(maxBytes_, std::max({wanted, 2 * capacity_, kInitialCapacityBytes}));
    if (budget_ != nullptr && budget_->usedBytes + capacity - capacity_ > budget_->limitBytes) return false;
    std::shared_ptr<char[]> storage(new char[capacity]);
    if (size_ > 0) {
        const std::string_view first = front();
        std::memcpy(storage.get(), first.data(), first.size());
        std::memcpy(storage.get() + first.size(), storage_.get(), size_ - first.size());
    }
    storage_ = std::move(storage);
    setCapacity(capacity);
    head_ = 0;
    return true;
}

void ByteRing::setCapacity(std::size_t capacity) {
    if (budget_ != nullptr) budget_->usedBytes += capacity - capacity_;
    capacity_ = capacity;
}

}  // namespace cottonwing::net
