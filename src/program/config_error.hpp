// Errors in environment variables, the platform's JSON file and command-line options. Errors in the
// operator's TOML file are reported as settings::Problem, with line and column.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace meadowgauge::program {

// One configuration error and its location. The JSON reader keeps no positions, so there is no line or
// column.
struct ConfigFault {
  std::string key{};     // variable, option, or dotted path in the file; empty: the whole source
  std::string reason{};  // phrase that follows the key, such as `is not set`
  std::string value{};   // the rejected value verbatim, if any
  std::string file{};    // empty for a variable or an option
};

// Formats the fault as `file: key reason` without the empty parts. `value` is not added.
std::string format_fault(const ConfigFault& fault);

// Thrown for an invalid configuration; what() is format_fault() of the fault.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(ConfigFault fault)
      : std::runtime_error(format_fault(fault)), fault_(std::move(fault)) {}
  // The reference is valid as long as the error.
  [[nodiscard]] const ConfigFault& fault() const { return fault_; }

 private:
  ConfigFault fault_;
};

}  // namespace meadowgauge::program
