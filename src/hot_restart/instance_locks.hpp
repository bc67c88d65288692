// Finds the running processes of one balancer and the order of their starts. Each process locks a file of its
// own; the system releases the lock even if the process crashes.
#pragma once

#include <string>
#include <vector>

#include "hot_restart/state_directory.hpp"
#include "hot_restart/takeover.hpp"

namespace meadowgauge::hot_restart {

// Owns the lock and the lock file of this process.
class InstanceLocks {
 public:
  // Takes the lock with the next number. Without a state directory, takes no lock and scan() finds no
  // process.
  explicit InstanceLocks(StateDirectory directory);
  ~InstanceLocks();
  InstanceLocks(const InstanceLocks&) = delete;
  InstanceLocks& operator=(const InstanceLocks&) = delete;

  // Counts the other running processes. Removes the lock files of processes that have ended.
  PeerProcesses scan();
  // Marks this process as serving in its lock file, where other processes read it.
  void mark_serving();

 private:
  [[nodiscard]] std::string path_of(long number) const;
  [[nodiscard]] std::vector<long> find_numbers() const;

  StateDirectory directory_;
  long number_ = 0;  // processes started later have higher numbers
  FileLock own_lock_;
};

}  // namespace meadowgauge::hot_restart
