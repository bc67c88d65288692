#include "admin/commands.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <optional>

namespace meadowgauge::admin {

namespace {

struct CommandSyntax {
  std::string_view name;
  Command::Kind kind;
  bool takes_server_id;
};

constexpr std::array command_syntax{CommandSyntax{"HEALTH", Command::Kind::health, false},
                                    CommandSyntax{"DUMP", Command::Kind::dump, false},
                                    CommandSyntax{"OFFLINE", Command::Kind::offline, true},
                                    CommandSyntax{"ONLINE", Command::Kind::online, true}};

// The kinds of metrics in the reply to DUMP.
constexpr char counter = 'c';
constexpr char gauge = 'g';

bool is_printable_ascii(char c) {
  constexpr char first_printable = ' ';
  constexpr char last_printable = '~';
  return c >= first_printable && c <= last_printable;
}

void append_metric(std::string& text, std::string_view name, std::string_view value, char kind) {
  text.append("balancer.").append(name).append(":").append(value).append("|") += kind;
  text += '\n';
}

void append_metric(std::string& text, std::string_view name, std::uint64_t value, char kind) {
  append_metric(text, name, std::to_string(value), kind);
}

void append_outcomes(std::string& text, const std::string& prefix, const proxy::OutcomeCounters& outcomes) {
  append_metric(text, prefix + "success", outcomes.success, counter);
  append_metric(text, prefix + "busy", outcomes.rejected, counter);
  append_metric(text, prefix + "failure", outcomes.failure, counter);
  for (std::size_t i = 1; i < reason_count; ++i) {
    if (outcomes.reasons[i] == 0) continue;
    append_metric(text, prefix + "rejected." + std::string(reason_names[i]), outcomes.reasons[i], counter);
  }
}

// Formats a delay in whole ms; -1 if the event has not happened yet.
std::string format_delay(const std::optional<double>& delay_ms) {
  return std::to_string(delay_ms ? std::lround(*delay_ms) : -1);
}

void append_discovery(std::string& text, const proxy::DiscoveryCallCounters& discovery) {
  append_metric(text, "discovery_calls", discovery.calls, counter);
  append_metric(text, "discovery_lists", discovery.lists, counter);
  append_metric(text, "discovery_refused", discovery.refused, counter);
  append_metric(text, "discovery_timed_out", discovery.timed_out, counter);
  append_metric(text, "discovery_failed", discovery.failed, counter);
  append_metric(text, "discovery_first_call_ms", format_delay(discovery.first_call_after_ms), gauge);
  append_metric(text, "discovery_first_list_ms", format_delay(discovery.first_list_after_ms), gauge);
}

// Prints ten significant digits, so that the fleet's counters are printed exactly up to 10^10.
std::string format_number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

}  // namespace

std::string_view describe(CommandError error) {
  switch (error) {
    case CommandError::not_text:
      return "command is too long or not printable ASCII";
    case CommandError::needs_one_server_id:
      return "command requires exactly one server ID";
    case CommandError::unexpected_argument:
      return "command takes no arguments";
    case CommandError::unknown_command:
      break;
  }
  return "knows HEALTH, DUMP, OFFLINE ID and ONLINE ID";
}

std::variant<Command, CommandError> parse_command(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.size() > max_command_length) return CommandError::not_text;
  if (!std::all_of(line.begin(), line.end(), is_printable_ascii)) return CommandError::not_text;
  while (line.ends_with(' ')) line.remove_suffix(1);

  const auto name = line.substr(0, line.find(' '));
  auto server_id = line.substr(name.size());
  while (server_id.starts_with(' ')) server_id.remove_prefix(1);

  const auto* syntax = std::find_if(command_syntax.begin(), command_syntax.end(),
                                    [&](const auto& entry) { return entry.name == name; });
  if (syntax == command_syntax.end()) return CommandError::unknown_command;
  if (!syntax->takes_server_id && !server_id.empty()) return CommandError::unexpected_argument;
  const bool has_one_id = !server_id.empty() && server_id.find(' ') == std::string_view::npos;
  if (syntax->takes_server_id && !has_one_id) return CommandError::needs_one_server_id;
  return Command{.kind = syntax->kind, .server_id = std::string(server_id)};
}

std::string format_metrics(const proxy::Metrics& metrics) {
  const auto& requests = metrics.calls;
  const auto classes = std::min(metrics.request_classes.size(), requests.request_classes.size());
  std::string text;
  for (std::size_t i = 0; i < classes; ++i)
    append_outcomes(text, "calls." + metrics.request_classes[i] + ".", requests.request_classes[i]);
  append_outcomes(text, "", requests.all);
  append_metric(text, "backend_calls", metrics.attempts, counter);
  append_metric(text, "inflight", requests.in_flight, gauge);
  append_metric(text, "hosts_listed", metrics.listed, gauge);
  append_metric(text, "hosts_down", metrics.down, gauge);
  append_discovery(text, metrics.discovery);
  append_metric(text, "reconfig_ok", metrics.reloads, counter);
  append_metric(text, "reconfig_failed", metrics.reloads_failed, counter);
  append_metric(text, "loop_longest_turn_ms", format_number(metrics.longest_turn.work_ms), gauge);
  append_metric(text, "loop_longest_delay_ms", format_number(metrics.longest_turn.late_ms), gauge);
  for (const auto& [name, value] : metrics.fleet) append_metric(text, name, format_number(value), gauge);
  return text + "eof\n";
}

}  // namespace meadowgauge::admin
