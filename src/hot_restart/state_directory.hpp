// The files that the processes of one balancer share. Without a folder there are no files, and no state
// outlives the process.
#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "transport/fd.hpp"

namespace meadowgauge::hot_restart {

// Holds a lock on a file until the descriptor is closed or the process ends.
using FileLock = transport::Fd;

// Reads and writes the shared files. Each file is written as a whole; lock() serializes the writers.
class StateDirectory {
 public:
  StateDirectory() = default;
  // `name` is the balancer's name, which is part of all file names. `folder` may be empty.
  StateDirectory(const std::string& folder, std::string_view name);

  // Whether the processes share a folder.
  [[nodiscard]] bool exists() const { return !base_.empty(); }
  [[nodiscard]] std::string path_of(std::string_view file) const { return base_ + std::string(file); }
  // Blocks until this process holds the lock. Returns an empty lock if the folder is missing or not writable.
  [[nodiscard]] FileLock lock() const;
  // Replaces a file atomically, so that no process reads a partial file. On an error, the old file remains.
  [[nodiscard]] std::error_code write(std::string_view file, std::string_view text) const;
  // Returns the content of a file, up to about 1 MiB; empty if the file is missing or unreadable.
  [[nodiscard]] std::string read(std::string_view file) const;

  [[nodiscard]] const std::string& folder() const { return folder_; }
  // The prefix of all file names of the balancer.
  [[nodiscard]] const std::string& stem() const { return stem_; }

 private:
  std::string folder_;
  std::string stem_;
  std::string base_;  // folder and stem
};

}  // namespace meadowgauge::hot_restart
