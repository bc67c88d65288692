// The servers drained by operators, including processes that a list renames. Does no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/endpoint_list.hpp"

namespace meadowgauge::proxy {

class ManualDrains {
 public:
  // One process of a server. One process serves an address, so another start there is another process.
  struct Process {
    std::string address;
    double started_ms = 0;
  };
  struct Change {
    std::string name;
    bool drained = false;
  };

  // True if drained by name, or if the process of that address and start is drained under another name.
  bool is_drained(const protocol::EndpointListEntry& listed);
  // Sets the complete set of drained names and returns the changes. `process_of(name)` returns a listed
  // server's process as std::optional<Process>.
  template <class F>
  std::vector<Change> set(const std::set<std::string>& names, F&& process_of) {
    for (const auto& name : names)
      if (auto process = names_.contains(name) ? std::optional<Process>() : process_of(name))
        remember(name, *process);
    return set(names);
  }
  // Drops the aliases for which `is_listed(name)` is false.
  template <class F>
  void evict_unlisted(F&& is_listed) {
    std::erase_if(aliases_, [&](const auto& alias) { return !is_listed(alias.first); });
  }
  // Number of processes and aliases kept.
  [[nodiscard]] std::size_t remembered() const { return by_address_.size() + aliases_.size(); }

 private:
  std::vector<Change> set(const std::set<std::string>& names);
  void remember(const std::string& name, const Process& process);
  struct DrainedProcess {
    std::string name;
    double started_ms = 0;
  };
  std::set<std::string> names_;
  std::map<std::string, DrainedProcess> by_address_;
  std::map<std::string, std::string> aliases_;  // by a process's newer name: its drained name
};

}  // namespace meadowgauge::proxy
