// A pool of buffers of one size, and byte queues built from them.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace meadowgauge::transport {

// The size of each buffer, in bytes.
inline constexpr std::size_t buffer_size = std::size_t{16} * 1024;

class Pool;

// What a buffer is taken for.
enum class BufferUse : std::uint8_t {
  essential,  // the first buffer of a queue: a head, a short message, the part of a body that is moving
  shared      // more of a body, or unread input: speeds up its connection, which gets on without it
};

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
  Buffer(Pool* from, BufferUse use, std::unique_ptr<Block> bytes)
      : owner_(from), use_(use), bytes_(std::move(bytes)) {}
  void return_to_pool();
  Pool* owner_ = nullptr;
  BufferUse use_ = BufferUse::essential;
  std::unique_ptr<Block> bytes_;
};

// Something that waits for a buffer of a pool.
class BufferWaiter {
 public:
  // A buffer may be available. The waiter has left the queue.
  virtual void buffer_available() = 0;

 protected:
  ~BufferWaiter() = default;
};

// Lends up to `max_buffers` buffers at a time and reuses returned ones. Must outlive the buffers on loan.
//
// Some of the buffers are reserved for essential uses. A connection needs one essential buffer at a time to
// make progress. With a reserve of one buffer for each connection that may be open, no connection waits for
// buffers that another one holds. Buffers beyond the reserve are lent in the order of the calls.
class Pool {
 public:
  explicit Pool(std::size_t max_buffers) : max_buffers_(max_buffers) {}
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;
  ~Pool() = default;
  // Returns an empty buffer if `max_buffers` are on loan or, for a shared use, if the others are reserved.
  Buffer take(BufferUse use = BufferUse::essential);
  // Frees half of the idle buffers beyond a small reserve. Called periodically.
  void trim();
  // Changes the limit. Buffers on loan above the limit stay valid.
  void set_max_buffers(std::size_t max_buffers) { max_buffers_ = max_buffers; }
  // Sets the number of buffers that are only lent for essential uses.
  void set_reserve(std::size_t buffers) { reserve_ = buffers; }
  // The number of buffers on loan.
  [[nodiscard]] std::size_t out() const { return lent_; }
  // The number of idle buffers.
  [[nodiscard]] std::size_t spare() const { return idle_buffers_.size(); }

  // Queues `waiter` until a buffer is available. No effect if it waits already.
  void wait(BufferWaiter& waiter);
  // Removes `waiter` from the queue. To be called before a waiter is destroyed.
  void stop_waiting(BufferWaiter& waiter);
  // Notifies the waiters in their order, one for each available buffer. Called once a loop turn.
  void notify_waiters();

 private:
  friend class Buffer;
  std::size_t max_buffers_;
  std::size_t reserve_ = 0;
  std::size_t lent_ = 0;
  std::size_t lent_shared_ = 0;  // of these for shared uses
  std::vector<std::unique_ptr<Buffer::Block>> idle_buffers_;
  std::list<BufferWaiter*> waiters_;
};

// A byte queue stored in buffers of `pool`, which must outlive the queue.
class Chain {
 public:
  // `further_use`: of all buffers but the first, which is essential.
  explicit Chain(Pool& pool, BufferUse further_use = BufferUse::shared)
      : pool_(&pool), further_use_(further_use) {}

  // Appends all of `bytes`, or nothing if the pool has too few buffers (false).
  [[nodiscard]] bool append(std::string_view bytes);
  // Takes a buffer for `use` if fewer than `min_bytes`, at most `buffer_size`, fit into the last one; the
  // first buffer is essential. Returns how many bytes append() accepts without another buffer; less than
  // `min_bytes` if the pool has none.
  std::size_t ensure_space(std::size_t min_bytes, BufferUse use);
  // Drops the first `n` bytes, or all if there are fewer. Buffers that become empty return to the pool.
  void consume(std::size_t n);
  // Drops `n` bytes from offset `from` on, or all behind it if there are fewer.
  void erase(std::size_t from, std::size_t n);
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
  struct Segment {
    char* data;
    std::size_t size;
  };
  [[nodiscard]] Segment segment_at(std::size_t offset) const;
  [[nodiscard]] std::size_t free_space() const { return buffers_.size() * buffer_size - start_ - size_; }
  [[nodiscard]] bool add_buffer(BufferUse further_use);

  Pool* pool_;
  BufferUse further_use_;
  std::vector<Buffer> buffers_;
  std::size_t start_ = 0;  // offset in the first buffer
  std::size_t size_ = 0;
};

}  // namespace meadowgauge::transport
