// The servers drained by operators. A drain also holds for a process that an endpoint list shows under a new
// name. Does no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/endpoint_list.hpp"

namespace meadowgauge::proxy {

// Keeps the drained names, and the address and start of each drained process to recognize it under a new
// name.
class ManualDrains {
 public:
  // One process of a server. Only one process serves an address, so a different start time at the same
  // address means a different process.
  struct Process {
    std::string address;
    double started_ms = 0;
  };
  // A server whose drain has begun or ended.
  struct Change {
    std::string name;
    bool drained = false;
  };

  // Whether the server is drained by its name, or its process (by address and start time) is drained under
  // another name. Records what identifies the process.
  bool is_drained(const protocol::EndpointListEntry& listed);
  // Sets the complete set of drained names and returns the changes. `process_of(name)` returns the process of
  // a listed server as std::optional<Process>, empty for other names.
  template <class F>
  std::vector<Change> set(const std::set<std::string>& names, F&& process_of) {
    for (const auto& name : names)
      if (auto process = names_.contains(name) ? std::optional<Process>() : process_of(name))
        record_process(name, *process);
    return set(names);
  }
  // Forgets the aliases for which `is_listed(name)` is false.
  template <class F>
  void evict_unlisted(F&& is_listed) {
    std::erase_if(aliases_, [&](const auto& alias) { return !is_listed(alias.first); });
  }
  // Number of recorded processes and aliases.
  [[nodiscard]] std::size_t remembered() const { return by_address_.size() + aliases_.size(); }

 private:
  std::vector<Change> set(const std::set<std::string>& names);
  void record_process(const std::string& name, const Process& process);
  struct DrainedProcess {
    std::string name;
    double started_ms = 0;
  };
  std::set<std::string> names_;
  std::map<std::string, DrainedProcess> by_address_;  // address -> drained process
  std::map<std::string, std::string> aliases_;        // newer name of a process -> its drained name
};

}  // namespace meadowgauge::proxy
