#include "program/config_error.hpp"

namespace meadowgauge::program {

std::string format_fault(const ConfigFault& fault) {
  std::string line;
  if (!fault.file.empty()) line.append(fault.file).append(": ");
  if (!fault.key.empty()) line.append(fault.key).append(" ");
  return line.append(fault.reason);
}

}  // namespace meadowgauge::program
