#include "hot_restart/shared_memory.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include "transport/fd.hpp"

namespace meadowgauge::hot_restart {

SharedMemory::SharedMemory(const std::string& path, std::size_t size) : size_(size) {
  const transport::Fd fd(open(path.c_str(), O_RDWR | O_CREAT | O_NOFOLLOW | O_CLOEXEC, 0600));
  if (!fd) return;
  struct stat status {};
  if (fstat(fd.get(), &status) != 0) return;
  // A file of another size is of another version of the program: it is not shortened under its users.
  const auto file_size = static_cast<off_t>(size);
  if (status.st_size < file_size && ftruncate(fd.get(), file_size) != 0) return;
  void* mapped = mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, fd.get(), 0);
  if (mapped != MAP_FAILED) data_ = mapped;
}

SharedMemory::~SharedMemory() {
  if (data_ != nullptr) munmap(data_, size_);
}

}  // namespace meadowgauge::hot_restart
