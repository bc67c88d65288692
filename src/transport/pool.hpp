// A pool of buffers of one size, and byte queues built from them.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace meadowgauge::transport {

// The size of each buffer, in bytes.
inline constexpr std::size_t buffer_size = std::size_t{16} * 1024;

class Pool;

// A buffer borrowed from a Pool; the destructor returns it to the pool. Empty after it was moved from.
class Buffer {
 public:
  using Block = std::array<char, buffer_size>;

  Buffer() = default;
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  Buffer(Buffer&& o) noexcept;
  Buffer& operator=(Buffer&& o) noexcept;
  ~Buffer();
  // `buffer_size` uninitialized bytes; null if empty.
  [[nodiscard]] char* data() const { return bytes_ ? bytes_->data() : nullptr; }
  explicit operator bool() const { return bytes_ != nullptr; }

 private:
  friend class Pool;
  Buffer(Pool* from, std::unique_ptr<Block> bytes) : owner_(from), bytes_(std::move(bytes)) {}
  void return_to_pool();
  Pool* owner_ = nullptr;
  std::unique_ptr<Block> bytes_;
};

// Lends up to `max_buffers` buffers at a time and reuses returned ones. Must outlive the buffers on loan.
class Pool {
 public:
  explicit Pool(std::size_t max_buffers) : max_buffers_(max_buffers) {}
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;
  ~Pool() = default;
  // Returns an empty buffer if `max_buffers` are on loan.
  Buffer take();
  // Frees half of the idle buffers beyond a small reserve. Called periodically.
  void trim();
  // Changes the limit. Buffers on loan above the limit stay valid.
  void set_max_buffers(std::size_t max_buffers) { max_buffers_ = max_buffers; }
  // The number of buffers on loan.
  [[nodiscard]] std::size_t out() const { return lent_; }
  // The number of idle buffers.
  [[nodiscard]] std::size_t spare() const { return idle_buffers_.size(); }

 private:
  friend class Buffer;
  std::size_t max_buffers_;
  std::size_t lent_ = 0;
  std::vector<std::unique_ptr<Buffer::Block>> idle_buffers_;
};

// A byte queue stored in buffers of `pool`, which must outlive the queue.
class Chain {
 public:
  explicit Chain(Pool& pool) : pool_(&pool) {}

  // Appends all of `bytes`, or nothing if the pool has too few buffers (false).
  [[nodiscard]] bool append(std::string_view bytes);
  // Drops the first `n` bytes, or all if there are fewer. Buffers that become empty return to the pool.
  void consume(std::size_t n);
  // Drops all bytes.
  void clear() { consume(size_); }
  // Keeps the first `n` bytes and drops the rest.
  void truncate_to(std::size_t n);
  [[nodiscard]] std::size_t size() const { return size_; }
  // The first contiguous segment; empty if the queue is empty.
  [[nodiscard]] std::string_view front() const;
  // Calls f(std::string_view) for each contiguous segment from offset `from` on.
  template <class F>
  void each(std::size_t from, F&& f) const {
    std::size_t at = start_;
    std::size_t left = size_;
    for (const auto& b : buffers_) {
      auto here = std::min(buffer_size - at, left);
      auto skip = std::min(from, here);
      if (here > skip) f(std::string_view(b.data() + at + skip, here - skip));
      from -= skip;
      left -= here;
      at = 0;
    }
  }

 private:
  Pool* pool_;
  std::vector<Buffer> buffers_;
  std::size_t start_ = 0;  // offset in the first buffer
  std::size_t size_ = 0;
};

}  // namespace meadowgauge::transport
