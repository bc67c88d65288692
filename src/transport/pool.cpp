#include "transport/pool.hpp"

#include <algorithm>
#include <cstring>

namespace meadowgauge::transport {

Buffer::Buffer(Buffer&& o) noexcept : from_(o.from_), bytes_(std::move(o.bytes_)) {}

Buffer& Buffer::operator=(Buffer&& o) noexcept {
  if (this != &o) {
    give_back();
    from_ = o.from_;
    bytes_ = std::move(o.bytes_);
  }
  return *this;
}

Buffer::~Buffer() { give_back(); }

void Buffer::give_back() {
  if (!bytes_) return;
  --from_->out_;
  from_->spare_.push_back(std::move(bytes_));
}

Buffer Pool::take() {
  if (out_ >= max_buffers_) return {};
  ++out_;
  if (spare_.empty()) return {this, std::make_unique_for_overwrite<Buffer::Block>()};
  Buffer b{this, std::move(spare_.back())};
  spare_.pop_back();
  return b;
}

void Pool::trim() {
  constexpr std::size_t kept_idle = 16;
  if (spare_.size() > kept_idle) spare_.resize(spare_.size() - (spare_.size() - kept_idle + 1) / 2);
}

bool Chain::append(std::string_view bytes) {
  auto capacity = buffers_.size() * buffer_size - start_ - size_;
  auto kept = buffers_.size();
  while (capacity < bytes.size()) {
    auto b = pool_->take();
    if (!b) {
      buffers_.resize(kept);
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

void Chain::drop_after(std::size_t n) {
  size_ = std::min(size_, n);
  buffers_.resize((start_ + size_ + buffer_size - 1) / buffer_size);
  if (size_ == 0) start_ = 0;
}

std::string_view Chain::front() const {
  if (size_ == 0) return {};
  return {buffers_.front().data() + start_, std::min(size_, buffer_size - start_)};
}

}  // namespace meadowgauge::transport
