#include "program/platform_config.hpp"

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

#include "protocol/json.hpp"

namespace meadowgauge::program {

using protocol::Json;
using proxy::Level;

namespace {

constexpr std::string_view invalid_address_reason = "is not a valid address with a port";

std::string required_variable(const Environment& environment, const char* name) {
  auto value = environment(name);
  if (!value || value->empty()) throw ConfigError({.key = name, .reason = "is not set"});
  return *value;
}

transport::Address address_variable(const Environment& environment, const char* name) {
  const auto text = required_variable(environment, name);
  const auto address = transport::Address::parse(text);
  if (!address)
    throw ConfigError({.key = name,
                       .reason = std::string(invalid_address_reason).append(": ").append(text),
                       .value = text});
  return *address;
}

// No value if the file does not have the key.
std::optional<transport::Address> read_address(const Json& config, std::string_view key) {
  const auto* value = config.find(key);
  if (!value) return std::nullopt;
  const auto* text = value->text();
  auto address = text ? transport::Address::parse(*text) : std::nullopt;
  if (!address)
    throw ConfigError(
        {.key = std::string(key), .reason = std::string(invalid_address_reason), .value = value->plain()});
  return address;
}

// Reads a machine limit. An invalid value is logged and `limit` keeps its default, so that startup continues.
void read_limit(const Json& limits, std::string_view name, std::size_t& limit, const proxy::Logger& log) {
  constexpr double max_limit = 1e9;
  const auto* value = limits.find(name);
  if (!value) return;
  if (const auto number = value->number(); number && *number >= 1 && *number < max_limit) {
    limit = static_cast<std::size_t>(*number);
    return;
  }
  const auto key = std::string("limits.").append(name);
  log(Level::warning, key + " is not a number between 1 and 1e9: using " + std::to_string(limit),
      {{"key", std::string_view(key)}, {"value", static_cast<double>(limit)}});
}

[[noreturn]] void throw_invalid_setting(std::string_view key, std::string_view value,
                                        const std::string& allowed) {
  throw ConfigError({.key = std::string("settings.").append(key),
                     .reason = "is not " + allowed,
                     .value = std::string(value)});
}

void check_number(const Settings& settings, std::string_view key, double min_value, double max_value) {
  const auto it = settings.find(key);
  if (it == settings.end()) return;
  const auto& text = it->second;
  const auto* const text_end = text.data() + text.size();
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  const bool is_number = error == std::errc{} && end == text_end;
  if (is_number && value >= min_value && value <= max_value) return;
  std::ostringstream allowed;
  allowed << "between " << min_value << " and " << max_value;
  throw_invalid_setting(key, text, allowed.str());
}

template <std::size_t size>
void check_choice(const Settings& settings, std::string_view key,
                  const std::array<std::string_view, size>& choices, const std::string& allowed) {
  const auto it = settings.find(key);
  if (it == settings.end()) return;
  for (const auto choice : choices)
    if (it->second == choice) return;
  throw_invalid_setting(key, it->second, allowed);
}

// Validates the settings that select a mode, because an invalid value would silently select another mode.
void check_settings(const Settings& settings) {
  constexpr std::array<std::string_view, 2> boolean_names{"true", "false"};
  constexpr std::array<std::string_view, 3> report_modes{"off", "inline", "on_probe"};
  for (const auto* key : {"limits.peer_messages", "limits.probes", "specifics.warm_keys"})
    check_choice(settings, key, boolean_names, "true or false");
  check_number(settings, "my_number", 0, 65535);
  check_number(settings, "replicas_of_me", 1, 65536);
  check_number(settings, "fees.cross_zone", 0, 1000);
  check_number(settings, "rules.overload_for_ms", 0, 3600000);
  check_number(settings, "tick_ms", 0.01, 1000);
  check_choice(settings, "report.how", report_modes, "off, inline or on_probe");
}

void read_seed(const Json& config, std::uint64_t& seed, const proxy::Logger& log) {
  constexpr int hexadecimal = 16;
  const auto* value = config.find("seed");
  if (!value) return;
  const auto* text = value->text();
  if (text != nullptr &&
      std::from_chars(text->data(), text->data() + text->size(), seed, hexadecimal).ec == std::errc{})
    return;
  log(Level::warning, "seed is not hexadecimal: using the default", {{"key", std::string_view("seed")}});
}

// Reads the initial endpoint list. Without it the balancer waits for discovery.
void read_known_endpoints(const Json& config, protocol::EndpointList& known, const proxy::Logger& log) {
  const auto* value = config.find("known");
  if (!value) return;
  auto list = protocol::read_endpoint_list(*value);
  if (!list) {
    log(Level::warning, "known is not an endpoint list: starting without one",
        {{"key", std::string_view("known")}});
    return;
  }
  for (const auto& entry : list->skipped)
    log(Level::warning, "known: endpoint skipped: " + entry, {{"endpoint", std::string_view(entry)}});
  known = std::move(*list);
}

Json parse_file(std::string_view text) {
  protocol::JsonError error;
  auto config = Json::parse(text, &error);
  if (!config) throw ConfigError({.key = "", .reason = "not JSON: " + protocol::message(error)});
  if (!config->object()) throw ConfigError({.key = "", .reason = "not a JSON object"});
  return std::move(*config);
}

std::string read_whole_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!(text << file.rdbuf()))
    throw ConfigError({.key = "GW_CONFIG", .reason = "names an unreadable file: " + path, .value = path});
  return std::move(text).str();
}

}  // namespace

void read_platform_file(std::string_view text, proxy::Setup& setup, const proxy::Logger& log) {
  const auto config = parse_file(text);
  const auto* settings = config.find("settings");
  if (!settings || !settings->object()) throw ConfigError({.key = "settings", .reason = "are missing"});
  protocol::flatten(*settings, "", setup.settings);
  check_settings(setup.settings);
  if (const auto* limits = config.find("limits")) {
    read_limit(*limits, "sockets", setup.descriptors, log);
    read_limit(*limits, "memory_mb", setup.memory_mb, log);
  }
  // A reload can change discovery only in the file, because the process's environment does not change.
  if (const auto discovery = read_address(config, "discovery")) setup.discovery = discovery;
  // GW_MGMT overrides `mgmt` of the file, which is then not validated.
  if (!setup.mgmt) setup.mgmt = read_address(config, "mgmt");
  read_seed(config, setup.seed, log);
  read_known_endpoints(config, setup.known, log);
}

proxy::Setup read_platform_config(const Environment& environment, const proxy::Logger& log) {
  proxy::Setup setup;
  setup.name = required_variable(environment, "GW_NAME");
  setup.listen = address_variable(environment, "GW_LISTEN");
  setup.discovery = address_variable(environment, "GW_DISCOVERY");
  const auto mgmt = environment("GW_MGMT");
  if (mgmt && !mgmt->empty()) setup.mgmt = address_variable(environment, "GW_MGMT");
  const auto path = required_variable(environment, "GW_CONFIG");
  const auto text = read_whole_file(path);
  try {
    read_platform_file(text, setup, log);
  } catch (const ConfigError& error) {
    auto fault = error.fault();
    fault.file = path;
    throw ConfigError(std::move(fault));
  }
  return setup;
}

}  // namespace meadowgauge::program
