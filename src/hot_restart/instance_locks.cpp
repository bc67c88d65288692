#include "hot_restart/instance_locks.hpp"

#include <fcntl.h>
#include <sys/file.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <utility>

namespace meadowgauge::hot_restart {

namespace {

constexpr std::string_view file_prefix = "seat.";  // name on disk
constexpr char serving_mark = 'y';                 // the only byte of the lock file, once its process serves

}  // namespace

InstanceLocks::InstanceLocks(StateDirectory directory) : directory_(std::move(directory)) {
  auto lock = directory_.lock();
  if (!lock) return;
  long max_number = 0;
  for (long number : find_numbers()) max_number = std::max(max_number, number);
  own_lock_ =
      FileLock(open(path_of(max_number + 1).c_str(), O_RDWR | O_CREAT | O_NOFOLLOW | O_CLOEXEC, 0600));
  if (own_lock_ && flock(own_lock_.get(), LOCK_EX | LOCK_NB) != 0) own_lock_.close();
  if (own_lock_) number_ = max_number + 1;
}

InstanceLocks::~InstanceLocks() {
  if (own_lock_) unlink(path_of(number_).c_str());
}

std::string InstanceLocks::path_of(long number) const {
  return directory_.path_of(std::string(file_prefix) + std::to_string(number));
}

std::vector<long> InstanceLocks::find_numbers() const {
  std::vector<long> all;
  auto stem = directory_.stem() + std::string(file_prefix);
  std::error_code error;
  for (std::filesystem::directory_iterator it(directory_.folder(), error), end; !error && it != end;
       it.increment(error)) {
    auto name = it->path().filename().string();
    if (!name.starts_with(stem)) continue;
    const char* name_end = name.data() + name.size();
    long number = 0;
    auto [stop, failure] = std::from_chars(name.data() + stem.size(), name_end, number);
    if (failure == std::errc{} && stop == name_end && number > 0) all.push_back(number);
  }
  return all;
}

PeerProcesses InstanceLocks::scan() {
  PeerProcesses peers;
  if (!own_lock_) return peers;
  for (long number : find_numbers()) {
    if (number == number_) continue;
    auto path = path_of(number);
    FileLock other(open(path.c_str(), O_RDONLY | O_NOFOLLOW | O_CLOEXEC));
    if (!other) continue;
    // The lock is free, so the process has ended without removing its file.
    if (flock(other.get(), LOCK_SH | LOCK_NB) == 0) {
      unlink(path.c_str());
      continue;
    }
    char mark = 0;
    bool is_serving = pread(other.get(), &mark, 1, 0) == 1 && mark == serving_mark;
    ++(number < number_ ? peers.older : peers.newer);
    peers.newer_serves = peers.newer_serves || (number > number_ && is_serving);
  }
  return peers;
}

void InstanceLocks::mark_serving() {
  if (own_lock_ && pwrite(own_lock_.get(), &serving_mark, 1, 0) != 1) own_lock_.close();
}

}  // namespace meadowgauge::hot_restart
