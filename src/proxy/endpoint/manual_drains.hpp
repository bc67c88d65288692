// Which servers operators have drained, under whatever name endpoint lists give them. Values only.
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
  // One process of a server: at one address only one runs, so that a later start there is another.
  struct Process {
    std::string address;
    double started_ms = 0;  // as endpoint lists tell it
  };
  struct Change {
    std::string name;
    bool drained = false;
  };

  // Drained by its name; or it is a server that is drained under another: the same address and the same
  // start.
  bool is_drained(const protocol::EndpointListEntry& listed);
  // All that are drained from now on; returns what changes by that. `process_of` tells, by name, the process
  // of a server that is listed, as std::optional<Process>.
  template <class F>
  std::vector<Change> set(const std::set<std::string>& names, F&& process_of) {
    for (const auto& name : names)
      if (auto process = names_.contains(name) ? std::optional<Process>() : process_of(name))
        remember(name, *process);
    return set(names);
  }
  // Drops names that nobody has any more; `is_listed` tells, by name.
  template <class F>
  void forget(F&& is_listed) {
    std::erase_if(aliases_, [&](const auto& alias) { return !is_listed(alias.first); });
  }
  // How many entries it keeps, for tests of its bounds.
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
  std::map<std::string, std::string> aliases_;  // newer names, to the one that is drained
};

}  // namespace meadowgauge::proxy
