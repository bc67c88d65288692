// Errors of a configuration that is not TOML: an environment variable, the platform's JSON file, an option of
// the command line. Errors of the operator's TOML file are settings::Problem, with line and column.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace meadowgauge::program {

// One fault and its place. There is no line or column, because the JSON reader keeps none.
struct ConfigFault {
  std::string key{};     // variable, option, or dotted path in the file; empty: the source as a whole
  std::string reason{};  // follows the key: `is not set`
  std::string value{};   // the rejected value verbatim; empty without one
  std::string file{};    // empty for a variable or an option
};

// `file: key reason`, without the empty parts. The value appears only as part of `reason`.
std::string format_fault(const ConfigFault& fault);

// An invalid configuration; what() is the fault on one line.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(ConfigFault fault)
      : std::runtime_error(format_fault(fault)), fault_(std::move(fault)) {}
  // Valid as long as the error.
  [[nodiscard]] const ConfigFault& fault() const { return fault_; }

 private:
  ConfigFault fault_;
};

}  // namespace meadowgauge::program
