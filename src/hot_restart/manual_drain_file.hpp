// The stored set of manually drained servers, shared by all processes of a balancer and kept across hot
// restarts. proxy/endpoint/manual_drains.hpp applies the set to the endpoints of one process.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>

#include "hot_restart/checked_text.hpp"
#include "hot_restart/state_directory.hpp"
#include "proxy/logger.hpp"

namespace meadowgauge::hot_restart {

// Reads and writes the file. Without a state directory, the set is kept in memory only.
class ManualDrainFile {
 public:
  static constexpr std::size_t max_servers = 4096;

  // Reads the stored set. Here and later, logs a warning if the file is invalid or cannot be written.
  ManualDrainFile(StateDirectory directory, proxy::Logger log);
  // The names of the drained servers.
  [[nodiscard]] const std::set<std::string>& names() const { return names_; }
  // Drains or undrains a server in all processes. Returns false, without a change, if max_servers are
  // drained.
  bool set_drained(const std::string& server, bool drained);
  // Reads changes by other processes. Returns whether the set has changed.
  bool refresh();

 private:
  void reread();
  void log_invalid_file(const TextError& error) const;
  void log_write_failure(const std::error_code& error) const;

  StateDirectory directory_;
  proxy::Logger log_;
  std::set<std::string> names_;
  std::string last_text_;  // content of the file as last read or written
};

// Convert between the set and the content of the file. Decoding reads at most max_servers names.
std::string encode_drains(const std::set<std::string>& names);
std::variant<std::set<std::string>, TextError> decode_drains(std::string_view text);

}  // namespace meadowgauge::hot_restart
