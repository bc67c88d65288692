// The running processes of one balancer, in the order of their start. Each holds a lock on its own file; the
// system releases the lock however the process ends.
#pragma once

#include <string>
#include <vector>

#include "hot_restart/state_directory.hpp"
#include "hot_restart/takeover.hpp"

namespace meadowgauge::hot_restart {

// Owns this process's lock and its file.
class InstanceLocks {
 public:
  // Takes the lock with the next number. Without a state directory it holds no lock and finds no process.
  explicit InstanceLocks(StateDirectory directory);
  ~InstanceLocks();
  InstanceLocks(const InstanceLocks&) = delete;
  InstanceLocks& operator=(const InstanceLocks&) = delete;

  // The other running processes. Removes the files of ended processes.
  PeerProcesses scan();
  // Marks this process as serving, for the others to see.
  void mark_serving();

 private:
  [[nodiscard]] std::string path_of(long number) const;
  [[nodiscard]] std::vector<long> numbers() const;

  StateDirectory directory_;
  long number_ = 0;  // a later process has a higher number
  FileLock held_;
};

}  // namespace meadowgauge::hot_restart
