// One direction of one connection: a ring of bytes that grows as it is needed and never past its bound.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cottonwing::net {

// What the rings of one kind of connection hold together, and may.
struct Total {
    std::size_t most = SIZE_MAX, held = 0;
};

class Ring {
public:
    explicit Ring(std::size_t most, std::shared_ptr<Total> total = nullptr)
        : most_(most), total_(std::move(total)) {}
    ~Ring() { hold(0); }
    Ring(const Ring&) = delete;
    Ring& operator=(const Ring&) = delete;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::size_t room() const { return most_ - size_; }
    std::size_t capacity() const { return capacity_; }

    // All of the bytes or, where they don't fit under the bound, none.
    bool write(std::string_view bytes) {
        if (bytes.size() > room()) return false;
        if (size_ + bytes.size() > capacity_ && !grow(size_ + bytes.size())) return false;
        while (!bytes.empty()) {
            const std::span<char> to = space(bytes.size());
            const std::size_t part = std::min(to.size(), bytes.size());
            std::memcpy(to.data(), bytes.data(), part);
            commit(part);
            bytes.remove_prefix(part);
        }
        return true;
    }

    // Where the next bytes may be put; empty only when the ring is full, or all rings together are.
    std::span<char> space(std::size_t wanted = 1) {
        if (size_ + wanted > capacity_ && capacity_ < most_) (void)grow(size_ + wanted);
        if (size_ == capacity_) return {};
        const std::size_t at = (head_ + size_) % capacity_;
        return {bytes_.get() + at, at < head_ ? head_ - at : capacity_ - at};
    }
    void commit(std::size_t count) { size_ += count; }

    // Where the byte first stands, from that place on; size() when it doesn't.
    std::size_t find(char byte, std::size_t from) const {
        const std::string_view piece = front(), rest(bytes_.get(), size_ - piece.size());
        if (from < piece.size()) {
            if (const std::size_t at = piece.find(byte, from); at != piece.npos) return at;
            from = piece.size();
        }
        const std::size_t at = rest.find(byte, from - piece.size());
        return at == rest.npos ? size_ : piece.size() + at;
    }

    // The first bytes, as far as they lie in one piece.
    std::string_view front() const { return {bytes_.get() + head_, std::min(size_, capacity_ - head_)}; }

    // The first count bytes in one piece, through scratch where they wrap.
    std::string_view peek(std::size_t count, std::string& scratch) const {
        const std::string_view piece = front();
        if (piece.size() >= count) return piece.substr(0, count);
        scratch.assign(piece);
        scratch.append(bytes_.get(), count - piece.size());
        return scratch;
    }

    void drop(std::size_t count) {
        size_ -= count;
        head_ = size_ == 0 ? 0 : (head_ + count) % capacity_;
        if (size_ == 0 && capacity_ > kKept) {
            bytes_.reset();
            hold(0);
        }
    }

    // Keeps the present storage alive while the system still reads from it, also if the ring grows.
    std::shared_ptr<char[]> pin() const { return bytes_; }

private:
    static constexpr std::size_t kFirst = 2048, kKept = 16384;

    void hold(std::size_t capacity) {
        if (total_ != nullptr) total_->held += capacity - capacity_;
        capacity_ = capacity;
    }

    bool grow(std::size_t wanted) {
        const std::size_t capacity = std::min(most_, std::max({wanted, 2 * capacity_, kFirst}));
        if (total_ != nullptr && total_->held + capacity - capacity_ > total_->most) return false;
        std::shared_ptr<char[]> bytes(new char[capacity]);
        const std::string_view piece = front();
        if (size_ > 0) {
            std::memcpy(bytes.get(), piece.data(), piece.size());
            std::memcpy(bytes.get() + piece.size(), bytes_.get(), size_ - piece.size());
        }
        bytes_ = std::move(bytes);
        hold(capacity);
        head_ = 0;
        return true;
    }

    std::size_t most_;
    std::shared_ptr<Total> total_;
    std::shared_ptr<char[]> bytes_;
    std::size_t capacity_ = 0, head_ = 0, size_ = 0;
};

}  // namespace cottonwing::net
