// Memory that the processes of one balancer share.
#pragma once

#include <cstddef>
#include <string>

namespace meadowgauge::hot_restart {

// Maps a file into memory. Owns the mapping; the file stays.
class SharedMemory {
 public:
  // Creates the file if it is missing; new bytes are zero.
  SharedMemory(const std::string& path, std::size_t size);
  ~SharedMemory();
  SharedMemory(const SharedMemory&) = delete;
  SharedMemory& operator=(const SharedMemory&) = delete;

  // The first of `size` bytes, aligned to a page; null if the file can't be created or mapped.
  [[nodiscard]] void* data() const { return data_; }

 private:
  std::size_t size_;
  void* data_ = nullptr;
};

}  // namespace meadowgauge::hot_restart
