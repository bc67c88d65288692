// The stored set of manually drained servers, shared by all processes of a balancer and kept over upgrades.
// The endpoints of one process that are drained: proxy/endpoint/manual_drains.hpp.
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

// Reads and writes the file. Without a state directory the set lives in memory alone.
class ManualDrainFile {
 public:
  static constexpr std::size_t max_servers = 4096;

  // Reads the stored set. Logs a warning where the file is invalid or can't be written.
  ManualDrainFile(StateDirectory directory, proxy::Logger log);
  // Names of the drained servers.
  [[nodiscard]] const std::set<std::string>& names() const { return names_; }
  // Drains or undrains a server for all processes. False: too many servers are drained; nothing has changed.
  bool set_drained(const std::string& server, bool drained);
  // Reads changes by other processes. True: the set has changed.
  bool refresh();

 private:
  void reread();
  void log_invalid_file(const TextError& error) const;
  void log_write_failure(const std::error_code& error) const;

  StateDirectory directory_;
  proxy::Logger log_;
  std::set<std::string> names_;
  std::string last_text_;  // the file as last read or written
};

// The set as the file's text, and back.
std::string encode_drains(const std::set<std::string>& names);
std::variant<std::set<std::string>, TextError> decode_drains(std::string_view text);

}  // namespace meadowgauge::hot_restart
