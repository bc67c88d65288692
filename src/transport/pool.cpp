#include "transport/pool.hpp"

#include <algorithm>
#include <cstring>

namespace meadowgauge::transport {

Buffer::Buffer(Buffer&& o) noexcept : owner_(o.owner_), bytes_(std::move(o.bytes_)) {}

Buffer& Buffer::operator=(Buffer&& o) noexcept {
  if (this != &o) {
    return_to_pool();
    owner_ = o.owner_;
    bytes_ = std::move(o.bytes_);
  }
  return *this;
}

Buffer::~Buffer() { return_to_pool(); }

void Buffer::return_to_pool() {
  if (!bytes_) return;
  --owner_->lent_;
  owner_->idle_buffers_.push_back(std::move(bytes_));
}

Buffer Pool::take() {
  if (lent_ >= max_buffers_) return {};
  ++lent_;
  if (idle_buffers_.empty()) return {this, std::make_unique_for_overwrite<Buffer::Block>()};
  Buffer b{this, std::move(idle_buffers_.back())};
  idle_buffers_.pop_back();
  return b;
}

void Pool::trim() {
  constexpr std::size_t idle_reserve = 16;
  if (idle_buffers_.size() > idle_reserve)
    idle_buffers_.resize(idle_buffers_.size() - (idle_buffers_.size() - idle_reserve + 1) / 2);
}

bool Chain::append(std::string_view bytes) {
  auto capacity = buffers_.size() * buffer_size - start_ - size_;
  auto old_count = buffers_.size();
  while (capacity < bytes.size()) {
    auto b = pool_->take();
    if (!b) {
      buffers_.resize(old_count);
      return false;
    }
    buffers_.push_back(std::move(b));
    capacity += buffer_size;
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
