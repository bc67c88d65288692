#include "program/configuration.hpp"

#include <cstdint>
#include <cstdlib>
#include <random>

#include "program/operator_file.hpp"
#include "program/platform_config.hpp"

namespace meadowgauge::program {

namespace {

std::uint64_t random_seed() {
  constexpr unsigned half_bits = 32;
  std::random_device device;
  const std::uint64_t high = device();
  return high << half_bits | device();
}

}  // namespace

std::optional<std::string> environment_variable(const char* name) {
  const char* value = std::getenv(name);
  if (!value) return std::nullopt;
  return value;
}

proxy::Setup read_configuration(const Options& options, const proxy::Logger& log) {
  if (options.config_file.empty()) return read_platform_config(environment_variable, log);
  return read_operator_file(options.config_file, random_seed());
}

}  // namespace meadowgauge::program
