#include "transport/pool.hpp"

#include <algorithm>
#include <cstring>

namespace meadowgauge::transport {

Buffer::Buffer(Buffer&& o) noexcept : owner_(o.owner_), use_(o.use_), bytes_(std::move(o.bytes_)) {}

Buffer& Buffer::operator=(Buffer&& o) noexcept {
  if (this != &o) {
    return_to_pool();
    owner_ = o.owner_;
    use_ = o.use_;
    bytes_ = std::move(o.bytes_);
  }
  return *this;
}

Buffer::~Buffer() { return_to_pool(); }

void Buffer::return_to_pool() {
  if (!bytes_) return;
  --owner_->lent_;
  if (use_ == BufferUse::shared) --owner_->lent_shared_;
  owner_->idle_buffers_.push_back(std::move(bytes_));
}

Buffer Pool::take(BufferUse use) {
  if (lent_ >= max_buffers_) return {};
  if (use == BufferUse::shared) {
    if (lent_shared_ + reserve_ >= max_buffers_) return {};
    ++lent_shared_;
  }
  ++lent_;
  if (idle_buffers_.empty()) return {this, use, std::make_unique_for_overwrite<Buffer::Block>()};
  Buffer b{this, use, std::move(idle_buffers_.back())};
  idle_buffers_.pop_back();
  return b;
}

void Pool::trim() {
  constexpr std::size_t idle_reserve = 16;
  if (idle_buffers_.size() > idle_reserve)
    idle_buffers_.resize(idle_buffers_.size() - (idle_buffers_.size() - idle_reserve + 1) / 2);
}

void Pool::wait(BufferWaiter& waiter) {
  if (std::ranges::find(waiters_, &waiter) == waiters_.end()) waiters_.push_back(&waiter);
}

void Pool::stop_waiting(BufferWaiter& waiter) { waiters_.remove(&waiter); }

void Pool::notify_waiters() {
  for (auto available = max_buffers_ - std::min(max_buffers_, lent_); available > 0 && !waiters_.empty();
       --available) {
    auto* waiter = waiters_.front();
    waiters_.pop_front();
    waiter->buffer_available();
  }
}

bool Chain::add_buffer(BufferUse further_use) {
  auto b = pool_->take(buffers_.empty() ? BufferUse::essential : further_use);
  if (!b) return false;
  buffers_.push_back(std::move(b));
  return true;
}

bool Chain::append(std::string_view bytes) {
  auto old_count = buffers_.size();
  while (free_space() < bytes.size()) {
    if (add_buffer(further_use_)) continue;
    buffers_.resize(old_count);
    return false;
  }
  while (!bytes.empty()) {
    auto at = start_ + size_;
    auto n = std::min(bytes.size(), buffer_size - at % buffer_size);
    std::memcpy(buffers_[at / buffer_size].data() + at % buffer_size, bytes.data(), n);
    bytes.remove_prefix(n);
    size_ += n;
  }
  return true;
}

void Chain::consume(std::size_t n) {
  n = std::min(n, size_);
  start_ += n;
  size_ -= n;
  auto used = size_ == 0 ? buffers_.size() : start_ / buffer_size;
  buffers_.erase(buffers_.begin(), buffers_.begin() + static_cast<std::ptrdiff_t>(used));
  start_ = size_ == 0 ? 0 : start_ % buffer_size;
}

std::size_t Chain::ensure_space(std::size_t min_bytes, BufferUse use) {
  if (free_space() < min_bytes) static_cast<void>(add_buffer(use));
  return free_space();
}

Chain::Segment Chain::segment_at(std::size_t offset) const {
  auto at = start_ + offset;
  return {.data = buffers_[at / buffer_size].data() + at % buffer_size,
          .size = std::min(buffer_size - at % buffer_size, size_ - offset)};
}

void Chain::erase(std::size_t from, std::size_t n) {
  from = std::min(from, size_);
  n = std::min(n, size_ - from);
  auto to = from;
  for (auto source = from + n; source < size_;) {
    auto target = segment_at(to);
    auto origin = segment_at(source);
    auto length = std::min(target.size, origin.size);
    std::memmove(target.data, origin.data, length);
    to += length;
    source += length;
  }
  truncate_to(size_ - n);
}

void Chain::truncate_to(std::size_t n) {
  size_ = std::min(size_, n);
  buffers_.resize((start_ + size_ + buffer_size - 1) / buffer_size);
  if (size_ == 0) start_ = 0;
}

std::string_view Chain::front() const {
  if (size_ == 0) return {};
  return {buffers_.front().data() + start_, std::min(size_, buffer_size - start_)};
}

}  // namespace meadowgauge::transport
